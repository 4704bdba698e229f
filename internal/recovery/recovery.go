package recovery

import (
	"time"
)

// Time is a reading of the gateway's monotonic clock.
type Time = time.Duration

// Phase is a gateway's progress to full service.
type Phase uint8

// The phases, in the order in which they are passed.
const (
	NoMembers     Phase = iota // the list of servers is empty
	AwaitingPeers              // waits for messages from half of the nearby gateways
	Resuming                   // after a pause, waits for updates that were sent meanwhile
	Ramping                    // has servers, but requests are queued because the servers' capacity isn't known yet
	FullService                // no request is rejected or queued for lack of knowledge
)

var phaseNames = [...]string{"blank", "gathering", "careful", "ramping", "full"}

// String returns the phase's name in logs.
func (p Phase) String() string { return phaseNames[p] }

// peerWaitPauses bounds the wait for peers after the start, in multiples of Options.PauseThreshold.
const peerWaitPauses = 3

// checkInterval is how often a gateway below full service checks its phase.
const checkInterval = 10 * time.Millisecond

// Options are the settings of a Recovery.
type Options struct {
	// PauseThreshold is the time without any event after which the process counts as having been paused. It is twice
	// the interval of the gateway's overload checks, which are events. 0: pauses are not detected.
	PauseThreshold time.Duration
	// NearbyGateways is the number of nearby gateways, half of which have to be reachable; 0: there are none.
	NearbyGateways int
}

// Observation is a gateway's view of its servers, peers and requests.
type Observation struct {
	Members         int // servers in its list
	NearbyReachable int // nearby gateways that it receives messages from
	Queued          int // requests that wait for a server
}

// Recovery is the state of one process. It is not safe for concurrent use.
type Recovery struct {
	opt           Options
	startedAt     Time
	lastEventAt   Time // 0: no event yet
	lastCheckAt   Time // when CheckDue last returned true
	received      [sourceCount]bool
	phase         Phase
	fullServiceAt Time // when full service was first reached; 0: not yet

	resumedAt        Time          // end of the latest pause; 0: there was none
	pauseLength      time.Duration // of the latest pause
	discoveryUpdated bool          // discovery has sent an update since the latest pause, or since the start

	pauses       int
	longestPause time.Duration
	backlogged   int // requests that may have waited in sockets during a pause
	expired      int // those of them that may have been past their deadline
}

// New returns the state of a process that starts now.
func New(now Time, opt Options) *Recovery {
	return &Recovery{opt: opt, startedAt: now}
}

// Received records that a source has delivered data.
func (r *Recovery) Received(s Source) {
	if r.received[s] = true; s == Discovery {
		r.discoveryUpdated = true
	}
}

// CheckDue reports whether to call Check now. It limits the calls because the observation that Check needs is costly.
func (r *Recovery) CheckDue(now Time) bool {
	if r.phase == FullService || now-r.lastCheckAt < checkInterval {
		return false
	}
	r.lastCheckAt = now
	return true
}

// Check updates the phase, and reports whether it has changed.
func (r *Recovery) Check(now Time, o Observation) (changed bool) {
	if o.NearbyReachable > 0 {
		r.received[Peers] = true
	}
	old, waitedForPeers := r.phase, now-r.startedAt >= peerWaitPauses*r.opt.PauseThreshold
	switch {
	case o.Members == 0 && r.fullServiceAt == 0:
		r.phase = NoMembers
	case r.resumeWait(now) > 0:
		r.phase = Resuming
	case r.fullServiceAt == 0 && !waitedForPeers && 2*o.NearbyReachable < r.opt.NearbyGateways:
		r.phase = AwaitingPeers
	case o.Queued > 0 && r.phase != FullService: // at full service, a queue only shows that the list of servers changes
		r.phase = Ramping
	default:
		if r.phase = FullService; r.fullServiceAt == 0 {
			r.fullServiceAt = now
		}
	}
	return r.phase != old
}

// Phase returns the current phase.
func (r *Recovery) Phase() Phase { return r.phase }

// TimeToFullService returns the time from the start of the process until full service was first reached; 0: not yet.
func (r *Recovery) TimeToFullService() time.Duration {
	if r.fullServiceAt == 0 {
		return 0
	}
	return max(r.fullServiceAt-r.startedAt, 1)
}

// Stats are counters for operators.
type Stats struct {
	Pauses       int // process pauses
	LongestPause time.Duration
	Backlogged   int // requests that may have waited in sockets during a pause
	Expired      int // those of them that may have been past their deadline
}

// Stats returns the counters.
func (r *Recovery) Stats() Stats { return Stats{r.pauses, r.longestPause, r.backlogged, r.expired} }
