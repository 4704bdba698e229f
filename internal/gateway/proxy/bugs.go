package proxy

// bugs are faults that only tests can plant, to show that their checks find them.
type injectedBugs struct {
	acceptAnyID           bool // an answer is taken whatever request it names
	retryNonIdempotent    bool // a request that may run once is sent again after a cut
	truncatedIsComplete   bool // an answer that ends with its connection counts as whole though that was reset
	omitLastEventID       bool // a stream is taken up elsewhere without the id of its last event
	alwaysPromisesNotRun  bool // the promise that nothing ran is given though something may have
	keepFirstDeadline     bool // each attempt hands on the time that the first one had
	abandonStartedStreams bool // a server's silence ends an answer that can't go on elsewhere
	longWriteDeadline     bool // a client may take long to read a stream whose time is over
	ignoreDisconnect      bool // a client's leaving is not heard
}
