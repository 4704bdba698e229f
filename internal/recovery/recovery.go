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
	Blank     Phase = iota // it has no list of members
	Gathering              // it has one, and waits for most of its peers near by
	Careful                // it stood still, and waits for what it was told meanwhile
	Ramping                // it knows whom to ask; what members can do is being found out
	Full                   // it refuses nothing for not knowing
)

var phases = [...]string{"blank", "gathering", "careful", "ramping", "full"}

func (p Phase) String() string { return phases[p] }

// Source is where something known came from.
type Source uint8

// The sources.
const (
	Cached      Source = iota // the last list, as the configuration gives it
	Predecessor               // another process of this gateway
	Store                     // its own folder
	Discovery
	Peers
	sources
)

var sourceNames = [sources]string{"list", "predecessor", "store", "discovery", "peers"}

const (
	settleShare = 32 // of the pause: a process that woke waits so long for what it was told meanwhile, at most
	foundShare  = 4  // of the pause: what a process reads within so long of its waking may have lain there
	peersWait   = 3  // pauses: as long is waited for peers that don't speak
)

// lookEvery is how often a gateway that is not at full service looks at what it sees.
const lookEvery = 10 * time.Millisecond

// Options say what can't be seen.
type Options struct {
	Pause time.Duration // between two events; a process that runs has none so long: twice the time in which overload is judged
	Near  int           // gateways near by that are to be heard; 0: none
}

// Seen is what the gateway sees of itself now.
type Seen struct {
	Members   int // listed
	NearHeard int // gateways near by that are heard
	Held      int // requests that no member may take yet
}

// Recovery is one process's. It is not safe for concurrent use.
type Recovery struct {
	opt     Options
	born    Time
	last    Time // event; 0: none yet
	looked  Time // when Due last said yes
	woke    Time // 0: it never stood still
	still   time.Duration
	told    bool // discovery has spoken since then, or since the start
	from    [sources]bool
	phase   Phase
	full    Time // when it was at full service first; 0: not yet
	stalls  int
	longest time.Duration
	waited  int // requests that were taken for older than their reading
	tooLate int // and those of them that were refused at once
}

// New gives the state of a process that begins now.
func New(born Time, opt Options) *Recovery {
	return &Recovery{opt: opt, born: born}
}

// Event notes that something happens, and tells for how long the process stood still before it; 0: it ran. Where nothing
// may happen for as long as the pause, the gateway's own timers are missing, and so the process was.
func (r *Recovery) Event(now Time) (still time.Duration) {
	gap, first := now-r.last, r.last == 0
	r.last = now
	if first || r.opt.Pause <= 0 || gap <= r.opt.Pause {
		return 0
	}
	r.woke, r.still, r.told = now, gap, false
	r.stalls++
	r.longest = max(r.longest, gap)
	r.phase = min(r.phase, Careful)
	return gap
}

// Heard notes that a source has given what it knows.
func (r *Recovery) Heard(s Source) {
	if r.from[s] = true; s == Discovery {
		r.told = true
	}
}

// Asked tells how long a request that is read now may have lain in the process's sockets, and how long to wait before it is
// decided. After a standstill that is all of the time for which the process stood: who asks for less has gone, or
// will have. What is read later than a moment after the waking has come since.
func (r *Recovery) Asked(now Time, patience time.Duration) (lain, wait time.Duration) {
	if r.woke == 0 || now-r.woke > r.found() {
		return 0, 0
	}
	r.waited++
	if patience <= r.still { // it is refused, and nobody waits for that
		r.tooLate++
		return r.still, 0
	}
	return r.still, min(r.settles(now), patience-r.still)
}

func (r *Recovery) found() time.Duration { return min(r.still, r.opt.Pause/foundShare) }

// settles gives how long a process that woke waits for discovery's word.
func (r *Recovery) settles(now Time) time.Duration {
	if r.woke == 0 || r.told {
		return 0
	}
	return max(0, r.woke+r.opt.Pause/settleShare-now)
}

// Due tells whether to look at what the gateway sees of itself now; to find that out costs something.
func (r *Recovery) Due(now Time) bool {
	if r.phase == Full || now-r.looked < lookEvery {
		return false
	}
	r.looked = now
	return true
}

// Look takes in what the gateway sees of itself, and tells whether the phase is another now.
func (r *Recovery) Look(now Time, s Seen) (changed bool) {
	if s.NearHeard > 0 {
		r.from[Peers] = true
	}
	was, waited := r.phase, now-r.born >= peersWait*r.opt.Pause
	switch {
	case s.Members == 0 && r.full == 0:
		r.phase = Blank
	case r.settles(now) > 0:
		r.phase = Careful
	case r.full == 0 && !waited && 2*s.NearHeard < r.opt.Near:
		r.phase = Gathering
	case s.Held > 0 && r.phase != Full: // one that is full holds requests as members come and go
		r.phase = Ramping
	default:
		if r.phase = Full; r.full == 0 {
			r.full = now
		}
	}
	return r.phase != was
}

// Phase gives the phase.
func (r *Recovery) Phase() Phase { return r.phase }

// Took gives how long the process took to full service; 0: it is not there yet.
func (r *Recovery) Took() time.Duration {
	if r.full == 0 {
		return 0
	}
	return max(r.full-r.born, 1)
}

// From names the sources that were heard, in the order of their trust.
func (r *Recovery) From() string {
	var names []string
	for s := sources; s > 0; s-- {
		if r.from[s-1] {
			names = append(names, sourceNames[s-1])
		}
	}
	return strings.Join(names, ",")
}

// Figures are counters for the people on call.
type Figures struct {
	Stalls        int           // times that the process stood still
	Longest       time.Duration // and the longest
	Lain, TooLate int           // requests that may have lain in its sockets meanwhile, and those refused for that
}

// Figures gives the counters.
func (r *Recovery) Figures() Figures { return Figures{r.stalls, r.longest, r.waited, r.tooLate} }
