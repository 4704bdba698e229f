package serverclient

// injectedBugs are faults that only tests inject, to show that their checks detect them.
type injectedBugs struct {
	acceptAnyID           bool // a response is accepted whatever item it names
	reuseAfterStrayInput  bool // a connection is reused though more was received than a response
	reuseAfterPartialSend bool // a connection is reused though a request's body was sent in part
	reuseForSameItem      bool // an item that comes again may go over the connection that it went over before
	omitLastEventID       bool // a stream is resumed without the id of its last event
	acceptAnyOrder        bool // an event is accepted whatever its id
	acceptTornHeader      bool // a header that begins within another is accepted
}
