// Package recovery owns how a gateway comes back: from its process's start to full service, and from a time in which the
// process stood still. It decides what is believed of the time that went by and what may be decided yet; internal/service says
// whether clients are taken at all. It is pure: time is an argument, nothing is read or sent. It must never let a request pass
// for younger than it can be, nor hold one for longer than its bound.
package recovery

import (
	"strings"
	"time"
)

// Time is a reading of the gateway's clock.
type Time = time.Duration

// Phase is how far a gateway has come.
type Phase uint8

// The phases.
const (
	NoMembers     Phase = iota // it has no list of members
	AwaitingPeers              // it has one, and waits for most of its peers near by
	Resuming                   // it stood still, and waits for what it was told meanwhile
	Ramping                    // it knows whom to ask; what members can do is being found out
	FullService                // it refuses nothing for not knowing
)

var phaseNames = [...]string{"blank", "gathering", "careful", "ramping", "full"}

func (p Phase) String() string { return phaseNames[p] }

// Source is where something known came from.
type Source uint8

// The sources.
const (
	Cached      Source = iota // the last list, as the configuration gives it
	Predecessor               // another process of this gateway
	Store                     // its own folder
	Discovery
	Peers
	sourceCount
)

var sourceNames = [sourceCount]string{"list", "predecessor", "store", "discovery", "peers"}

const (
	resumeWaitDivisor    = 32 // of the pause: a process that woke waits so long for what it was told meanwhile, at most
	backlogWindowDivisor = 4  // of the pause: what a process reads within so long of its waking may have lain there
	peerWaitPauses       = 3  // pauses: as long is waited for peers that don't speak
)

// lookEvery is how often a gateway that is not at full service looks at what it sees.
const checkInterval = 10 * time.Millisecond

// Options say what can't be seen.
type Options struct {
	PauseThreshold time.Duration // between two events; a process that runs has none so long: twice the time in which overload is judged
	NearbyGateways int           // gateways near by that are to be heard; 0: none
}

// Seen is what the gateway sees of itself now.
type Observation struct {
	Members         int // listed
	NearbyReachable int // gateways near by that are heard
	Queued          int // requests that no member may take yet
}

// Recovery is one process's. It is not safe for concurrent use.
type Recovery struct {
	opt              Options
	startedAt        Time
	lastEventAt      Time // event; 0: none yet
	lastCheckAt      Time // when Due last said yes
	resumedAt        Time // 0: it never stood still
	pauseLength      time.Duration
	discoveryUpdated bool // discovery has spoken since then, or since the start
	received         [sourceCount]bool
	phase            Phase
	fullServiceAt    Time // when it was at full service first; 0: not yet
	pauses           int
	longestPause     time.Duration
	backlogged       int // requests that were taken for older than their reading
	expired          int // and those of them that were refused at once
}

// New gives the state of a process that begins now.
func New(born Time, opt Options) *Recovery {
	return &Recovery{opt: opt, startedAt: born}
}

// Event notes that something happens, and tells for how long the process stood still before it; 0: it ran. Where nothing
// may happen for as long as the pause, the gateway's own timers are missing, and so the process was.
func (r *Recovery) Event(now Time) (still time.Duration) {
	gap, first := now-r.lastEventAt, r.lastEventAt == 0
	r.lastEventAt = now
	if first || r.opt.PauseThreshold <= 0 || gap <= r.opt.PauseThreshold {
		return 0
	}
	r.resumedAt, r.pauseLength, r.discoveryUpdated = now, gap, false
	r.pauses++
	r.longestPause = max(r.longestPause, gap)
	r.phase = min(r.phase, Resuming)
	return gap
}

// Heard notes that a source has given what it knows.
func (r *Recovery) Received(s Source) {
	if r.received[s] = true; s == Discovery {
		r.discoveryUpdated = true
	}
}

// Asked tells how long a request that is read now may have lain in the process's sockets, and how long to wait before it is
// decided. After a standstill that is all of the time for which the process stood: who asks for less has gone, or
// will have. What is read later than a moment after the waking has come since.
func (r *Recovery) RequestRead(now Time, patience time.Duration) (lain, wait time.Duration) {
	if r.resumedAt == 0 || now-r.resumedAt > r.backlogWindow() {
		return 0, 0
	}
	r.backlogged++
	if patience <= r.pauseLength { // it is refused, and nobody waits for that
		r.expired++
		return r.pauseLength, 0
	}
	return r.pauseLength, min(r.resumeWait(now), patience-r.pauseLength)
}

func (r *Recovery) backlogWindow() time.Duration {
	return min(r.pauseLength, r.opt.PauseThreshold/backlogWindowDivisor)
}

// settles gives how long a process that woke waits for discovery's word.
func (r *Recovery) resumeWait(now Time) time.Duration {
	if r.resumedAt == 0 || r.discoveryUpdated {
		return 0
	}
	return max(0, r.resumedAt+r.opt.PauseThreshold/resumeWaitDivisor-now)
}

// Due tells whether to look at what the gateway sees of itself now; to find that out costs something.
func (r *Recovery) CheckDue(now Time) bool {
	if r.phase == FullService || now-r.lastCheckAt < checkInterval {
		return false
	}
	r.lastCheckAt = now
	return true
}

// Look takes in what the gateway sees of itself, and tells whether the phase is another now.
func (r *Recovery) Check(now Time, s Observation) (changed bool) {
	if s.NearbyReachable > 0 {
		r.received[Peers] = true
	}
	was, waited := r.phase, now-r.startedAt >= peerWaitPauses*r.opt.PauseThreshold
	switch {
	case s.Members == 0 && r.fullServiceAt == 0:
		r.phase = NoMembers
	case r.resumeWait(now) > 0:
		r.phase = Resuming
	case r.fullServiceAt == 0 && !waited && 2*s.NearbyReachable < r.opt.NearbyGateways:
		r.phase = AwaitingPeers
	case s.Queued > 0 && r.phase != FullService: // one that is full holds requests as members come and go
		r.phase = Ramping
	default:
		if r.phase = FullService; r.fullServiceAt == 0 {
			r.fullServiceAt = now
		}
	}
	return r.phase != was
}

// Phase gives the phase.
func (r *Recovery) Phase() Phase { return r.phase }

// Took gives how long the process took to full service; 0: it is not there yet.
func (r *Recovery) TimeToFullService() time.Duration {
	if r.fullServiceAt == 0 {
		return 0
	}
	return max(r.fullServiceAt-r.startedAt, 1)
}

// From names the sources that were heard, in the order of their trust.
func (r *Recovery) SourceNames() string {
	var names []string
	for s := sourceCount; s > 0; s-- {
		if r.received[s-1] {
			names = append(names, sourceNames[s-1])
		}
	}
	return strings.Join(names, ",")
}

// Figures are counters for the people on call.
type Stats struct {
	Pauses              int           // times that the process stood still
	LongestPause        time.Duration // and the longest
	Backlogged, Expired int           // requests that may have lain in its sockets meanwhile, and those refused for that
}

// Figures gives the counters.
func (r *Recovery) Stats() Stats { return Stats{r.pauses, r.longestPause, r.backlogged, r.expired} }
