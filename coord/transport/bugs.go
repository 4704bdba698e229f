package transport

// bugs are faults that only tests can plant, to show that their checks find them.
type bugs struct {
	anyCall     bool // a reply goes to any call that waits
	neverHanded bool // a call counts as not sent whenever its connection ended
	handedLate  bool // a frame counts as handed to the network once it has been written, not before
}
