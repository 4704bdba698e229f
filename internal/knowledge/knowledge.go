// Package knowledge decides what a gateway makes of its peers' word on pool members: which facts are held, how much
// each still weighs, and which guesses follow for members that the gateway has not seen answer itself. It does no
// input or output and knows no clock: time is an argument. It must never list a member, hold one back altogether or
// raise a budget; what it gives out are priors, which the decision module may weigh.
//
// A fact is one gateway's sighting of one member in one life of that member. Facts are held by member, life and
// observer, and of two from one observer the later one stays, so that hearing is commutative, associative and
// idempotent: in whatever order and however often facts come, and through however many hands, the same ones are held.
package knowledge

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Time is a reading of this gateway's clock, from an origin that never moves. Peers' clocks are never compared with
// it: what crosses between gateways are durations.
type Time = time.Duration

// Life names a member in one of its lives.
type Life struct {
	Instance  string
	StartedMs int64 // Unix time in milliseconds, as discovery gives it; 0: long ago
}

// Observer names a gateway in one of its lives.
type Observer struct {
	Name  string
	Birth uint64 // rises with each start
}

// Fact is what an observer saw of a member. Durations are as of the moment it was seen.
type Fact struct {
	Life
	Observer
	Seq  uint64        // rises with each sighting of one observer's life
	Hops int           // hands it came through: 0 is the observer's own word
	Age  time.Duration // how long ago it was seen

	Stalled  time.Duration // the oldest attempt out there has been out so long and nothing has come since; 0: none
	Lost     int           // attempts out there such as take far longer than is typical
	Ejected  time.Duration // the observer sends nothing there for so long
	Pace     float64       // latency over what is typical of each class; 0: not known
	Answers  float64       // answers behind the pace
	Answered time.Duration // how long before it the last answer came; below 0: none ever came
	Room     float64       // attempts of the observer's that it may hold; 0: not known
	Warmth   float64       // least share of its capacity that it has, 0 to 1
	Cold     int           // attempts that the observer sent it within the window of the cold rule

	// How the observer itself was: how long it had been without word from discovery and without any member's answer.
	Deaf, Blind time.Duration
}

// Options are the constants of a book. Each zero value stands for its default.
type Options struct {
	Self Observer

	StallHalfLife time.Duration // half-life of a stall: the news of seconds, as members hang for 8 to 25 s
	PaceHalfLife  time.Duration // of a pace or a room: they follow the machine and its neighbours, for minutes
	ColdHalfLife  time.Duration // of cold work sent: the window of the cold rule is a second
	DeafHalfLife  time.Duration // of trust in an observer that hears nothing from discovery
	BlindHalfLife time.Duration // of trust in what an observer without answers says is bad

	MaxAge          time.Duration // older facts are dropped
	MaxHops         int           // facts through more hands are dropped, and not passed on at so many
	MaxMembers      int
	MaxObservers    int           // observers held
	MaxSuspectShare float64       // of the listed members that peers' word may make suspects
	FaultyShare     float64       // an observer that finds more than this share bad has a fault of its own
	OwnEvidenceTTL  time.Duration // an answer or a loss of one's own counts for so long against all that peers say
	MaxRoom         float64       // room that a peer's word may give
	PriorEchoTime   time.Duration // after which a prior has left the figures that this gateway tells
}

func setDefault[T cmp.Ordered](x *T, standard T) {
	var zero T
	if *x <= zero {
		*x = standard
	}
}

func (o *Options) defaults() {
	setDefault(&o.StallHalfLife, 4*time.Second)
	setDefault(&o.PaceHalfLife, time.Minute)
	setDefault(&o.ColdHalfLife, 500*time.Millisecond)
	setDefault(&o.DeafHalfLife, 30*time.Second)
	setDefault(&o.BlindHalfLife, 500*time.Millisecond)
	setDefault(&o.MaxAge, 2*time.Minute)
	setDefault(&o.MaxHops, 3)
	setDefault(&o.MaxMembers, 10000)
	setDefault(&o.MaxObservers, 64)
	setDefault(&o.MaxSuspectShare, 1.0/3)
	setDefault(&o.FaultyShare, 0.5)
	setDefault(&o.OwnEvidenceTTL, 10*time.Second)
	setDefault(&o.MaxRoom, 16)
	setDefault(&o.PriorEchoTime, 15*time.Second)
}

// Drop says why a fact was not taken.
type DropReason uint8

// The reasons.
const (
	Accepted         DropReason = iota
	Stale                       // no later than what is held
	OwnFact                     // this gateway's own word come back
	UnknownMember               // of a member that is not listed here
	OtherIncarnation            // of a listed member in another life
	Malformed                   // not a number, negative, out of all bounds, without a name
	TooOld                      // seen too long ago
	TooManyHops                 // through too many hands
	TooManyObservers            // more observers than are held
	dropReasons
)

var dropNames = [dropReasons]string{"taken", "old_news", "own", "unknown_member", "other_life", "malformed", "too_old", "too_far", "no_room"}

func (d DropReason) String() string { return dropNames[d] }

// Counts tells how many facts were dropped for each reason, or taken.
type Counts [dropReasons]uint64

type record struct {
	Fact
	observedAt Time   // when it was seen, by this gateway's clock; Fact.Age is not kept
	version    uint64 // of the book when it came in
}

type key struct {
	Life
	observer string
}

// Book holds what is known of the members that are listed. It is not safe for concurrent use.
type Table struct {
	options Options
	listed  map[string]int64 // instance: the life that discovery lists as up
	facts   map[key]*record
	factsOf map[string]int // observers: facts held of each
	version uint64
	seq     uint64
	priors  map[Life]Time // when a prior was last given
	lost    map[Life]Time // when this gateway last had attempts of its own lost there
	counts  Counts
}

// New gives an empty book.
func New(opt Options) *Table {
	opt.defaults()
	return &Table{options: opt, listed: map[string]int64{}, facts: map[key]*record{}, factsOf: map[string]int{},
		priors: map[Life]Time{}, lost: map[Life]Time{}}
}

// List takes in which members discovery lists as up. What is known of any other, or of another life, is forgotten.
func (b *Table) SetMembers(lives []Life) {
	clear(b.listed)
	for _, l := range lives[:min(len(lives), b.options.MaxMembers)] {
		b.listed[l.Instance] = l.StartedMs
	}
	for k := range b.facts {
		if started, ok := b.listed[k.Instance]; !ok || started != k.StartedMs {
			b.forget(k)
		}
	}
	gone := func(l Life, _ Time) bool { started, ok := b.listed[l.Instance]; return !ok || started != l.StartedMs }
	maps.DeleteFunc(b.priors, gone)
	maps.DeleteFunc(b.lost, gone)
}

func (b *Table) forget(k key) {
	delete(b.facts, k)
	if b.factsOf[k.observer]--; b.factsOf[k.observer] == 0 {
		delete(b.factsOf, k.observer)
	}
}

// Hear takes peers' facts in. Each is judged alone: what is odd is dropped and counted, and hurts nothing.
func (b *Table) Receive(now Time, list []Fact) {
	for i := range list {
		b.counts[b.receive(now, list[i])]++
	}
}

const (
	maxNameLength = 128
	maxNumber     = 1e6 // of what is counted, or in seconds
)

func (b *Table) receive(now Time, f Fact) DropReason {
	switch {
	case !f.valid():
		return Malformed
	case f.Age > b.options.MaxAge:
		return TooOld
	case f.Hops > b.options.MaxHops:
		return TooManyHops
	case f.Observer.Name == b.options.Self.Name:
		return OwnFact
	}
	started, ok := b.listed[f.Instance]
	if !ok {
		return UnknownMember
	}
	if started != f.StartedMs {
		return OtherIncarnation
	}
	return b.store(now, f)
}

// sound tells whether a fact's figures are such as an observer can have seen.
func (f *Fact) valid() bool {
	if f.Instance == "" || len(f.Instance) > maxNameLength || f.Observer.Name == "" || len(f.Observer.Name) > maxNameLength {
		return false
	}
	for _, x := range f.numbers() {
		if !(x >= 0 && x <= maxNumber) {
			return false
		}
	}
	return f.Age >= 0 && f.Hops >= 0 && f.Warmth <= 1
}

// later tells whether a fact comes after another of its observer. The same sighting through different hands differs in
// what the ways cost it: the older reading is the true one, and stays.
func (h *record) newer(o *record) bool {
	if c := cmp.Or(cmp.Compare(h.Birth, o.Birth), cmp.Compare(h.Seq, o.Seq)); c != 0 {
		return c > 0
	}
	return cmp.Or(cmp.Compare(o.observedAt, h.observedAt), cmp.Compare(o.Hops, h.Hops), slices.Compare(h.numbers(), o.numbers())) > 0
}

// figures are all that is counted or compared in a fact, for checks and for a total order.
func (f *Fact) numbers() []float64 {
	return []float64{f.Pace, f.Answers, f.Room, f.Warmth, float64(f.Lost), float64(f.Cold), f.Stalled.Seconds(),
		f.Ejected.Seconds(), f.Deaf.Seconds(), f.Blind.Seconds(), max(0, f.Answered.Seconds())}
}

func (b *Table) store(now Time, f Fact) DropReason {
	k := key{f.Life, f.Observer.Name}
	h := &record{Fact: f, observedAt: now - f.Age}
	h.Age = 0
	old := b.facts[k]
	switch {
	case old != nil && !h.newer(old):
		return Stale
	case old == nil && b.factsOf[k.observer] == 0 && len(b.factsOf) >= b.options.MaxObservers:
		return TooManyObservers
	case old == nil:
		b.factsOf[k.observer]++
	}
	b.version++
	h.version = b.version
	b.facts[k] = h
	return Accepted
}

// Sighting is what this gateway itself saw of a listed member.
type Observation struct {
	Life
	Stalled, Ejected time.Duration
	Lost             int
	Pace, Answers    float64
	Answered         time.Duration // how long ago it last answered; below 0: never
	Room, Warmth     float64
	Cold             int
}

// Saw takes this gateway's own sightings in, which its peers are told. Deaf and blind are as in Fact. A sighting that
// differs little from the last one told is told again only after a while.
func (b *Table) Observe(now Time, list []Observation, deaf, blind time.Duration) {
	for _, s := range list {
		if started, ok := b.listed[s.Instance]; !ok || started != s.StartedMs {
			continue
		}
		if s.Lost > 0 {
			b.lost[s.Life] = now
		}
		f := Fact{Life: s.Life, Observer: b.options.Self, Stalled: s.Stalled, Lost: s.Lost, Ejected: s.Ejected, Warmth: s.Warmth,
			Cold: s.Cold, Answered: -1, Deaf: deaf, Blind: blind}
		if s.Answered >= 0 {
			f.Answered = s.Answered
		}
		// What a peer's word has moved is not this gateway's to tell.
		if at, guessed := b.priors[s.Life]; s.Answered >= 0 && (!guessed || now-at > b.options.PriorEchoTime) {
			f.Pace, f.Answers, f.Room = s.Pace, s.Answers, s.Room
		}
		if old := b.facts[key{s.Life, b.options.Self.Name}]; old != nil && !b.changed(now, old, &f) {
			continue
		}
		if f.Served() || f.Lost > 0 || f.Cold > 0 || f.Ejected > 0 {
			b.seq++
			f.Seq = b.seq
			b.store(now, f)
		}
	}
}

// Served tells whether the observer has had an answer from the member.
func (f *Fact) Served() bool { return f.Answered >= 0 }

// renewAfter is how soon an unchanged sighting is told anew: well within the shortest half-life that weighs it.
const refreshInterval = time.Second

// news tells whether a sighting says more than one that was told.
func (b *Table) changed(now Time, old *record, f *Fact) bool {
	quiet := f.Lost == 0 && f.Ejected == 0 && f.Cold == 0
	switch since := now - old.observedAt; {
	case (old.Lost > 0) != (f.Lost > 0) || (old.Ejected > 0) != (f.Ejected > 0) || (old.Cold > 0) != (f.Cold > 0):
		return true
	case !quiet:
		return since >= refreshInterval
	default: // paces matter for minutes, so that hundreds of quiet members cost next to nothing
		return since >= 4*refreshInterval && f.Answered < since || math.Abs(f.Pace-old.Pace) > 0.25*math.Max(old.Pace, 0.1) && since >= refreshInterval
	}
}

// Tell gives the facts that came in after a version and may be passed on, the earliest first and so many at most, with
// their ages, and the version that they bring up to. From 0 on they are the whole picture.
func (b *Table) FactsSince(now Time, after uint64, most int) ([]Fact, uint64) {
	var news []*record
	for _, h := range b.facts {
		if h.version > after && h.onwardHops(b.options.Self) <= b.options.MaxHops && now-h.observedAt <= b.options.MaxAge {
			news = append(news, h)
		}
	}
	slices.SortFunc(news, func(x, y *record) int { return cmp.Compare(x.version, y.version) })
	version := b.version
	if len(news) > most {
		news = news[:most]
		version = news[most-1].version
	}
	list := make([]Fact, len(news))
	for i, h := range news {
		list[i] = h.Fact
		list[i].Age, list[i].Hops = max(0, now-h.observedAt), h.onwardHops(b.options.Self)
	}
	return list, version
}

// hands is how many a fact has come through once it leaves here.
func (h *record) onwardHops(me Observer) int {
	if h.Observer == me {
		return 0
	}
	return h.Hops + 1
}

// Counts gives what became of the facts heard.
func (b *Table) Counts() Counts { return b.counts }

// Size tells how many facts are held, of how many observers.
func (b *Table) Size() (facts, observers int) { return len(b.facts), len(b.factsOf) }
