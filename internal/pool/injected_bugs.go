package pool

// injectedBugs disables individual mechanisms. Tests set a field to show that their checks detect the resulting
// bug; in production all fields are false.
type injectedBugs struct {
	skipRecheck            bool // a server that starts to drain while a connection is dialled still gets the request
	reuseUnread            bool // a connection is reused although it has unread input, such as a second response
	partialIsNotSent       bool // a request with a complete head and an incomplete body is reported as not sent
	acceptTornHead         bool // a response head that begins within a truncated one is accepted
	reuseIncompleteRequest bool // a connection is reused after a request whose body was written incompletely
}
