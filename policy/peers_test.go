package policy

import (
	"math"
	"testing"
	"time"
)

// Requests with impossible sets of gateways still get an answer.
func TestInvalidSets(t *testing.T) {
	s := twoGateways()
	s.Gateways = 40
	f := start(t, s, 4)
	id := RequestID(0)
	for _, size := range []int{-3, 0, 1, 7, 40, 41, 1 << 19} {
		for _, first := range []int{-9, 0, 39, 40, 1 << 19} {
			id++
			f.ask(id, func(r *Request) { r.SetSize, r.FirstGateway, r.Customer = size, first, CustomerID(id%6) })
			f.runUntil(f.now + 300*ms)
		}
	}
	f.runUntil(f.now + 5*time.Second)
	for _, x := range f.sent {
		if f.ended[x.id] == "" {
			f.done(x, Served, ms)
		}
	}
	for i := RequestID(1); i <= id; i++ {
		if f.ended[i] == "" {
			t.Fatalf("request %d has no answer", i)
		}
	}
}

// A duplicate or late update adds nothing.
func TestDuplicateAndLateUpdates(t *testing.T) {
	f := start(t, twoGateways(), 4)
	f.ask(1, func(r *Request) { r.Customer, r.SetSize = 5, 2 })
	f.gateway.PeerMessage(f.now, 1, message(5*time.Second, 5, 20))
	c := f.gateway.customersByID[5]
	before := c.sharedDemand.pooled
	f.gateway.PeerMessage(f.now, 1, message(5*time.Second, 5, 20))
	f.gateway.PeerMessage(f.now, 1, message(4*time.Second, 5, 20))
	if c.sharedDemand.pooled != before {
		t.Fatalf("%v -> %v", before, c.sharedDemand.pooled)
	}
}

// Whatever a peer sends, no quota is exceeded, and no group is shed because of its messages alone.
func FuzzPeerMessage(f *testing.F) {
	f.Add(message(time.Second, 5, 60))
	f.Add([]byte{1, 0, 0, 0, 0, 1, 9})
	f.Fuzz(func(t *testing.T, m []byte) {
		f := start(t, twoGateways(), 8)
		for i := 1; i <= 200; i++ {
			if len(m) > 5 {
				m[4]++ // a new age each time
			}
			f.gateway.PeerMessage(f.now, 1, m)
			f.ask(RequestID(i), func(r *Request) { r.Customer, r.SetSize = 5, 2 })
			f.runUntil(f.now + 10*ms)
			if n := len(f.sent); n > 0 && f.ended[f.sent[n-1].id] == "" {
				f.done(f.sent[n-1], Served, 5*ms)
			}
		}
		if len(f.sent) > 60 || len(f.log) > 0 { // the whole quota admits 10 plus 10 a second, for 2 s
			t.Fatalf("%d admitted, want at most 60; log %v, want none", len(f.sent), f.log)
		}
	})
}

// A customer with demand far below its rate isn't refused because its many gateways receive no updates of each other.
func TestCustomerBelowItsRateAtAnIsolatedGateway(t *testing.T) {
	s := twoGateways()
	s.Gateways = 100
	f := start(t, s, 8)
	for i := 1; i <= 20; i++ { // one request in 20 s here, with a rate of 10 a second split over 100 gateways
		f.runUntil(f.now + 20*time.Second)
		f.ask(RequestID(i), func(r *Request) { r.Customer, r.SetSize = 5, 100 })
		f.runUntil(f.now + 200*ms) // until the query to the owner has timed out
		if n := len(f.sent); n > 0 && f.ended[f.sent[n-1].id] == "" {
			f.done(f.sent[n-1], Served, 5*ms)
		}
	}
	if len(f.sent) < 17 {
		t.Fatalf("%d of 20 admitted, want at least 17", len(f.sent))
	}
}

func twoGateways() Settings {
	s := settings()
	s.Gateways, s.Peers, s.PeerMessageRate = 2, true, 40
	s.Plans[0].Rate, s.Plans[0].Burst = 10, 10
	return s
}

// message returns a peer's update with the given demand of a customer of two gateways. Repeated updates add up.
func message(age time.Duration, id CustomerID, demand float64) []byte {
	u := update{age: age}
	u.entries[customerSection] = []entry{{key: customerKey(id, 0, 0, 2), mass: [2]float64{demand / 2, 0.5}}}
	return packUpdate(u, settings().schema())
}

// simulatedPeer is a peer at which a customer requests some units a second. It has a Gateway, which exchanges messages
// with the gateway under test.
type simulatedPeer struct {
	peer  *fakeHost
	units float64
	id    RequestID
}

func newSimulatedPeer(t *testing.T, gateways int, units float64) *simulatedPeer {
	s := twoGateways()
	s.Self, s.Gateways = 1, gateways
	return &simulatedPeer{peer: start(t, s, 8), units: units}
}

func (x *simulatedPeer) step(other *fakeHost, every time.Duration) {
	x.peer.runUntil(other.now)
	for left := x.units * every.Seconds(); left > 0; left-- {
		x.id++
		x.peer.ask(x.id, func(r *Request) { r.Customer, r.SetSize, r.Units = 5, 2, math.Min(left, 1) })
	}
	for _, s := range x.peer.sent {
		x.peer.done(s, Served, ms)
	}
	x.peer.sent = nil
	for _, m := range other.messages {
		x.peer.gateway.PeerMessage(x.peer.now, 0, m)
	}
	other.messages = nil
	for _, m := range x.peer.messages {
		other.gateway.PeerMessage(other.now, 1, m)
	}
	x.peer.messages = nil
}

// admittedWithPeer returns how many requests of a customer are admitted in 30 s, if it sends 20 a second. peer is
// called before each request.
func admittedWithPeer(t *testing.T, peer func(f *fakeHost, i int)) int {
	f := start(t, twoGateways(), 8)
	for i := 1; i <= 600; i++ {
		peer(f, i)
		f.ask(RequestID(i), func(r *Request) { r.Customer, r.SetSize = 5, 2 })
		f.runUntil(f.now + 50*ms)
		if n := len(f.sent); n > 0 && f.ended[f.sent[n-1].id] == "" {
			f.done(f.sent[n-1], Served, 5*ms)
		}
	}
	return len(f.sent)
}

func TestPeersShareAQuota(t *testing.T) {
	with := func(units float64, until int) int {
		x := newSimulatedPeer(t, 2, units)
		return admittedWithPeer(t, func(f *fakeHost, i int) {
			if i < until {
				x.step(f, 50*ms)
			}
		})
	}
	isolated := admittedWithPeer(t, func(*fakeHost, int) {})
	idle, busy, stopped := with(0, 1000), with(60, 1000), with(60, 20)
	if math.Abs(float64(isolated)-155) > 45 || math.Abs(float64(idle)-305) > 45 || math.Abs(float64(busy)-80) > 30 {
		t.Fatalf("admitted: isolated %d (want about half the rate), idle peer %d (all of it), busy peer %d (a quarter)",
			isolated, idle, busy)
	}
	if math.Abs(float64(stopped-isolated)) > 40 {
		t.Fatalf("%d admitted after the peer's updates stopped, %d while isolated: stale updates still count", stopped, isolated)
	}
}

func TestInvalidMessagesChangeNothing(t *testing.T) {
	good := message(time.Second, 5, 60)
	invalid := [][]byte{nil, {1}, good[:8], append([]byte{99}, good[1:]...), append([]byte{1}, good[1:]...),
		make([]byte, 300), append(good, 1)}
	plain := admittedWithPeer(t, func(*fakeHost, int) {})
	if got := admittedWithPeer(t, func(f *fakeHost, i int) {
		f.gateway.PeerMessage(f.now, 1, invalid[i%len(invalid)])
		f.gateway.PeerMessage(f.now, i%5+2, good)
		f.gateway.PeerMessage(f.now, -1, good)
		f.gateway.PeerMessage(f.now, 0, good)
	}); got != plain {
		t.Fatalf("%d admitted with invalid messages, %d without", got, plain)
	}
}

// A gateway that restarts among older peers must not admit a whole burst again.
func TestRestartedGatewayHasNoBurst(t *testing.T) {
	burst := func(age time.Duration) int {
		s := twoGateways()
		s.Plans[0].Rate, s.Plans[0].Burst = 1, 40
		f := start(t, s, 30)
		f.gateway.PeerMessage(f.now, 1, message(age, 9, 1))
		for i := 1; i <= 20; i++ {
			f.ask(RequestID(i), func(r *Request) { r.Customer, r.SetSize = 5, 2 })
		}
		return len(f.sent)
	}
	if young, old := burst(100*ms), burst(time.Hour); young < 18 || old > 9 {
		t.Fatalf("%d admitted with a young peer, want at least 18; %d with an old one, want at most 9", young, old)
	}
}

func TestUpdatesHoldManyBusyCustomersInTurn(t *testing.T) {
	f := start(t, twoGateways(), 8)
	seen := map[uint64]bool{}
	for i := 1; i <= 3000; i++ {
		f.ask(RequestID(i), func(r *Request) { r.Customer, r.SetSize, r.Units = CustomerID(i%150+1), 2, 20 })
		f.runUntil(f.now + ms)
		for _, x := range f.sent {
			if f.ended[x.id] == "" {
				f.done(x, Served, ms)
			}
		}
		f.sent = nil
	}
	for _, m := range f.messages[len(f.messages)-8:] {
		if len(m) > messageBytes {
			t.Fatalf("message of %d bytes, longer than messageBytes", len(m))
		}
		u, ok := unpackUpdate(m, settings().schema())
		if !ok {
			t.Fatal("a message that can't be read")
		}
		for _, e := range u.entries[customerSection] {
			seen[e.key] = true
		}
	}
	if len(seen) < 140 {
		t.Fatalf("updates hold %d of 150 busy customers, want at least 140", len(seen))
	}
}

// Even a customer's first draw is sent to the peers at once, so that they don't draw the same units.
func TestUsageIsSentFromTheStart(t *testing.T) {
	s := twoGateways()
	s.PeerMessageRate = 100
	f := start(t, s, 8)
	f.ask(1, func(r *Request) { r.Customer, r.SetSize = 5, 2 })
	f.runUntil(f.now + 60*ms)
	seen := 0
	for _, m := range f.messages {
		u, ok := unpackUpdate(m, settings().schema())
		if !ok {
			t.Fatal("a message that can't be read")
		}
		seen += len(u.entries[customerSection])
	}
	if seen != 1 {
		t.Fatalf("the draw was sent %d times in 60 ms, want 1", seen)
	}
}

// A peer's part of the demand decays with age until it no longer counts.
func TestPeersDemandDecays(t *testing.T) {
	f := start(t, twoGateways(), 4)
	f.ask(1, func(r *Request) { r.Customer, r.SetSize = 5, 2 })
	for i := time.Duration(1); i <= 8; i++ {
		f.gateway.PeerMessage(f.now, 1, message(i*time.Second, 5, 60))
	}
	c := f.gateway.customersByID[5]
	_, fresh := f.gateway.demand(c)
	f.gateway.now += time.Second
	mass := c.sharedDemand.pooled[0]
	f.gateway.demand(c)
	decayed := c.sharedDemand.pooled[0]
	f.gateway.now += 10 * time.Second
	here, expired := f.gateway.demand(c)
	if fresh < 50 || decayed > mass/2 || expired > 2*here {
		t.Fatalf("demand %v; mass %v, %v a second later; demand %v after 11 s", fresh, mass, decayed, expired)
	}
}
