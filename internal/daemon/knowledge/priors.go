package knowledge

// This file derives priors from facts.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Prior is a prior estimate of a member, derived from the reports of peers.
type Prior struct {
	Life
	Pace    float64 // latency relative to what is typical; 1: typical
	Weight  float64 // number of answers that the estimate counts for
	Room    float64 // attempts that the member can hold; 0: unknown
	Cold    bool    // peers use its slow-start budget
	Suspect bool    // it is probably stuck: peers have overdue attempts at it
}

const (
	suspectPace      = 12.0 // Pace of a suspect: as if its latency were this multiple of the typical one
	suspectWeight    = 6.0  // Weight of a suspect: it outlasts the first few answers
	suspectThreshold = 0.5  // strength of the evidence that makes a suspect
	maxPaceWeight    = 3.0  // highest Weight of a Pace that peers report: a few answers to this gateway outweigh it
	maxPace          = 3.0  // highest Pace that counts: a high latency alone doesn't mean a stall
	maxLostCounted   = 3    // highest number of overdue attempts that counts
	answerWeight     = 2.0  // number of overdue attempts that a fresh answer counts as much as
	answerHalfLife   = time.Second
	minWeight        = 0.05 // facts with a lower weight are ignored
)

// decay returns the weight of evidence of an age, with a half-life: 1 at age 0, and half as much after each half-life.
func decay(age, half time.Duration) float64 { return math.Exp2(-age.Seconds() / half.Seconds()) }

// trust returns the weight of a fact's observer, 0 to 1. It falls with the time since the observer last received an
// update from service discovery.
func (t *Table) trust(r *record) float64 { return decay(r.Deaf, t.options.DeafHalfLife) }

// faultyObservers returns the observers that find so many members unhealthy that they are probably faulty themselves.
func (t *Table) faultyObservers(now Time) map[string]bool {
	type tally struct{ unhealthy, all int }
	tallies := map[string]tally{}
	for k, r := range t.facts {
		n := tallies[k.observer]
		if n.all++; r.unhealthy() && now-r.observedAt <= 2*t.options.StallHalfLife {
			n.unhealthy++
		}
		tallies[k.observer] = n
	}
	faulty := map[string]bool{}
	for name, n := range tallies {
		faulty[name] = float64(n.unhealthy) > t.options.FaultyShare*float64(n.all) && n.unhealthy > 1
	}
	return faulty
}

// Update sets the listed members and stores the gateway's observations of them, as SetMembers and Observe do, and
// returns the priors that follow.
func (t *Table) Update(now Time, own []Observation, deaf, blind time.Duration) []Prior {
	listed := make([]Life, len(own))
	for i, o := range own {
		listed[i] = o.Life
	}
	t.SetMembers(listed)
	t.Observe(now, own, deaf, blind)
	return t.Priors(now, own)
}

// Priors returns priors for the members that this gateway itself has not seen answer, or hang, within
// OwnEvidenceTTL.
func (t *Table) Priors(now Time, own []Observation) []Prior {
	facts := map[Life][]*record{}
	for k, r := range t.facts {
		if k.observer != t.options.Self.Name && now-r.observedAt <= t.options.MaxAge {
			facts[k.Life] = append(facts[k.Life], r)
		}
	}
	faulty := t.faultyObservers(now)
	var list []Prior
	var suspects []suspect
	for _, o := range own {
		if !t.isListed(o.Life) || len(facts[o.Life]) == 0 || t.hasOwnEvidence(now, &o) {
			continue
		}
		p, strength := t.weigh(now, o.Life, facts[o.Life], faulty)
		if p.Weight <= 0 {
			continue
		}
		if strength >= suspectThreshold {
			suspects = append(suspects, suspect{len(list), strength})
		}
		list = append(list, p)
	}
	t.markSuspects(list, suspects)
	for _, p := range list {
		t.priors[p.Life] = now
	}
	return list
}

// hasOwnEvidence reports whether this gateway itself has seen a member answer, or had an overdue attempt at it,
// within OwnEvidenceTTL.
func (t *Table) hasOwnEvidence(now Time, o *Observation) bool {
	overdueAt, known := t.lastOverdue[o.Life]
	return known && now-overdueAt <= t.options.OwnEvidenceTTL || o.Answered >= 0 && o.Answered <= t.options.OwnEvidenceTTL
}

// markSuspects marks the priors of the suspects with the strongest evidence, as many as MaxSuspectShare allows, and
// sets their estimates to those of a suspect.
func (t *Table) markSuspects(list []Prior, suspects []suspect) {
	slices.SortStableFunc(suspects, func(x, y suspect) int {
		return cmp.Or(cmp.Compare(y.strength, x.strength), cmp.Compare(list[x.index].Instance, list[y.index].Instance))
	})
	most := int(t.options.MaxSuspectShare * float64(len(t.listed)))
	for _, s := range suspects[:min(len(suspects), most)] {
		p := &list[s.index]
		p.Suspect, p.Pace, p.Weight, p.Room = true, suspectPace, suspectWeight, 0
	}
}

// suspect is a candidate of markSuspects, with the strength of the evidence.
type suspect struct {
	index    int // in the list of priors
	strength float64
}

// weigh combines the facts on a member: it returns the prior that applies if the member is not marked as a suspect,
// and the strength of the evidence that it is stuck, 0 to 1.
func (t *Table) weigh(now Time, member Life, facts []*record, faulty map[string]bool) (p Prior, strength float64) {
	// The order is fixed, as the last bits of the sums depend on it.
	slices.SortFunc(facts, func(x, y *record) int { return cmp.Compare(x.Observer.Name, y.Observer.Name) })
	p = Prior{Life: member}
	var unhealthy, healthy, pace, paceWeight, room, roomWeight float64
	for _, r := range facts {
		age := max(0, now-r.observedAt)
		trust := t.trust(r)
		if r.Served() {
			healthy += trust * decay(age+r.Answered, answerHalfLife)
		}
		if r.unhealthy() && !faulty[r.Observer.Name] {
			w := trust * decay(age, t.options.StallHalfLife) * decay(r.Blind, t.options.BlindHalfLife)
			if ejectionEnded := r.Ejected > 0 && r.Ejected <= age; ejectionEnded && r.Lost == 0 {
				w = 0
			}
			if w >= minWeight {
				unhealthy += w * float64(max(1, min(r.Lost, maxLostCounted)))
			}
		}
		w := trust * decay(age, t.options.PaceHalfLife) * decay(r.Blind, t.options.BlindHalfLife)
		// The latency and room that a member had while it was stalled say nothing about it when it isn't stalled.
		if n := w * math.Min(r.Answers, maxPaceWeight); r.Pace > 0 && !r.unhealthy() && n >= minWeight {
			pace, paceWeight = pace+n*math.Min(r.Pace, maxPace), paceWeight+n
			if r.Room > 0 {
				room, roomWeight = room+w*r.Room, roomWeight+w
			}
		}
		if float64(r.Cold)*trust*decay(age, t.options.ColdHalfLife) >= 0.5 && r.Warmth < 1 {
			p.Cold = true
		}
	}
	if unhealthy > 0 {
		strength = unhealthy / (unhealthy + answerWeight*healthy) * math.Min(1, unhealthy)
	}
	switch {
	case paceWeight > 0:
		p.Pace, p.Weight = pace/paceWeight, math.Min(paceWeight, maxPaceWeight)
	case strength >= suspectThreshold || p.Cold:
		p.Pace, p.Weight = 1, minWeight // its latency is unknown
	}
	if roomWeight > 0 {
		p.Room = math.Min(room/roomWeight, t.options.MaxRoom)
	}
	return p, strength
}
