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
	stallPace   = 12.0 // pace of a suspect: as of attempts that are out for so many typical times
	stallWeight = 6.0  // answers that it counts for, so that a guess outlasts the first seconds
	paceWeight  = 3.0  // most that a pace of peers counts for: a few answers of one's own outweigh it
	mostPace    = 3.0  // a pace alone is no stall
	sureOf      = 0.5  // share of the evidence that makes a suspect
	lostCounts  = 3    // attempts lost at a member that count, at most
	goodCounts  = 2.0  // a fresh answer speaks for a member as so many lost attempts speak against it
	leastWeight = 0.05 // lighter facts say nothing
	goodHalf    = time.Second
)

func fading(age, half time.Duration) float64 { return math.Exp2(-age.Seconds() / half.Seconds()) }

// trust is how far an observer's word counts for a fact: less the longer it hears nothing from discovery.
func (b *Book) trust(h *held) float64 { return fading(h.Deaf, b.opt.DeafHalf) }

// odd gives the observers that find so many members bad that the fault is likely their own.
func (b *Book) odd(now Time) map[string]bool {
	type tally struct{ bad, all int }
	tallies := map[string]tally{}
	for k, h := range b.facts {
		t := tallies[k.observer]
		if t.all++; h.bad() && now-h.seen <= 2*b.opt.StallHalf {
			t.bad++
		}
		tallies[k.observer] = t
	}
	odd := map[string]bool{}
	for name, t := range tallies {
		odd[name] = float64(t.bad) > b.opt.OddShare*float64(t.all) && t.bad > 1
	}
	return odd
}

func (f *Fact) bad() bool { return f.Stalled > 0 && f.Lost > 0 || f.Ejected > 0 }

// Update takes in what this gateway itself has seen of the members that are listed, as List and Saw do, and gives the
// priors that follow.
func (b *Book) Update(now Time, own []Sighting, deaf, blind time.Duration) []Prior {
	listed := make([]Life, len(own))
	for i, s := range own {
		listed[i] = s.Life
	}
	b.List(listed)
	b.Saw(now, own, deaf, blind)
	return b.Priors(now, own)
}

// Priors gives the guesses for members that this gateway has not lately seen answer or stall itself. Own sightings
// come first: a member of which there is one is left to them.
func (b *Book) Priors(now Time, own []Sighting) []Prior {
	byLife := map[Life][]*held{}
	for k, h := range b.facts {
		if k.observer != b.opt.Me.Name && now-h.seen <= b.opt.MostAge {
			byLife[k.Life] = append(byLife[k.Life], h)
		}
	}
	odd := b.odd(now)
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
		if len(facts) == 0 || ever && now-lost <= b.opt.OwnHolds || s.Answered >= 0 && s.Answered <= b.opt.OwnHolds {
			continue
		}
		slices.SortFunc(facts, func(x, y *held) int { return cmp.Compare(x.Observer.Name, y.Observer.Name) }) // sums don't depend on order
		p, strength := b.weigh(now, s, facts, odd)
		if p.Weight <= 0 {
			continue
		}
		if strength >= sureOf {
			suspects = append(suspects, suspect{len(list), strength})
		}
		list = append(list, p)
	}
	// Only so many may be suspects that the rest can carry the load, the surest first.
	slices.SortStableFunc(suspects, func(x, y suspect) int {
		return cmp.Or(cmp.Compare(y.strength, x.strength), cmp.Compare(list[x.at].Instance, list[y.at].Instance))
	})
	for _, s := range suspects[:min(len(suspects), int(b.opt.SuspectShare*float64(len(b.listed))))] {
		p := &list[s.at]
		p.Suspect, p.Pace, p.Weight, p.Room = true, stallPace, stallWeight, 0
	}
	for _, p := range list {
		b.priors[p.Life] = now
	}
	return list
}

// weigh adds up what is said of a member: its prior where it is no suspect, and how sure it is one.
func (b *Book) weigh(now Time, s Sighting, facts []*held, odd map[string]bool) (p Prior, strength float64) {
	p = Prior{Life: s.Life}
	var bad, good, pace, paces, room, rooms float64
	for _, h := range facts {
		age := max(0, now-h.seen)
		trust := b.trust(h)
		if h.Served() {
			good += trust * fading(age+h.Answered, goodHalf)
		}
		if h.bad() && !odd[h.Observer.Name] {
			w := trust * fading(age, b.opt.StallHalf) * fading(h.Blind, b.opt.BlindHalf)
			if left := h.Ejected - age; h.Ejected > 0 && left <= 0 && h.Lost == 0 {
				w = 0
			}
			if w >= leastWeight {
				bad += w * float64(max(1, min(h.Lost, lostCounts)))
			}
		}
		w := trust * fading(age, b.opt.PaceHalf) * fading(h.Blind, b.opt.BlindHalf)
		// What a member's pace was while it stalled is no pace, and its room was none.
		if n := w * math.Min(h.Answers, paceWeight); h.Pace > 0 && !h.bad() && n >= leastWeight {
			pace, paces = pace+n*math.Min(h.Pace, mostPace), paces+n
			if h.Room > 0 {
				room, rooms = room+w*h.Room, rooms+w
			}
		}
		if float64(h.Cold)*trust*fading(age, b.opt.ColdHalf) >= 0.5 && h.Warmth < 1 {
			p.Cold = true
		}
	}
	if bad > 0 {
		strength = bad / (bad + goodCounts*good) * math.Min(1, bad)
	}
	switch {
	case paces > 0:
		p.Pace, p.Weight = pace/paces, math.Min(paces, paceWeight)
	case strength >= sureOf || p.Cold:
		p.Pace, p.Weight = 1, leastWeight // nothing is known of its pace
	}
	if rooms > 0 {
		p.Room = math.Min(room/rooms, b.opt.RoomMost)
	}
	return p, strength
}
