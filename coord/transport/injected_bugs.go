package transport

// injectedBugs are faults that only tests of this package can switch on, to show that their checks find them.
type injectedBugs struct {
	replyToAnyCall      bool // a reply goes to any call that waits
	neverUncertain      bool // a call counts as not sent whenever its connection ended
	handedOffAfterWrite bool // a frame counts as handed off after its write, not before
}
