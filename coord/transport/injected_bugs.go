package transport

import "time"

// injectedBugs are bugs that only tests of this package can enable, to show that their checks find them.
type injectedBugs struct {
	replyToAnyCall bool // a reply is passed to any pending call
	neverUncertain bool // a call counts as not sent whenever its connection has ended
	// handedOffAfterWrite is the time after its write at which a frame counts as handed to the network, instead of
	// before the write; 0 disables the bug. During this time the connection may end, so that whether a seed shows
	// the bug depends on its random draws and not on the scheduling of goroutines.
	handedOffAfterWrite time.Duration
}
