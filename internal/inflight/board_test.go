package inflight

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/discovery"
	"sprucelane.example/sprucelane/policy"
)

func instances(n int) (list []Member) {
	for i := range n {
		list = append(list, Member{ID: policy.ServerID(i + 1), Instance: fmt.Sprintf("s-%08x", i*0x9e3779b1)})
	}
	return list
}

// Gateways number the members as they hear of them; the windows are the same all the same, and over the fleet each
// member is in about as many as any other.
func TestSubsetsCoverMembersEvenly(t *testing.T) {
	list := instances(60)
	in := map[string]int{}
	for me := range 80 {
		b, other := New(me, 80, 100), New(me, 80, 100)
		b.SetMembers(list)
		renamed := slices.Clone(list)
		for i := range renamed {
			renamed[i].ID += 1000
		}
		rand.New(rand.NewPCG(uint64(me), 1)).Shuffle(60, func(i, j int) { renamed[i], renamed[j] = renamed[j], renamed[i] })
		other.SetMembers(renamed)
		width := 0
		for i, m := range b.members {
			if m.inSubset != other.members[i].inSubset || m.hash != other.members[i].hash {
				t.Fatalf("gateway %d: windows differ at %d", me, i)
			}
			if m.inSubset {
				width++
				in[list[m.id-1].Instance]++
			}
		}
		assert.InDelta(t, 6.5, width, 1.5, "gateway %d", me)
	}
	assert.Greater(t, len(in), 57, "all but such as share a name")
	for name, n := range in {
		assert.InDelta(t, 9, n, 3, name)
	}
	assert.Nil(t, New(0, 7, 100), "where all are neighbours there is nothing to gain")
}

// What the neighbours say counts for the window; outside it is the mean and more. A word holds for a second, a later
// one replaces it, one that was overtaken and one that is odd change nothing.
func TestReports(t *testing.T) {
	a, b := New(10, 80, 100), New(11, 80, 100)
	list := instances(60)
	a.SetMembers(list)
	b.SetMembers(list)
	var seen member
	for i, m := range a.members {
		if m.inSubset && b.members[i].inSubset {
			seen = m
		}
	}
	a.SetLocal(map[policy.ServerID]policy.OwnLoad{seen.id: {InFlight: 2}})
	peers, first := a.NextReport(time.Second)
	require.Len(t, peers, 6)
	again, _ := a.NextReport(time.Second + 10*time.Millisecond)
	assert.Empty(t, again, "what they know is not told again at once")
	again, _ = a.NextReport(time.Second + refreshInterval)
	assert.Len(t, again, 6)
	load := func(now Time) (in, out float64) {
		for i, l := range b.Loads(now) {
			if l.ID == seen.id {
				in = l.Attempts
			} else if !b.members[i].inSubset {
				out = l.Attempts
			}
		}
		return in, out
	}
	now := 5 * time.Second
	b.Receive(now, 10, first)
	in, out := load(now)
	assert.Equal(t, 2.0, in)
	assert.Greater(t, out, outsidePenalty)
	a.SetLocal(nil)
	_, second := a.NextReport(2 * time.Second)
	b.Receive(now, 10, second)
	b.Receive(now, 10, first) // overtaken
	in, _ = load(now)
	assert.Zero(t, in)
	for _, odd := range [][]byte{nil, first[:3], append(slices.Clone(first), 1), {Kind, formatVersion + 1, 9, 9}, {Kind + 1, formatVersion, 9, 9},
		append(slices.Clone(first), make([]byte, 300)...)} {
		b.Receive(now, 10, odd)
	}
	b.Receive(now, 40, first) // no neighbour
	assert.EqualValues(t, 7, b.Dropped())
	in, _ = load(now)
	assert.Zero(t, in)
	b.Receive(now+2*reportTTL, 10, first) // after a silence it is another life
	in, _ = load(now + 2*reportTTL)
	assert.Equal(t, 2.0, in)
	in, _ = load(now + 4*reportTTL)
	assert.Zero(t, in, "an old word counts no more")
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte{Kind, formatVersion, 0, 1, 0, 3, 4}, 1)
	f.Add([]byte{Kind, formatVersion, 0, 2, 1, 3, 4, 8, 9, 5, 6}, 1)
	f.Fuzz(func(t *testing.T, m []byte, from int) {
		b := New(0, 80, 100)
		b.SetMembers(instances(60))
		b.Receive(time.Second, from, m)
		for _, l := range b.Loads(time.Second) {
			if !(l.Attempts >= 0 && l.Attempts <= maxDatagramSize+failurePenalty) {
				t.Fatalf("%+v of %x", l, m)
			}
		}
	})
}

// world is a fleet in virtual time: real decision modules, members with two workers each and a line in front, and
// neighbours that hear each other late or not at all.
type simulation struct {
	now    Time
	rng    *rand.Rand
	nodes  []*host
	free   [][2]Time // of each member's workers
	wheel  map[Time][]func()
	took   []time.Duration
	pairs  map[[2]int]bool // gateway and member that met
	bad    int             // so many members from the first fail half
	failed int
}

type host struct {
	w  *simulation
	me int
	g  *policy.Gateway
	b  *Tracker
}

const tick = 5 * time.Millisecond

func (w *simulation) at(d time.Duration, do func()) {
	at := (w.now + d + tick) / tick * tick
	w.wheel[at] = append(w.wheel[at], do)
}

func (h *host) Send(id policy.RequestID, to policy.ServerID, _ policy.Time) {
	w, sent := h.w, h.w.now
	w.pairs[[2]int{h.me, int(to)}] = true
	k := 0
	if w.free[to][1] < w.free[to][0] {
		k = 1
	}
	if int(to) <= w.bad && w.rng.IntN(2) == 0 { // at once, as what fails often does
		w.at(2*time.Millisecond, func() {
			w.failed++
			h.g.Outcome(w.now, policy.Outcome{ID: id, Server: to, Elapsed: w.now - sent, Ending: policy.Errored})
		})
		return
	}
	done := max(w.now, w.free[to][k]) + time.Duration(100+w.rng.IntN(100))*time.Millisecond
	w.free[to][k] = done
	w.at(done-w.now, func() {
		w.took = append(w.took, w.now-sent)
		h.g.Outcome(w.now, policy.Outcome{ID: id, Server: to, Elapsed: w.now - sent, Ending: policy.Served, Answered: true})
	})
}
func (h *host) Refuse(policy.RequestID, time.Duration) {}
func (h *host) Fail(policy.RequestID)                  {}
func (h *host) Cancel(policy.RequestID, int)           {}
func (h *host) Timer(tag uint64, after time.Duration) {
	h.w.at(after, func() { h.g.Timer(h.w.now, tag) })
}
func (h *host) Tell(int, []byte) {}
func (h *host) Watch()           {}
func (h *host) Log(string)       {}

// play runs eighty gateways and sixty members at seven tenths of what these can do.
func simulate(t *testing.T, seed uint64, bad int, with bool) *simulation {
	w := &simulation{now: time.Hour, rng: rand.New(rand.NewPCG(seed, 7)), free: make([][2]Time, 61), wheel: map[Time][]func(){},
		pairs: map[[2]int]bool{}, bad: bad}
	list := instances(60)
	var infos []policy.ServerInfo
	for _, m := range list {
		infos = append(infos, policy.ServerInfo{ID: m.ID, Weight: 1})
	}
	for me := range 80 {
		h := &host{w: w, me: me, b: New(me, 80, 100)}
		var err error
		h.g, err = policy.New(policy.Settings{Self: me, Gateways: 80, Tick: time.Millisecond, MaxAttempts: 1,
			Classes: []policy.Class{{Name: "read", LatencyTarget: 1200 * time.Millisecond, Deadline: 4 * time.Second, Value: 1}},
			Plans:   []policy.Plan{{Name: "all", ValueMultiplier: 1}}}, seed<<8|uint64(me))
		require.NoError(t, err)
		h.g.Attach(h)
		h.g.Servers(w.now, policy.ListFull, infos)
		h.b.SetMembers(list)
		w.nodes = append(w.nodes, h)
	}
	crowd := func(h *host) {
		if with {
			h.g.SetOthersLoads(w.now, h.b.Loads(w.now))
		}
	}
	id := policy.RequestID(0)
	for end := w.now + 20*time.Second; w.now < end; w.now += tick {
		for _, do := range w.wheel[w.now] {
			do()
		}
		delete(w.wheel, w.now)
		for _, h := range w.nodes {
			if (w.now/tick+Time(h.me))%(h.b.Interval()/tick) == 0 {
				h.b.SetLocal(h.g.OwnLoads(w.now))
				peers, m := h.b.NextReport(w.now)
				for _, p := range peers {
					if w.rng.Float64() > 0.05 {
						w.at(time.Duration(1+w.rng.IntN(20))*time.Millisecond, func() {
							w.nodes[p].b.Receive(w.now, h.me, m)
							crowd(w.nodes[p])
						})
					}
				}
				crowd(h)
			}
		}
		for k := w.rng.IntN(6); k > 0; k-- { // 500 a second of the 800 that the members can do
			id++
			h := w.nodes[w.rng.IntN(80)]
			h.g.Request(w.now, policy.Request{ID: id, Customer: policy.CustomerID(id), Deadline: w.now + 4*time.Second,
				Units: 1, SetSize: 1, FirstGateway: h.me})
		}
	}
	slices.Sort(w.took)
	return w
}

// Among eighty gateways that choose each for itself a tenth of the answers take long though the fleet has room. With
// the neighbours' words the tail is shorter, and fewer connections are made.
func TestReportsShortenTail(t *testing.T) {
	for seed := range uint64(2) {
		alone, together := simulate(t, seed, 0, false), simulate(t, seed, 0, true)
		p90 := func(w *simulation) time.Duration { return w.took[len(w.took)*9/10] }
		t.Logf("seed %d: p90 %v alone, %v together; %d and %d connections", seed, p90(alone), p90(together),
			len(alone.pairs), len(together.pairs))
		assert.Less(t, float64(p90(together)), 0.93*float64(p90(alone)))
		assert.Less(t, float64(len(together.pairs)), 0.8*float64(len(alone.pairs)))
		assert.Greater(t, float64(len(together.took)), 0.95*float64(len(alone.took)))
	}
}

// Five of sixty members fail half of what they are sent, at once, and so look idle. With the neighbours' words far fewer
// attempts find that out, and these members are still tried now and then.
func TestFailuresAreReported(t *testing.T) {
	alone, together := simulate(t, 1, 5, false), simulate(t, 1, 5, true)
	t.Logf("%d attempts failed alone, %d together", alone.failed, together.failed)
	assert.Less(t, together.failed, alone.failed/3)
	assert.Greater(t, together.failed, 5)
}

// What failed counts by its share, from all neighbours together, and only of members that their name tells apart; it fades
// as the words do, and one failure among many answers is next to nothing.
func TestReportsOfFailures(t *testing.T) {
	list := instances(60)
	boards := map[int]*Tracker{}
	for me := 10; me < 13; me++ {
		boards[me] = New(me, 80, 100)
		boards[me].SetMembers(list)
	}
	b := boards[11]
	var in, out member
	for _, m := range b.members {
		if m.inSubset && in.id == 0 {
			in = m
		} else if !m.inSubset && !m.ambiguous && out.id == 0 {
			out = m
		}
	}
	load := func(id policy.ServerID) float64 {
		for _, l := range b.Loads(time.Second) {
			if l.ID == id {
				return l.Attempts
			}
		}
		return -1
	}
	calm := load(out.id)
	tell := func(me int, own map[policy.ServerID]policy.OwnLoad) {
		boards[me].SetLocal(own)
		if _, m := boards[me].NextReport(time.Second); m != nil {
			b.Receive(time.Second, me, m)
		}
	}
	tell(10, map[policy.ServerID]policy.OwnLoad{in.id: {InFlight: 1, Failures: 1, Attempts: 1}})
	one := load(in.id)
	assert.InDelta(t, 1+failurePenalty/3, one, 0.1, "one failure is little")
	tell(12, map[policy.ServerID]policy.OwnLoad{in.id: {Failures: 3, Attempts: 4}, out.id: {Failures: 2, Attempts: 2}})
	assert.InDelta(t, 1+failurePenalty*4/7, load(in.id), 0.1)
	assert.Greater(t, load(out.id), calm+failurePenalty/3, "outside the window too")
	b.SetLocal(map[policy.ServerID]policy.OwnLoad{in.id: {Failures: 1, Attempts: 60}})
	assert.Less(t, load(in.id), 4.0, "many answers here say otherwise")
	tell(10, nil)
	tell(12, map[policy.ServerID]policy.OwnLoad{in.id: {Failures: 0.3, Attempts: 9}})
	b.SetLocal(nil)
	assert.Less(t, load(in.id), 1.0)
	assert.Equal(t, calm, load(out.id))
	many := map[policy.ServerID]policy.OwnLoad{}
	for _, m := range list {
		many[m.ID] = policy.OwnLoad{InFlight: 9, Failures: 99, Attempts: 999}
	}
	boards[10].SetLocal(many)
	_, m := boards[10].NextReport(time.Second)
	assert.LessOrEqual(t, len(m), maxDatagramSize)
	b.Receive(time.Second, 10, m)
	assert.Zero(t, b.Dropped())
}

// The carrier tells neighbours what the core shows, and hands on what they say.
func TestExchange(t *testing.T) {
	core, roster := &fakeBalancer{own: map[policy.ServerID]policy.OwnLoad{}}, fakeMembership{}
	for _, m := range instances(60) {
		roster[m.ID] = discovery.Incarnation{Instance: m.Instance}
	}
	told := map[int][]byte{}
	c := NewExchange(New(10, 80, 0), core, roster, func(p int, m []byte) { told[p] = m })
	c.exchange()
	core.own[c.tracker.members[20].id] = policy.OwnLoad{InFlight: 1}
	c.exchange()
	assert.Len(t, told, 6)
	other := NewExchange(New(11, 80, 0), core, roster, func(int, []byte) {})
	other.exchange()
	other.Receive(10, told[11])
	busy := slices.ContainsFunc(core.loads, func(l policy.Load) bool { return l.Attempts == 1 })
	window := other.tracker.members[20].inSubset
	assert.Equal(t, window, busy)
	assert.Len(t, core.loads, 60)
	assert.Equal(t, "[told=6 heard=1 dropped=0]", fmt.Sprint(other.Counters()))
}

type fakeBalancer struct {
	own   map[policy.ServerID]policy.OwnLoad
	loads []policy.Load
}

func (c *fakeBalancer) ExchangeLoads(weigh func(policy.Time, map[policy.ServerID]policy.OwnLoad) []policy.Load) {
	c.loads = weigh(time.Second, c.own)
}

type fakeMembership map[policy.ServerID]discovery.Incarnation

func (l fakeMembership) Incarnations() map[policy.ServerID]discovery.Incarnation { return l }
