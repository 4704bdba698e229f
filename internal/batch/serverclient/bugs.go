package serverclient

// injectedBugs are faults that tests inject to show that their checks detect them. All are false outside of
// tests.
type injectedBugs struct {
	acceptAnyID           bool // a response is accepted whatever request id it carries
	reuseAfterStrayInput  bool // a connection is reused though more than a response was received on it
	reuseAfterPartialSend bool // a connection is reused though a request's body was only partly sent on it
	reuseForSameItem      bool // a retried item may be sent over a connection that it was sent over before
	omitLastEventID       bool // a stream is resumed without the id of its last event
	acceptAnyOrder        bool // an event is accepted whatever its id
	acceptTornHeader      bool // a response header that begins within another is accepted
}
