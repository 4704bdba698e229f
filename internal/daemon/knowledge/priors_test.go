package knowledge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Members that a peer reports as stalled are suspects, for some seconds.
func TestRecentStallsMakeSuspects(t *testing.T) {
	b := newTestTable("g2")
	b.Receive(start, factsOf("g0", 3, 7))
	priors := b.Priors(start, unseen(10))
	assert.Len(t, priors, 10)
	assert.Equal(t, []string{"m-03", "m-07"}, suspects(priors))
	assert.Greater(t, priors[3].Pace*priors[3].Weight, 10*priors[2].Pace*priors[2].Weight)
	assert.InDelta(t, 3, priors[2].Room, 1e-9)
	assert.Equal(t, []string{"m-03", "m-07"}, suspects(b.Priors(start+4*second, unseen(10))))
	assert.Empty(t, suspects(b.Priors(start+20*second, unseen(10)))) // the reports are too old
}

// An observer that was partitioned for 30 s is not trusted: its facts are old, and the losses it has reported
// since then are caused by the partition.
func TestPartitionedObserver(t *testing.T) {
	b := newTestTable("g2")
	old := factsOf("g0", 3, 7)
	for i := range old {
		old[i].Age, old[i].Deaf = 30*second, 30*second
	}
	b.Receive(start, old)
	assert.Empty(t, suspects(b.Priors(start, unseen(10))))
	// It continues, and all its attempts are lost, at four members so far.
	blind := factsOf("g0", 0, 1, 2, 4)
	for i := range blind {
		blind[i].Seq, blind[i].Blind, blind[i].Deaf = blind[i].Seq+100, 4*second, 30*second
	}
	b.Receive(start, blind)
	assert.Empty(t, suspects(b.Priors(start, unseen(10))))
}

// An observer with a bad network finds most members unhealthy. Its reports on stalls are ignored.
func TestFaultyObserver(t *testing.T) {
	b := newTestTable("g2")
	b.Receive(start, factsOf("g0", 0, 1, 2, 3, 4, 5, 6, 8))
	assert.Empty(t, suspects(b.Priors(start, unseen(10))))
	b = newTestTable("g2")
	b.Receive(start, factsOf("g0", 0, 1, 2, 3, 4)) // half of them: it is trusted, but at most a third may be suspects
	assert.Len(t, suspects(b.Priors(start, unseen(10))), 3)
}

// If observers contradict each other, overdue attempts are weighed against the age of the last answer.
func TestContradictingPeers(t *testing.T) {
	b := newTestTable("g2")
	once := stalledFact("g0", 1, 3)
	once.Lost = 1
	b.Receive(start, []Fact{once, healthyFact("g1", 1, 3), healthyFact("g0", 2, 4)})
	assert.Empty(t, suspects(b.Priors(start, unseen(10))), "one overdue attempt against a fresh answer")
	earlier := healthyFact("g1", 2, 3)
	earlier.Answered = 5 * second
	b.Receive(start, []Fact{stalledFact("g0", 3, 3), earlier})
	assert.Equal(t, []string{"m-03"}, suspects(b.Priors(start, unseen(10))),
		"three overdue attempts against an old answer")
}

// The gateway's own evidence, an answer or an overdue attempt, overrules its peers for a while.
func TestOwnObservationsComeFirst(t *testing.T) {
	b := newTestTable("g2")
	b.Receive(start, factsOf("g0", 3, 7))
	own := unseen(10)
	own[3].Answered = second
	own[5].Lost, own[5].Stalled = 1, second
	b.Observe(start, own, 0, 0)
	own[5].Lost = 0 // the attempt has ended, but still counts
	priors := b.Priors(start+2*second, own)
	assert.Equal(t, []string{"m-07"}, suspects(priors))
	assert.Len(t, priors, 8)
	own[3].Answered = 11 * second
	b.Receive(start+11*second, []Fact{stalledFact("g0", 99, 3), healthyFact("g0", 100, 1)})
	assert.Contains(t, suspects(b.Priors(start+11*second, own)), "m-03")
}

// An estimate that a prior has changed is not reported as the gateway's own observation.
func TestPriorsAreNotPropagated(t *testing.T) {
	b := newTestTable("g2")
	b.Receive(start, factsOf("g0"))
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

// For random histories priors are only for listed members that this gateway has not seen answer, few of them are
// suspects, and all numbers are within the bounds that package policy accepts.
func TestPriorsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := newTestTable("g9"), start
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "passes")) * time.Millisecond
			n := rapid.IntRange(0, 10).Draw(t, "listed")
			listed := memberList(n)
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
					t.Fatalf("a prior for %+v, which is not listed or has answered", p)
				}
				if !(p.Pace > 0 && p.Pace <= suspectPace && p.Weight > 0 && p.Weight <= suspectWeight &&
					p.Room >= 0 && p.Room <= b.options.MaxRoom) {
					t.Fatalf("out of bounds: %+v", p)
				}
			}
		}
	})
}
