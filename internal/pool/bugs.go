package pool

// bugs are faults that only tests can plant, to show that their checks find them.
type injectedBugs struct {
	skipRecheck            bool // a member that drains by the time that a connection has come up gets the request all the same
	reuseUnread            bool // a connection is used again though more has come than an answer
	partialIsNotSent       bool // a request whose head went out, and not all of its body, counts as not sent
	acceptTornHead         bool // a head that begins in the middle of another is taken
	reuseIncompleteRequest bool // a connection is used again though a request's body went out in part
}
