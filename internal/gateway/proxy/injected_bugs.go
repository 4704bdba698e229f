package proxy

// injectedBugs switches off mechanisms, one by one. Tests set them to show that their checks find such a bug;
// they are all false otherwise.
type injectedBugs struct {
	acceptAnyID           bool // a response is accepted although it names another request
	retryNonIdempotent    bool // a request that may run once only is retried after it was lost
	truncatedIsComplete   bool // a response without a length is complete though its connection was reset
	omitLastEventID       bool // a stream is resumed without the id of its last event
	alwaysPromisesNotRun  bool // the client is promised that nothing ran though something may have
	keepFirstDeadline     bool // each attempt forwards the deadline that the first one had
	abandonStartedStreams bool // a stalled server ends a stream that can't be resumed
	longWriteDeadline     bool // a client may take long to read a stream after its deadline
	ignoreDisconnect      bool // a client's disconnect isn't noticed
}
