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
	now            Time
	rng            *rand.Rand
	hosts          []*host
	workersFreeAt  [][2]Time // of each member's workers
	timers         map[Time][]func()
	latencies      []time.Duration
	connections    map[[2]int]bool // gateway and member that met
	failingMembers int             // so many members from the first fail half
	failed         int
}

type host struct {
	sim     *simulation
	number  int
	gateway *policy.Gateway
	tracker *Tracker
}

const tick = 5 * time.Millisecond

func (w *simulation) after(d time.Duration, do func()) {
	at := (w.now + d + tick) / tick * tick
	w.timers[at] = append(w.timers[at], do)
}

func (h *host) Send(id policy.RequestID, to policy.ServerID, _ policy.Time) {
	w, sent := h.sim, h.sim.now
	w.connections[[2]int{h.number, int(to)}] = true
	k := 0
	if w.workersFreeAt[to][1] < w.workersFreeAt[to][0] {
		k = 1
	}
	if int(to) <= w.failingMembers && w.rng.IntN(2) == 0 { // at once, as what fails often does
		w.after(2*time.Millisecond, func() {
			w.failed++
			h.gateway.Outcome(w.now, policy.Outcome{ID: id, Server: to, Elapsed: w.now - sent, Ending: policy.Errored})
		})
		return
	}
	done := max(w.now, w.workersFreeAt[to][k]) + time.Duration(100+w.rng.IntN(100))*time.Millisecond
	w.workersFreeAt[to][k] = done
	w.after(done-w.now, func() {
		w.latencies = append(w.latencies, w.now-sent)
		h.gateway.Outcome(w.now, policy.Outcome{ID: id, Server: to, Elapsed: w.now - sent, Ending: policy.Served, Answered: true})
	})
}
func (h *host) Refuse(policy.RequestID, time.Duration) {}
func (h *host) Fail(policy.RequestID)                  {}
func (h *host) Cancel(policy.RequestID, int)           {}
func (h *host) Timer(tag uint64, after time.Duration) {
	h.sim.after(after, func() { h.gateway.Timer(h.sim.now, tag) })
}
func (h *host) Tell(int, []byte) {}
func (h *host) Watch()           {}
func (h *host) Log(string)       {}

// play runs eighty gateways and sixty members at seven tenths of what these can do.
func simulate(t *testing.T, seed uint64, failingMembers int, withReports bool) *simulation {
	w := &simulation{now: time.Hour, rng: rand.New(rand.NewPCG(seed, 7)), workersFreeAt: make([][2]Time, 61), timers: map[Time][]func(){},
		connections: map[[2]int]bool{}, failingMembers: failingMembers}
	list := instances(60)
	var infos []policy.ServerInfo
	for _, m := range list {
		infos = append(infos, policy.ServerInfo{ID: m.ID, Weight: 1})
	}
	for me := range 80 {
		h := &host{sim: w, number: me, tracker: New(me, 80, 100)}
		var err error
		h.gateway, err = policy.New(policy.Settings{Self: me, Gateways: 80, Tick: time.Millisecond, MaxAttempts: 1,
			Classes: []policy.Class{{Name: "read", LatencyTarget: 1200 * time.Millisecond, Deadline: 4 * time.Second, Value: 1}},
			Plans:   []policy.Plan{{Name: "all", ValueMultiplier: 1}}}, seed<<8|uint64(me))
		require.NoError(t, err)
		h.gateway.Attach(h)
		h.gateway.Servers(w.now, policy.ListFull, infos)
		h.tracker.SetMembers(list)
		w.hosts = append(w.hosts, h)
	}
	crowd := func(h *host) {
		if withReports {
			h.gateway.SetOthersLoads(w.now, h.tracker.Loads(w.now))
		}
	}
	id := policy.RequestID(0)
	for end := w.now + 20*time.Second; w.now < end; w.now += tick {
		for _, do := range w.timers[w.now] {
			do()
		}
		delete(w.timers, w.now)
		for _, h := range w.hosts {
			if (w.now/tick+Time(h.number))%(h.tracker.Interval()/tick) == 0 {
				h.tracker.SetLocal(h.gateway.OwnLoads(w.now))
				peers, m := h.tracker.NextReport(w.now)
				for _, p := range peers {
					if w.rng.Float64() > 0.05 {
						w.after(time.Duration(1+w.rng.IntN(20))*time.Millisecond, func() {
							w.hosts[p].tracker.Receive(w.now, h.number, m)
							crowd(w.hosts[p])
						})
					}
				}
				crowd(h)
			}
		}
		for k := w.rng.IntN(6); k > 0; k-- { // 500 a second of the 800 that the members can do
			id++
			h := w.hosts[w.rng.IntN(80)]
			h.gateway.Request(w.now, policy.Request{ID: id, Customer: policy.CustomerID(id), Deadline: w.now + 4*time.Second,
				Units: 1, SetSize: 1, FirstGateway: h.number})
		}
	}
	slices.Sort(w.latencies)
	return w
}

// Among eighty gateways that choose each for itself a tenth of the answers take long though the fleet has room. With
// the neighbours' words the tail is shorter, and fewer connections are made.
func TestReportsShortenTail(t *testing.T) {
	for seed := range uint64(2) {
		alone, together := simulate(t, seed, 0, false), simulate(t, seed, 0, true)
		p90 := func(w *simulation) time.Duration { return w.latencies[len(w.latencies)*9/10] }
		t.Logf("seed %d: p90 %v alone, %v together; %d and %d connections", seed, p90(alone), p90(together),
			len(alone.connections), len(together.connections))
		assert.Less(t, float64(p90(together)), 0.93*float64(p90(alone)))
		assert.Less(t, float64(len(together.connections)), 0.8*float64(len(alone.connections)))
		assert.Greater(t, float64(len(together.latencies)), 0.95*float64(len(alone.latencies)))
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
