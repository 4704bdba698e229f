package knowledge

// This file handles this gateway's own observations, which become facts for its peers.

import (
	"math"
	"time"
)

// Observation is this gateway's own observation of a listed member. The fields are those of Fact.
type Observation struct {
	Life
	Stalled, Ejected time.Duration
	Lost             int
	Pace, Answers    float64
	Answered         time.Duration
	Room, Warmth     float64
	Cold             int
}

// refreshInterval is the time after which an unchanged observation that loses its weight fast is reported again. It is
// well below the half-life of stalls.
const refreshInterval = time.Second

// Observe stores this gateway's own observations, as facts for its peers. deaf and blind are as in Fact. An observation
// that differs little from the last one is stored only after an interval (see changed).
func (t *Table) Observe(now Time, list []Observation, deaf, blind time.Duration) {
	for _, o := range list {
		if !t.isListed(o.Life) {
			continue
		}
		if o.Lost > 0 {
			t.lastOverdue[o.Life] = now
		}
		f := Fact{Life: o.Life, Observer: t.options.Self, Stalled: o.Stalled, Lost: o.Lost, Ejected: o.Ejected,
			Warmth: o.Warmth, Cold: o.Cold, Answered: -1, Deaf: deaf, Blind: blind}
		if o.Answered >= 0 {
			f.Answered = o.Answered
		}
		// An estimate that a prior has changed is not this gateway's own observation.
		if at, given := t.priors[o.Life]; o.Answered >= 0 && (!given || now-at > t.options.PriorEchoTime) {
			f.Pace, f.Answers, f.Room = o.Pace, o.Answers, o.Room
		}
		if old := t.facts[key{o.Life, t.options.Self.Name}]; old != nil && !t.changed(now, old, &f) {
			continue
		}
		if f.Served() || f.Lost > 0 || f.Cold > 0 || f.Ejected > 0 {
			t.seq++
			f.Seq = t.seq
			t.store(now, f)
		}
	}
}

// changed reports whether an observation is stored in place of the last one.
func (t *Table) changed(now Time, old *record, f *Fact) bool {
	unremarkable := f.Lost == 0 && f.Ejected == 0 && f.Cold == 0
	switch since := now - old.observedAt; {
	case (old.Lost > 0) != (f.Lost > 0) || (old.Ejected > 0) != (f.Ejected > 0) || (old.Cold > 0) != (f.Cold > 0):
		return true
	case !unremarkable:
		return since >= refreshInterval
	default: // latencies are valid for minutes, so reports on hundreds of healthy members can be rare and cheap
		answered := f.Answered < since
		slowerOrFaster := math.Abs(f.Pace-old.Pace) > 0.25*math.Max(old.Pace, 0.1)
		return since >= 4*refreshInterval && answered || slowerOrFaster && since >= refreshInterval
	}
}
