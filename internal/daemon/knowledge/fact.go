package knowledge

import (
	"time"
)

// Time is a reading of this gateway's monotonic clock.
type Time = time.Duration

// Life identifies an incarnation of a member.
type Life struct {
	Instance  string
	StartedMs int64 // Unix time in ms, from service discovery; 0: it started long ago
}

// Observer identifies an incarnation of a gateway.
type Observer struct {
	Name  string
	Birth uint64 // rises with each start
}

// Fact is an observer's observation of a member. Durations are as of the time of the observation.
type Fact struct {
	Life
	Observer
	Seq  uint64        // of the observer's incarnation; rises with each observation
	Hops int           // gateways that have forwarded it; 0: the observer itself has sent it
	Age  time.Duration // time since the observation

	Stalled  time.Duration // age of the oldest attempt in flight, if no answer came since; 0: not stalled
	Lost     int           // overdue attempts: in flight for far longer than is typical
	Ejected  time.Duration // for how much longer the observer sends the member nothing; 0: not ejected
	Pace     float64       // latency relative to what is typical of each class; 0: unknown
	Answers  float64       // number of answers behind Pace
	Answered time.Duration // time since its last answer; negative: it has never answered
	Room     float64       // attempts from the observer that the member can hold; 0: unknown
	Warmth   float64       // lower bound of the fraction of its capacity that it has, 0 to 1
	Cold     int           // attempts that the observer sent it within the window of the slow-start limit

	Deaf  time.Duration // time since the observer last received an update from service discovery
	Blind time.Duration // time since any member last answered the observer
}

// Served reports whether the member has ever answered the observer.
func (f *Fact) Served() bool { return f.Answered >= 0 }

// unhealthy reports whether the observer found the member stalled, or has ejected it.
func (f *Fact) unhealthy() bool { return f.Stalled > 0 && f.Lost > 0 || f.Ejected > 0 }

const (
	maxNameLength = 128 // of a member or observer, in bytes
	maxNumber     = 1e6 // of counts, ratios, and seconds
)

// valid reports whether a fact is well-formed and all its numbers are within bounds.
func (f *Fact) valid() bool {
	if f.Instance == "" || len(f.Instance) > maxNameLength ||
		f.Observer.Name == "" || len(f.Observer.Name) > maxNameLength {
		return false
	}
	for _, x := range f.numbers() {
		if !(x >= 0 && x <= maxNumber) {
			return false
		}
	}
	return f.Age >= 0 && f.Hops >= 0 && f.Warmth <= 1
}

// numbers returns the numbers of a fact, for the check of their bounds and for a total order of facts.
func (f *Fact) numbers() []float64 {
	return []float64{f.Pace, f.Answers, f.Room, f.Warmth, float64(f.Lost), float64(f.Cold), f.Stalled.Seconds(),
		f.Ejected.Seconds(), f.Deaf.Seconds(), f.Blind.Seconds(), max(0, f.Answered.Seconds())}
}

// DropReason is the reason why a received fact was dropped, or Accepted.
type DropReason uint8

// The outcomes of receiving a fact.
const (
	Accepted         DropReason = iota
	Stale                       // not newer than the observer's fact in the table
	OwnFact                     // an observation of this gateway itself
	UnknownMember               // the member is not listed here
	OtherIncarnation            // the member is listed in another incarnation
	Malformed                   // not a number, negative, out of bounds or without a name
	TooOld                      // older than Options.MaxAge
	TooManyHops                 // forwarded more often than Options.MaxHops
	TooManyObservers            // more than Options.MaxObservers
	dropReasons
)

var dropNames = [dropReasons]string{"taken", "old_news", "own", "unknown_member", "other_life", "malformed", "too_old",
	"too_far", "no_room"}

// String returns the reason's name in counters.
func (d DropReason) String() string { return dropNames[d] }

// Counts is the number of received facts by DropReason.
type Counts [dropReasons]uint64
