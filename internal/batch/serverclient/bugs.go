package serverclient

// bugs are faults that only tests can plant, to show that their checks find them.
type bugs struct {
	anyID        bool // an answer is taken whatever item it names
	reuseStirred bool // a connection is used again though more has come than an answer
	reuseUnsent  bool // a connection is used again though a request's body went out in part
	sameItem     bool // an item that comes again may go over the connection on which it went before
	noLastEvent  bool // a stream is taken up without the id of its last event
	anyOrder     bool // an event is taken whatever stood before it
	tornHead     bool // a head that begins in the middle of another is taken
}
