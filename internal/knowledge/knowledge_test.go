package knowledge

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	second = time.Second
	start  = time.Hour
)

func lives(n int) (list []Life) {
	for i := range n {
		list = append(list, Life{Instance: fmt.Sprintf("m-%02d", i)})
	}
	return list
}

// blank is a gateway's book before ten members of which it has seen nothing.
func blank(me string) *Table {
	b := New(Options{Self: Observer{Name: me, Birth: 1}})
	b.SetMembers(lives(10))
	return b
}

// unseen are sightings of members that have not been tried.
func unseen(n int) (list []Observation) {
	for _, l := range lives(n) {
		list = append(list, Observation{Life: l, Answered: -1, Warmth: 1})
	}
	return list
}

func well(by string, seq uint64, member int) Fact {
	return Fact{Life: lives(member + 1)[member], Observer: Observer{Name: by, Birth: 1}, Seq: seq, Pace: 1, Answers: 8, Room: 3, Warmth: 1,
		Answered: 50 * time.Millisecond}
}

func stalled(by string, seq uint64, member int) Fact {
	f := well(by, seq, member)
	f.Stalled, f.Lost, f.Answered, f.Pace = 3*second, 3, 4*second, 9
	return f
}

// told is a peer's picture of ten members of which some stall.
func told(by string, bad ...int) (list []Fact) {
	for i := range 10 {
		f := well(by, uint64(i+1), i)
		for _, b := range bad {
			if b == i {
				f = stalled(by, uint64(i+1), i)
			}
		}
		list = append(list, f)
	}
	return list
}

func suspects(list []Prior) (names []string) {
	for _, p := range list {
		if p.Suspect {
			names = append(names, p.Instance)
		}
	}
	return names
}

func TestRecentStallsMakeSuspects(t *testing.T) {
	b := blank("g2")
	b.Receive(start, told("g0", 3, 7))
	priors := b.Priors(start, unseen(10))
	assert.Len(t, priors, 10)
	assert.Equal(t, []string{"m-03", "m-07"}, suspects(priors))
	assert.Greater(t, priors[3].Pace*priors[3].Weight, 10*priors[2].Pace*priors[2].Weight)
	assert.InDelta(t, 3, priors[2].Room, 1e-9)
	assert.Equal(t, []string{"m-03", "m-07"}, suspects(b.Priors(start+4*second, unseen(10))))
	assert.Empty(t, suspects(b.Priors(start+20*second, unseen(10)))) // nobody says so any more
}

// The peer has been cut off for half a minute: what it holds is old, and what it sees since then is its own fault.
func TestPartitionedObserver(t *testing.T) {
	b := blank("g2")
	old := told("g0", 3, 7)
	for i := range old {
		old[i].Age, old[i].Deaf = 30*second, 30*second
	}
	b.Receive(start, old)
	assert.Empty(t, suspects(b.Priors(start, unseen(10))))
	// It goes on and finds all its attempts lost, at four members so far.
	blind := told("g0", 0, 1, 2, 4)
	for i := range blind {
		blind[i].Seq, blind[i].Blind, blind[i].Deaf = blind[i].Seq+100, 4*second, 30*second
	}
	b.Receive(start, blind)
	assert.Empty(t, suspects(b.Priors(start, unseen(10))))
}

// All members look bad to a peer whose own network is bad. Where more than half do, its word on stalls is not taken.
func TestFaultyObserver(t *testing.T) {
	b := blank("g2")
	b.Receive(start, told("g0", 0, 1, 2, 3, 4, 5, 6, 8))
	assert.Empty(t, suspects(b.Priors(start, unseen(10))))
	b = blank("g2")
	b.Receive(start, told("g0", 0, 1, 2, 3, 4)) // half: more than may be suspects
	assert.Len(t, suspects(b.Priors(start, unseen(10))), 3)
}

func TestRestartedMember(t *testing.T) {
	b := blank("g2")
	list := lives(10)
	list[3].StartedMs = 77000 // at the same address or at another: its life is another
	b.SetMembers(list)
	b.Receive(start, told("g0", 3, 7))
	assert.Equal(t, []string{"m-07"}, suspects(b.Priors(start, unseen(10))))
	assert.Equal(t, uint64(1), b.Counts()[OtherIncarnation])
	list[7].StartedMs = 78000 // while its facts are held
	b.SetMembers(list)
	assert.Empty(t, suspects(b.Priors(start, unseen(10))))
	facts, _ := b.Size()
	assert.Equal(t, 8, facts)
}

func TestUnlistedMember(t *testing.T) {
	b := blank("g2")
	b.SetMembers(lives(5)) // the others drain or are gone
	b.Receive(start, told("g0"))
	assert.Equal(t, uint64(5), b.Counts()[UnknownMember])
	for _, p := range b.Priors(start, unseen(10)) {
		assert.Less(t, p.Instance, "m-05")
	}
}

func TestContradictingPeers(t *testing.T) {
	b := blank("g2")
	once := stalled("g0", 1, 3)
	once.Lost = 1
	b.Receive(start, []Fact{once, well("g1", 1, 3), well("g0", 2, 4)})
	assert.Empty(t, suspects(b.Priors(start, unseen(10))), "one attempt lost against an answer just now")
	earlier := well("g1", 2, 3)
	earlier.Answered = 5 * second
	b.Receive(start, []Fact{stalled("g0", 3, 3), earlier})
	assert.Equal(t, []string{"m-03"}, suspects(b.Priors(start, unseen(10))), "three lost against an answer of long ago")
}

// Own sightings come first: an answer, or an attempt lost, ends what peers may say for a while.
func TestOwnObservationsComeFirst(t *testing.T) {
	b := blank("g2")
	b.Receive(start, told("g0", 3, 7))
	own := unseen(10)
	own[3].Answered = second
	own[5].Lost, own[5].Stalled = 1, second
	b.Observe(start, own, 0, 0)
	own[5].Lost = 0 // the attempt is over; that it was lost is still known
	priors := b.Priors(start+2*second, own)
	assert.Equal(t, []string{"m-07"}, suspects(priors))
	assert.Len(t, priors, 8)
	own[3].Answered = 11 * second
	b.Receive(start+11*second, []Fact{stalled("g0", 99, 3), well("g0", 100, 1)})
	assert.Contains(t, suspects(b.Priors(start+11*second, own)), "m-03")
}

// What a peer's word has moved is not told on as this gateway's own.
func TestPriorsAreNotPropagated(t *testing.T) {
	b := blank("g2")
	b.Receive(start, told("g0"))
	require.Len(t, b.Priors(start, unseen(10)), 10)
	own := unseen(10)
	own[1].Answered, own[1].Pace, own[1].Answers, own[1].Room = 0, 1.5, 4, 3
	b.Observe(start+second, own, 0, 0)
	mine := func(now Time) (f Fact) {
		list, _ := b.FactsSince(now, 0, 100)
		for _, x := range list {
			if x.Observer.Name == "g2" {
				f = x
			}
		}
		return f
	}
	assert.Equal(t, "m-01", mine(start+second).Instance)
	assert.Zero(t, mine(start+second).Pace)
	b.Observe(start+20*second, own, 0, 0)
	assert.Equal(t, 1.5, mine(start+20*second).Pace)
}

// Three gateways tell each other all they hold, over ways whose time nobody counts. What went round is the same
// sighting still and no younger than the ways took.
func TestFactsInACycle(t *testing.T) {
	books := []*Table{blank("g0"), blank("g1"), blank("g2")}
	seen := unseen(10)
	seen[3].Lost, seen[3].Stalled = 2, 2*second
	books[0].Observe(start, seen, 0, 0) // once, and never again
	const way = 5 * time.Millisecond
	now := start
	for range 400 {
		for i, b := range books {
			facts, _ := b.FactsSince(now, 0, 100)
			now += way
			books[(i+1)%3].Receive(now, facts)
			books[(i+2)%3].Receive(now, facts)
		}
	}
	for i, b := range books {
		list, _ := b.FactsSince(now, 0, 100)
		require.Len(t, list, 1, "book %d", i)
		assert.Equal(t, "g0", list[0].Observer.Name)
		assert.InDelta(t, (now - start).Seconds(), list[0].Age.Seconds(), (4 * way).Seconds())
		assert.LessOrEqual(t, list[0].Hops, 2)
	}
	assert.Empty(t, suspects(books[2].Priors(now+20*second, unseen(10))))
}

func TestMalformedFactsAreDropped(t *testing.T) {
	b := blank("g2")
	for reason, spoil := range map[DropReason]func(*Fact){
		TooOld: func(f *Fact) { f.Age = time.Hour }, TooManyHops: func(f *Fact) { f.Hops = 9 }, OwnFact: func(f *Fact) { f.Observer.Name = "g2" },
		UnknownMember: func(f *Fact) { f.Instance = "x" }, OtherIncarnation: func(f *Fact) { f.StartedMs = 1 },
	} {
		f := well("g0", 1, 1)
		spoil(&f)
		assert.Equal(t, reason, b.receive(start, f), reason.String())
	}
	for name, spoil := range map[string]func(*Fact){
		"not a number": func(f *Fact) { f.Pace = math.NaN() }, "infinite": func(f *Fact) { f.Room = math.Inf(1) },
		"negative age": func(f *Fact) { f.Age = -1 }, "negative": func(f *Fact) { f.Answers = -1 }, "lost": func(f *Fact) { f.Lost = -1 },
		"too warm": func(f *Fact) { f.Warmth = 1.5 }, "no observer": func(f *Fact) { f.Observer.Name = "" },
		"long name": func(f *Fact) { f.Instance = string(make([]byte, 1000)) }, "no instance": func(f *Fact) { f.Instance = "" },
		"hops": func(f *Fact) { f.Hops = -1 }, "blind": func(f *Fact) { f.Blind = -second }, "stalled": func(f *Fact) { f.Stalled = 1e9 * second },
	} {
		f := well("g0", 1, 1)
		spoil(&f)
		assert.Equal(t, Malformed, b.receive(start, f), name)
	}
	facts, _ := b.Size()
	assert.Zero(t, facts)
}

// A million facts leave no more than the bounds allow.
func TestTableIsBounded(t *testing.T) {
	b := New(Options{Self: Observer{Name: "g2", Birth: 1}, MaxObservers: 4})
	b.SetMembers(lives(10))
	for i := range 1000000 {
		b.receive(start, well(fmt.Sprintf("g%d", 10+i%1000), uint64(i), i%10))
	}
	facts, observers := b.Size()
	assert.LessOrEqual(t, facts, 40)
	assert.Equal(t, 4, observers)
	b.Receive(start+time.Minute, told("g10", 2))
	list, _ := b.FactsSince(start+time.Minute, 0, 7)
	assert.Len(t, list, 7)
}

// Tell in parts gives each fact once, and after that only what is new.
func TestFactsSinceInParts(t *testing.T) {
	b := blank("g2")
	b.Receive(start, told("g0"))
	b.Receive(start, told("g1"))
	seen, after := 0, uint64(0)
	for {
		list, version := b.FactsSince(start, after, 3)
		if after = version; len(list) == 0 {
			break
		}
		seen += len(list)
	}
	assert.Equal(t, 20, seen)
	b.Receive(start, []Fact{well("g1", 99, 4)})
	list, _ := b.FactsSince(start, after, 100)
	assert.Len(t, list, 1)
}

// drawFacts draws honest facts: what is in one follows from its member, observer, birth and sequence, and only the way
// it came differs.
func drawFacts(t *rapid.T) (list []Fact) {
	for range rapid.IntRange(0, 30).Draw(t, "facts") {
		birth, seq := uint64(rapid.IntRange(1, 2).Draw(t, "birth")), uint64(rapid.IntRange(1, 5).Draw(t, "seq"))
		f := well(fmt.Sprintf("g%d", rapid.IntRange(0, 3).Draw(t, "by")), seq, rapid.IntRange(0, 11).Draw(t, "member"))
		f.Birth, f.Lost = birth, int(seq+birth)%3
		f.Stalled = time.Duration(f.Lost) * second
		f.Hops = rapid.IntRange(0, 3).Draw(t, "hops")
		f.Age = time.Duration(10*seq+uint64(rapid.IntRange(0, 9).Draw(t, "way"))) * time.Millisecond
		f.Cold, f.Warmth = int(seq%2), 0.5
		list = append(list, f)
	}
	return list
}

// In whatever order, however often and however grouped facts come, the same ones are held.
func TestReceiveIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawFacts(t)
		a, b := blank("g9"), blank("g9")
		a.Receive(start, list)
		shuffled := rapid.Permutation(list).Draw(t, "order")
		cut := rapid.IntRange(0, len(list)).Draw(t, "cut")
		b.Receive(start, shuffled[cut:])
		b.Receive(start, shuffled[:cut])
		b.Receive(start, shuffled) // once more
		holds := func(x *Table) map[key]record {
			m := map[key]record{}
			for k, h := range x.facts {
				v := *h
				v.version = 0
				m[k] = v
			}
			return m
		}
		if x, y := holds(a), holds(b); !assert.ObjectsAreEqual(x, y) {
			t.Fatalf("%v\n%v", x, y)
		}
		if x, y := a.Priors(start+second, unseen(10)), b.Priors(start+second, unseen(10)); !assert.ObjectsAreEqual(x, y) {
			t.Fatalf("%v\n%v", x, y)
		}
	})
}

// Over random histories priors are for listed lives that this gateway has not seen, few are suspects, and all figures
// are such as the decision module may take.
func TestPriorsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := blank("g9"), start
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "passes")) * time.Millisecond
			n := rapid.IntRange(0, 10).Draw(t, "listed")
			listed := lives(n)
			for i := range listed {
				listed[i].StartedMs = int64(rapid.IntRange(0, 1).Draw(t, "life"))
			}
			b.SetMembers(listed)
			b.Receive(now, drawFacts(t))
			own := unseen(12)
			for i := range own {
				if rapid.Bool().Draw(t, "answered") {
					own[i].Answered = second
				}
			}
			b.Observe(now, own, 0, 0)
			priors := b.Priors(now, own)
			if most := n / 3; len(suspects(priors)) > most {
				t.Fatalf("%d suspects of %d", len(suspects(priors)), n)
			}
			seen := map[Life]bool{}
			for _, s := range own {
				seen[s.Life] = s.Answered >= 0
			}
			for _, p := range priors {
				if started, ok := b.listed[p.Instance]; !ok || started != p.StartedMs || seen[p.Life] {
					t.Fatalf("a prior for %+v, which is not listed or was seen", p)
				}
				if !(p.Pace > 0 && p.Pace <= suspectPace && p.Weight > 0 && p.Weight <= suspectWeight && p.Room >= 0 && p.Room <= b.options.MaxRoom) {
					t.Fatalf("out of bounds: %+v", p)
				}
			}
		}
	})
}
