package transport

import "time"

// injectedBugs are faults that only tests of this package can switch on, to show that their checks find them.
type injectedBugs struct {
	replyToAnyCall bool // a reply goes to any call that waits
	neverUncertain bool // a call counts as not sent whenever its connection ended
	// A frame counts as handed off this long after its write, not before it; 0 switches the bug off. The pause is what
	// lets a connection end in between, so that a seed shows the bug by its draws and not by the scheduling of
	// goroutines.
	handedOffAfterWrite time.Duration
}
