package inflight

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/policy"
)

// simulation simulates a fleet in virtual time. It has the real decision module for each gateway, members with two
// workers each and a queue, and reports that are delayed or lost.
type simulation struct {
	now            Time
	rng            *rand.Rand
	hosts          []*host
	workersFreeAt  [][2]Time // of each member's two workers
	timers         map[Time][]func()
	latencies      []time.Duration
	connections    map[[2]int]bool // pairs of a gateway and a member to which it has sent a request
	failingMembers int             // the first failingMembers members fail half of their requests
	failed         int
}

// host is one gateway with its tracker.
type host struct {
	sim     *simulation
	number  int
	gateway *policy.Gateway
	tracker *Tracker
}

const tick = 5 * time.Millisecond

// after schedules an event at the first multiple of tick that is later than d from now.
func (w *simulation) after(d time.Duration, do func()) {
	at := (w.now + d + tick) / tick * tick
	w.timers[at] = append(w.timers[at], do)
}

// Send implements policy.Host: the member fails the request or queues and serves it.
func (h *host) Send(id policy.RequestID, to policy.ServerID, _ policy.Time) {
	w, sent := h.sim, h.sim.now
	w.connections[[2]int{h.number, int(to)}] = true
	k := 0
	if w.workersFreeAt[to][1] < w.workersFreeAt[to][0] {
		k = 1
	}
	if int(to) <= w.failingMembers && w.rng.IntN(2) == 0 { // failures are answered fast
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
		h.gateway.Outcome(w.now, policy.Outcome{ID: id, Server: to, Elapsed: w.now - sent, Ending: policy.Served,
			Answered: true})
	})
}
func (h *host) Refuse(policy.RequestID, time.Duration) {}
func (h *host) Fail(policy.RequestID)                  {}
func (h *host) Cancel(policy.RequestID, int)           {}
func (h *host) Timer(tag uint64, after time.Duration) {
	h.sim.after(after, func() { h.gateway.Timer(h.sim.now, tag) })
}
func (h *host) SendToPeer(int, []byte) {}
func (h *host) Watch()                 {}
func (h *host) Log(string)             {}

// simulate runs 80 gateways and 60 members for 20 s, at 0.7 of the members' capacity.
func simulate(t *testing.T, seed uint64, failingMembers int, withReports bool) *simulation {
	w := &simulation{now: time.Hour, rng: rand.New(rand.NewPCG(seed, 7)), workersFreeAt: make([][2]Time, 61),
		timers: map[Time][]func(){}, connections: map[[2]int]bool{}, failingMembers: failingMembers}
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
	updateLoads := func(h *host) {
		if withReports {
			h.gateway.SetPeerLoads(w.now, h.tracker.Loads(w.now))
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
							updateLoads(w.hosts[p])
						})
					}
				}
				updateLoads(h)
			}
		}
		for k := w.rng.IntN(6); k > 0; k-- { // 500 requests per second; the members can serve 800
			id++
			h := w.hosts[w.rng.IntN(80)]
			h.gateway.Request(w.now, policy.Request{ID: id, Customer: policy.CustomerID(id), Deadline: w.now + 4*time.Second,
				Units: 1, SetSize: 1, FirstGateway: h.number})
		}
	}
	slices.Sort(w.latencies)
	return w
}

// If 80 gateways balance only by their own requests, a tenth of the answers are slow although there is spare capacity.
// With reports the latency tail is shorter and fewer connections are opened.
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

// Five of 60 members fail half of their requests immediately, and therefore look idle. With reports far fewer attempts
// fail, and these members are still tried occasionally.
func TestFailuresAreReported(t *testing.T) {
	alone, together := simulate(t, 1, 5, false), simulate(t, 1, 5, true)
	t.Logf("%d attempts failed alone, %d together", alone.failed, together.failed)
	assert.Less(t, together.failed, alone.failed/3)
	assert.Greater(t, together.failed, 5)
}
