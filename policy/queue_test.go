package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A gateway in its initial state has servers that have all just started. It queues the requests that it may not send
// yet, up to its capacity, and refuses the rest at once. Queued requests that can no longer be answered in time are
// refused and not sent. Hence the requests sent are recent, and from their answers the gateway learns within seconds
// what cold servers can do.
func TestQueuedRequestThatWouldBeLateIsRefused(t *testing.T) {
	s := settings()
	s.Gateways, s.Peers, s.Hedging = 5, false, false
	s.Classes[0].LatencyTarget, s.Classes[0].Deadline = time.Second, 4*time.Second
	f := &fakeHost{t: t, now: time.Hour, ended: map[RequestID]string{}}
	f.gateway, _ = New(s, 1)
	f.gateway.Attach(f)
	var list []ServerInfo
	for id := range 4 {
		list = append(list, ServerInfo{ID: ServerID(id + 1), State: Ready, StartedAt: f.now, Weight: 1})
	}
	f.gateway.Servers(f.now, ListFull, list)
	asked, done := map[RequestID]Time{}, map[send]bool{}
	sent := func(from Time) (n int) {
		for _, x := range f.sent {
			if x.at >= from {
				n++
			}
		}
		return n
	}
	for id := RequestID(1); f.now < time.Hour+6*time.Second; id++ {
		asked[id] = f.now
		f.ask(id, func(r *Request) { r.Deadline = f.now + 4*time.Second })
		queued, capacity := len(f.gateway.queue), f.gateway.totalCapacity()
		if float64(queued) > capacity+f.gateway.burstAllowance(capacity)+1 {
			t.Fatalf("%d requests queued with a capacity of %.1f", queued, f.gateway.totalCapacity())
		}
		f.runUntil(f.now + 10*ms)
		for _, x := range f.sent {
			if !done[x] && f.now-x.at >= 150*ms {
				done[x] = true
				f.done(x, Served, f.now-x.at)
			}
		}
	}
	for _, x := range f.sent {
		if waited := x.at - asked[x.id]; waited > time.Second {
			t.Errorf("request %d was sent after a wait of %v, longer than the target of 1s", x.id, waited)
		}
	}
	for id, how := range f.ended {
		if how != "served" && how != "refused" {
			t.Errorf("request %d ended as %q, want served or refused", id, how)
		}
	}
	// Each server can answer about seven a second. Without learning from answers, one was sent in five seconds.
	if n := sent(time.Hour + 5*time.Second); n < 10 {
		t.Errorf("%d sent in the sixth second, want at least 10", n)
	}
}

// A client leaves while its request waits for a cold server's budget: the budget isn't used for the request.
func TestQueuedRequestWhoseClientLeft(t *testing.T) {
	s := settings()
	s.Gateways, s.SlowStartMultiple, s.Hedging = 3, 0.001, false
	f := start(t, s, 0)
	f.gateway.Servers(f.now, ListFull, []ServerInfo{{ID: 1, Weight: 1, StartedAt: f.now}})
	f.gateway.serversByID[1].slowStartBudget.Credit = 0
	for id := range RequestID(3) {
		f.ask(id+1, func(r *Request) { r.Deadline = f.now + time.Minute; r.Class = 0 })
	}
	held := 0
	for id := RequestID(1); id <= 3; id++ {
		if f.ended[id] == "" {
			held++
			f.gateway.ClientGone(f.now, id)
		}
	}
	require.Positive(t, held, "requests that can't be sent yet are queued")
	f.gateway.serversByID[1].slowStartBudget.Credit = 1
	f.runUntil(f.now + 100*ms)
	assert.Empty(t, f.sent)
}
