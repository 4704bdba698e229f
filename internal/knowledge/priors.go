package knowledge

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Prior is a guess of a member for the decision module.
type Prior struct {
	Life
	Pace    float64 // latency over what is typical: 1 is like the others
	Weight  float64 // answers that the guess counts for
	Room    float64 // attempts it may hold; 0: no guess
	Cold    bool    // peers are at work on its cold budget
	Suspect bool    // peers lose attempts there
}

const (
	suspectPace      = 12.0 // pace of a suspect: as of attempts that are out for so many typical times
	suspectWeight    = 6.0  // answers that it counts for, so that a guess outlasts the first seconds
	maxPaceWeight    = 3.0  // most that a pace of peers counts for: a few answers of one's own outweigh it
	maxPace          = 3.0  // a pace alone is no stall
	suspectThreshold = 0.5  // share of the evidence that makes a suspect
	maxLostCounted   = 3    // attempts lost at a member that count, at most
	answerWeight     = 2.0  // a fresh answer speaks for a member as so many lost attempts speak against it
	minWeight        = 0.05 // lighter facts say nothing
	answerHalfLife   = time.Second
)

func decay(age, half time.Duration) float64 { return math.Exp2(-age.Seconds() / half.Seconds()) }

// trust is how far an observer's word counts for a fact: less the longer it hears nothing from discovery.
func (b *Table) trust(h *record) float64 { return decay(h.Deaf, b.options.DeafHalfLife) }

// odd gives the observers that find so many members bad that the fault is likely their own.
func (b *Table) faultyObservers(now Time) map[string]bool {
	type tally struct{ bad, all int }
	tallies := map[string]tally{}
	for k, h := range b.facts {
		t := tallies[k.observer]
		if t.all++; h.unhealthy() && now-h.observedAt <= 2*b.options.StallHalfLife {
			t.bad++
		}
		tallies[k.observer] = t
	}
	odd := map[string]bool{}
	for name, t := range tallies {
		odd[name] = float64(t.bad) > b.options.FaultyShare*float64(t.all) && t.bad > 1
	}
	return odd
}

func (f *Fact) unhealthy() bool { return f.Stalled > 0 && f.Lost > 0 || f.Ejected > 0 }

// Update takes in what this gateway itself has seen of the members that are listed, as List and Saw do, and gives the
// priors that follow.
func (b *Table) Update(now Time, own []Observation, deaf, blind time.Duration) []Prior {
	listed := make([]Life, len(own))
	for i, s := range own {
		listed[i] = s.Life
	}
	b.SetMembers(listed)
	b.Observe(now, own, deaf, blind)
	return b.Priors(now, own)
}

// Priors gives the guesses for members that this gateway has not lately seen answer or stall itself. Own sightings
// come first: a member of which there is one is left to them.
func (b *Table) Priors(now Time, own []Observation) []Prior {
	byLife := map[Life][]*record{}
	for k, h := range b.facts {
		if k.observer != b.options.Self.Name && now-h.observedAt <= b.options.MaxAge {
			byLife[k.Life] = append(byLife[k.Life], h)
		}
	}
	odd := b.faultyObservers(now)
	var list []Prior
	type suspect struct {
		at       int // in list
		strength float64
	}
	var suspects []suspect
	for _, s := range own {
		if started, ok := b.listed[s.Instance]; !ok || started != s.StartedMs {
			continue
		}
		facts := byLife[s.Life]
		lost, ever := b.lost[s.Life]
		if len(facts) == 0 || ever && now-lost <= b.options.OwnEvidenceTTL || s.Answered >= 0 && s.Answered <= b.options.OwnEvidenceTTL {
			continue
		}
		slices.SortFunc(facts, func(x, y *record) int { return cmp.Compare(x.Observer.Name, y.Observer.Name) }) // sums don't depend on order
		p, strength := b.weigh(now, s, facts, odd)
		if p.Weight <= 0 {
			continue
		}
		if strength >= suspectThreshold {
			suspects = append(suspects, suspect{len(list), strength})
		}
		list = append(list, p)
	}
	// Only so many may be suspects that the rest can carry the load, the surest first.
	slices.SortStableFunc(suspects, func(x, y suspect) int {
		return cmp.Or(cmp.Compare(y.strength, x.strength), cmp.Compare(list[x.at].Instance, list[y.at].Instance))
	})
	for _, s := range suspects[:min(len(suspects), int(b.options.MaxSuspectShare*float64(len(b.listed))))] {
		p := &list[s.at]
		p.Suspect, p.Pace, p.Weight, p.Room = true, suspectPace, suspectWeight, 0
	}
	for _, p := range list {
		b.priors[p.Life] = now
	}
	return list
}

// weigh adds up what is said of a member: its prior where it is no suspect, and how sure it is one.
func (b *Table) weigh(now Time, s Observation, facts []*record, odd map[string]bool) (p Prior, strength float64) {
	p = Prior{Life: s.Life}
	var bad, good, pace, paces, room, rooms float64
	for _, h := range facts {
		age := max(0, now-h.observedAt)
		trust := b.trust(h)
		if h.Served() {
			good += trust * decay(age+h.Answered, answerHalfLife)
		}
		if h.unhealthy() && !odd[h.Observer.Name] {
			w := trust * decay(age, b.options.StallHalfLife) * decay(h.Blind, b.options.BlindHalfLife)
			if left := h.Ejected - age; h.Ejected > 0 && left <= 0 && h.Lost == 0 {
				w = 0
			}
			if w >= minWeight {
				bad += w * float64(max(1, min(h.Lost, maxLostCounted)))
			}
		}
		w := trust * decay(age, b.options.PaceHalfLife) * decay(h.Blind, b.options.BlindHalfLife)
		// What a member's pace was while it stalled is no pace, and its room was none.
		if n := w * math.Min(h.Answers, maxPaceWeight); h.Pace > 0 && !h.unhealthy() && n >= minWeight {
			pace, paces = pace+n*math.Min(h.Pace, maxPace), paces+n
			if h.Room > 0 {
				room, rooms = room+w*h.Room, rooms+w
			}
		}
		if float64(h.Cold)*trust*decay(age, b.options.ColdHalfLife) >= 0.5 && h.Warmth < 1 {
			p.Cold = true
		}
	}
	if bad > 0 {
		strength = bad / (bad + answerWeight*good) * math.Min(1, bad)
	}
	switch {
	case paces > 0:
		p.Pace, p.Weight = pace/paces, math.Min(paces, maxPaceWeight)
	case strength >= suspectThreshold || p.Cold:
		p.Pace, p.Weight = 1, minWeight // nothing is known of its pace
	}
	if rooms > 0 {
		p.Room = math.Min(room/rooms, b.options.MaxRoom)
	}
	return p, strength
}
