package proxy

// bugs are faults that only tests can plant, to show that their checks find them.
type bugs struct {
	anyID         bool // an answer is taken whatever request it names
	repeatAll     bool // a request that may run once is sent again after a cut
	cutIsWhole    bool // an answer that ends with its connection counts as whole though that was reset
	noLastEvent   bool // a stream is taken up elsewhere without the id of its last event
	alwaysRefuses bool // the promise that nothing ran is given though something may have
	sameDeadline  bool // each attempt hands on the time that the first one had
	cutsSilent    bool // a server's silence ends an answer that can't go on elsewhere
	patientWrites bool // a client may take long to read a stream whose time is over
	deaf          bool // a client's leaving is not heard
}
