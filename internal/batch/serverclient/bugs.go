package serverclient

// bugs are faults that only tests can plant, to show that their checks find them.
type injectedBugs struct {
	acceptAnyID           bool // an answer is taken whatever item it names
	reuseAfterStrayInput  bool // a connection is used again though more has come than an answer
	reuseAfterPartialSend bool // a connection is used again though a request's body went out in part
	reuseForSameItem      bool // an item that comes again may go over the connection on which it went before
	omitLastEventID       bool // a stream is taken up without the id of its last event
	acceptAnyOrder        bool // an event is taken whatever stood before it
	acceptTornHeader      bool // a head that begins in the middle of another is taken
}
