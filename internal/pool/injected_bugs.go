package pool

// injectedBugs switches off mechanisms, one by one. Tests set them to show that their checks find such a bug;
// they are always false otherwise.
type injectedBugs struct {
	skipRecheck            bool // a server that begins to drain while a connection is dialled gets the request
	reuseUnread            bool // a connection is reused though more than one response has arrived on it
	partialIsNotSent       bool // a request whose head was written, but not all of its body, counts as not sent
	acceptTornHead         bool // a head that begins within another is accepted
	reuseIncompleteRequest bool // a connection is reused though a request's body was written only in part
}
