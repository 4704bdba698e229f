package proxy

// injectedBugs disables single mechanisms. Tests set one field at a time to verify that their checks detect
// the resulting bug; otherwise all fields are false.
type injectedBugs struct {
	acceptAnyID          bool // a response is accepted although it has another request's id
	retryNonIdempotent   bool // a request that isn't idempotent is retried after it may have run
	truncatedIsComplete  bool // a response without a length counts as complete although its connection was reset
	omitLastEventID      bool // a stream is resumed without the id of its last event
	alwaysPromisesNotRun bool // the client gets 503 although the request may have run
	keepFirstDeadline    bool // each attempt forwards the first attempt's X-Deadline-Ms
	abandonSilentServers bool // an attempt ends when its server is silent, whether or not another server takes over
	longWriteDeadline    bool // a client may take a minute after its deadline to read a stream
	ignoreDisconnect     bool // a client's disconnect isn't noticed
}
