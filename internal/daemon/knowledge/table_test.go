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

// memberList returns n members, m-00 and so on.
func memberList(n int) (list []Life) {
	for i := range n {
		list = append(list, Life{Instance: fmt.Sprintf("m-%02d", i)})
	}
	return list
}

// newTestTable returns the table of a gateway that lists ten members and has no facts.
func newTestTable(me string) *Table {
	b := New(Options{Self: Observer{Name: me, Birth: 1}})
	b.SetMembers(memberList(10))
	return b
}

// unseen returns observations of n members to which the gateway has sent nothing.
func unseen(n int) (list []Observation) {
	for _, l := range memberList(n) {
		list = append(list, Observation{Life: l, Answered: -1, Warmth: 1})
	}
	return list
}

// healthyFact returns the fact of a healthy member.
func healthyFact(by string, seq uint64, member int) Fact {
	return Fact{Life: memberList(member + 1)[member], Observer: Observer{Name: by, Birth: 1}, Seq: seq, Pace: 1,
		Answers: 8, Room: 3, Warmth: 1, Answered: 50 * time.Millisecond}
}

// stalledFact returns the fact of a stalled member.
func stalledFact(by string, seq uint64, member int) Fact {
	f := healthyFact(by, seq, member)
	f.Stalled, f.Lost, f.Answered, f.Pace = 3*second, 3, 4*second, 9
	return f
}

// factsOf returns an observer's facts of ten members, of which some are stalled.
func factsOf(by string, bad ...int) (list []Fact) {
	for i := range 10 {
		f := healthyFact(by, uint64(i+1), i)
		for _, b := range bad {
			if b == i {
				f = stalledFact(by, uint64(i+1), i)
			}
		}
		list = append(list, f)
	}
	return list
}

// suspects returns the names of the suspects.
func suspects(list []Prior) (names []string) {
	for _, p := range list {
		if p.Suspect {
			names = append(names, p.Instance)
		}
	}
	return names
}

// Facts on another incarnation of a member are dropped, and removed when it restarts.
func TestRestartedMember(t *testing.T) {
	b := newTestTable("g2")
	list := memberList(10)
	list[3].StartedMs = 77000 // restarted, whether or not at the same address
	b.SetMembers(list)
	b.Receive(start, factsOf("g0", 3, 7))
	assert.Equal(t, []string{"m-07"}, suspects(b.Priors(start, unseen(10))))
	assert.Equal(t, uint64(1), b.Counts()[OtherIncarnation])
	list[7].StartedMs = 78000 // while the table has its facts
	b.SetMembers(list)
	assert.Empty(t, suspects(b.Priors(start, unseen(10))))
	facts, _ := b.Size()
	assert.Equal(t, 8, facts)
}

// Facts on members that are not listed are dropped.
func TestUnlistedMember(t *testing.T) {
	b := newTestTable("g2")
	b.SetMembers(memberList(5)) // the others are draining or have departed
	b.Receive(start, factsOf("g0"))
	assert.Equal(t, uint64(5), b.Counts()[UnknownMember])
	for _, p := range b.Priors(start, unseen(10)) {
		assert.Less(t, p.Instance, "m-05")
	}
}

// Three gateways forward all facts to each other, with delays that the ages don't include. A fact that comes back is
// still the same observation, and is not renewed.
func TestFactsInACycle(t *testing.T) {
	tables := []*Table{newTestTable("g0"), newTestTable("g1"), newTestTable("g2")}
	seen := unseen(10)
	seen[3].Lost, seen[3].Stalled = 2, 2*second
	tables[0].Observe(start, seen, 0, 0) // once, and never again
	const delay = 5 * time.Millisecond
	now := start
	for range 400 {
		for i, b := range tables {
			facts, _ := b.FactsSince(now, 0, 100)
			now += delay
			tables[(i+1)%3].Receive(now, facts)
			tables[(i+2)%3].Receive(now, facts)
		}
	}
	for i, b := range tables {
		list, _ := b.FactsSince(now, 0, 100)
		require.Len(t, list, 1, "table %d", i)
		assert.Equal(t, "g0", list[0].Observer.Name)
		assert.InDelta(t, (now - start).Seconds(), list[0].Age.Seconds(), (4 * delay).Seconds())
		assert.LessOrEqual(t, list[0].Hops, 2)
	}
	assert.Empty(t, suspects(tables[2].Priors(now+20*second, unseen(10))))
}

// Each kind of unusable fact is dropped for its reason.
func TestMalformedFactsAreDropped(t *testing.T) {
	b := newTestTable("g2")
	for reason, spoil := range map[DropReason]func(*Fact){
		TooOld:           func(f *Fact) { f.Age = time.Hour },
		TooManyHops:      func(f *Fact) { f.Hops = 9 },
		OwnFact:          func(f *Fact) { f.Observer.Name = "g2" },
		UnknownMember:    func(f *Fact) { f.Instance = "x" },
		OtherIncarnation: func(f *Fact) { f.StartedMs = 1 },
	} {
		f := healthyFact("g0", 1, 1)
		spoil(&f)
		assert.Equal(t, reason, b.receive(start, f), reason.String())
	}
	for name, spoil := range map[string]func(*Fact){
		"not a number": func(f *Fact) { f.Pace = math.NaN() },
		"infinite":     func(f *Fact) { f.Room = math.Inf(1) },
		"negative age": func(f *Fact) { f.Age = -1 },
		"negative":     func(f *Fact) { f.Answers = -1 },
		"lost":         func(f *Fact) { f.Lost = -1 },
		"too warm":     func(f *Fact) { f.Warmth = 1.5 },
		"no observer":  func(f *Fact) { f.Observer.Name = "" },
		"long name":    func(f *Fact) { f.Instance = string(make([]byte, 1000)) },
		"no instance":  func(f *Fact) { f.Instance = "" },
		"hops":         func(f *Fact) { f.Hops = -1 },
		"blind":        func(f *Fact) { f.Blind = -second },
		"stalled":      func(f *Fact) { f.Stalled = 1e9 * second },
	} {
		f := healthyFact("g0", 1, 1)
		spoil(&f)
		assert.Equal(t, Malformed, b.receive(start, f), name)
	}
	facts, _ := b.Size()
	assert.Zero(t, facts)
}

// After a million facts the table is within its bounds.
func TestTableIsBounded(t *testing.T) {
	b := New(Options{Self: Observer{Name: "g2", Birth: 1}, MaxObservers: 4})
	b.SetMembers(memberList(10))
	for i := range 1000000 {
		b.receive(start, healthyFact(fmt.Sprintf("g%d", 10+i%1000), uint64(i), i%10))
	}
	facts, observers := b.Size()
	assert.LessOrEqual(t, facts, 40)
	assert.Equal(t, 4, observers)
	b.Receive(start+time.Minute, factsOf("g10", 2))
	list, _ := b.FactsSince(start+time.Minute, 0, 7)
	assert.Len(t, list, 7)
}

// Fetched in parts, each fact is returned once, and after that only new ones.
func TestFactsSinceInParts(t *testing.T) {
	b := newTestTable("g2")
	b.Receive(start, factsOf("g0"))
	b.Receive(start, factsOf("g1"))
	seen, after := 0, uint64(0)
	for {
		list, version := b.FactsSince(start, after, 3)
		if after = version; len(list) == 0 {
			break
		}
		seen += len(list)
	}
	assert.Equal(t, 20, seen)
	b.Receive(start, []Fact{healthyFact("g1", 99, 4)})
	list, _ := b.FactsSince(start, after, 100)
	assert.Len(t, list, 1)
}

// drawFacts draws facts of honest observers: the content follows from member, observer, birth and sequence number;
// only age and hops differ by the path.
func drawFacts(t *rapid.T) (list []Fact) {
	for range rapid.IntRange(0, 30).Draw(t, "facts") {
		birth, seq := uint64(rapid.IntRange(1, 2).Draw(t, "birth")), uint64(rapid.IntRange(1, 5).Draw(t, "seq"))
		f := healthyFact(fmt.Sprintf("g%d", rapid.IntRange(0, 3).Draw(t, "by")), seq, rapid.IntRange(0, 11).Draw(t, "member"))
		f.Birth, f.Lost = birth, int(seq+birth)%3
		f.Stalled = time.Duration(f.Lost) * second
		f.Hops = rapid.IntRange(0, 3).Draw(t, "hops")
		f.Age = time.Duration(10*seq+uint64(rapid.IntRange(0, 9).Draw(t, "way"))) * time.Millisecond
		f.Cold, f.Warmth = int(seq%2), 0.5
		list = append(list, f)
	}
	return list
}

// In whatever order and grouping, and however often, facts are received, the tables are equal.
func TestReceiveIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawFacts(t)
		a, b := newTestTable("g9"), newTestTable("g9")
		a.Receive(start, list)
		shuffled := rapid.Permutation(list).Draw(t, "order")
		cut := rapid.IntRange(0, len(list)).Draw(t, "cut")
		b.Receive(start, shuffled[cut:])
		b.Receive(start, shuffled[:cut])
		b.Receive(start, shuffled) // again
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
