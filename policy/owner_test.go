package policy

import (
	"testing"
	"time"
)

// wideFleet gives eighty gateways with two plans.
func wideFleet(t *testing.T) (*fleet, Settings) {
	s := settings()
	s.Peers, s.PeerMessageRate, s.Hedging = true, 100, false
	s.Plans = []Plan{{Name: "farm", Rate: 2, Burst: 16, ValueMultiplier: 1, OverQuotaCost: 1.2},
		{Name: "utility", Rate: 13, Burst: 32, ValueMultiplier: 1.6, OverQuotaCost: 1.2, HardLimitRate: 30,
			HardLimitBurst: 75, HardLimitSlack: 8}}
	return newFleet(t, s, 80, 60), s
}

// admitted sends requests of one customer to one of its gateways after the other, a tick apart, and gives how many
// were admitted and how many have no answer in the end.
func (f *fleet) admitted(tries, plan, first, set int) (in, open int) {
	begin := RequestID(f.now)
	k := 0
	f.run(time.Duration(tries)*fleetTick, func() {
		n := f.nodes[(first+k*7%set)%80]
		n.gateway.Request(f.now, Request{ID: begin + RequestID(k), Customer: 77, Plan: plan, Deadline: f.now + 2*time.Second,
			Units: 1, SetSize: set, FirstGateway: first})
		k++
	})
	f.run(3*time.Second, func() {})
	for _, n := range f.nodes {
		for id := begin; id < begin+RequestID(tries); id++ {
			if n.sent[id] {
				in++
			}
		}
		open += len(n.gateway.requests)
	}
	return in, open
}

// A customer whose sixty gateways each see one request a minute has one bucket all the same: its burst is admitted,
// at whichever gateways it asks, and what it asks beyond is refused. Parts of a sixtieth would hold less than a
// request.
func TestOwnerKeepsOneBucket(t *testing.T) {
	f, _ := wideFleet(t)
	f.run(time.Second, func() {})
	if in, open := f.admitted(12, 0, 5, 60); in < 11 || open > 0 {
		t.Fatalf("%d of 12 admitted where the burst is 16, %d without an answer", in, open)
	}
	f.run(10*time.Second, func() {}) // full again
	if in, open := f.admitted(100, 0, 5, 60); in < 14 || in > 19 || open > 0 {
		t.Fatalf("%d of 100 admitted, the burst is 16, %d without an answer", in, open)
	}
}

// Where the owner is dead and the next one is, too, requests wait for two queries at most; a third one keeps the
// bucket then. With nobody left to ask a gateway keeps to its part.
func TestOwnerTimesOut(t *testing.T) {
	f, _ := wideFleet(t)
	f.run(time.Second, func() {})
	f.admitted(1, 0, 5, 60)
	c := f.nodes[5].gateway.customersByID[77]
	if c == nil {
		t.Fatal("gateway 5 has met the customer")
	}
	dead := map[int]bool{}
	for k := 0; k < 2; k++ {
		owner := f.nodes[5].gateway.ownerOf(c)
		dead[owner] = true
		f.nodes[5].gateway.suspectedUntil[owner] = f.now + time.Hour
	}
	f.nodes[5].gateway.suspectedUntil = make([]Time, 80)
	f.partitioned = func(from, to int) bool { return dead[from] || dead[to] }
	f.admitted(120, 0, 5, 60) // each gateway finds out
	f.run(8*time.Second, func() {})
	if in, open := f.admitted(100, 0, 5, 60); in < 8 || in > 24 || open > 0 {
		t.Fatalf("%d of 100 admitted by the third owner, %d without an answer", in, open)
	}
	f.partitioned = func(int, int) bool { return true }
	f.run(2*time.Second, func() {})
	if in, open := f.admitted(100, 0, 5, 60); in > 40 || open > 0 {
		t.Fatalf("%d of 100 admitted where nobody hears anybody, %d without an answer", in, open)
	}
}

// A query that comes twice, as its answer was lost, draws once. One about a request that is over, of a plan that
// doesn't exist, too short or too long, changes nothing.
func TestOwnerQueries(t *testing.T) {
	f, s := wideFleet(t)
	f.loss = 1 // answers are not looked at
	g := f.nodes[7].gateway
	name := customerKey(77, 0, 7, 60)
	m := packQuery(ownerQuery{token: 9, customerKey: name, units: 2})
	messages := f.messages
	g.PeerMessage(f.now, 8, m)
	g.PeerMessage(f.now, 8, m)
	c := g.customersByKey[ownerKey(name, 7)]
	if c == nil || s.Plans[0].Burst-c.balance > 2.01 || f.messages != messages+2 {
		t.Fatalf("two answers to one question, and its units drawn once: %+v", c)
	}
	for _, invalid := range [][]byte{m[:12], append(m[:13:13], 0),
		packQuery(ownerQuery{customerKey: customerKey(1, 9, 0, 60)}),
		packAnswer(9, true), packAnswer(9, true)[:5], {answerKind, 0, 0, 0, 9, 7}} {
		customers, messages, invalidBefore := len(g.customers), f.messages, g.Stats(f.now).InvalidMessages
		g.PeerMessage(f.now, 8, invalid)
		if len(g.customers) != customers || f.messages != messages {
			t.Fatalf("%x was believed", invalid)
		}
		wellFormed := len(invalid) == queryBytes && invalid[0] == queryKind ||
			len(invalid) == answerBytes && invalid[5] < 2
		if !wellFormed && g.Stats(f.now).InvalidMessages != invalidBefore+1 {
			t.Fatalf("%x was not counted", invalid)
		}
	}
}

// When the whole fleet has just started a hard limit is full, though the fleet is larger than its gateways can all
// hear: each hears those that share a customer with it.
func TestHardLimitIsFullWhenTheFleetHasJustStarted(t *testing.T) {
	f, _ := wideFleet(t)
	f.run(time.Second, func() {})
	if in, _ := f.admitted(12, 1, 30, 4); in < 11 {
		t.Fatalf("%d of 12 admitted of a burst of 32", in)
	}
	f.run(5*time.Second, func() {})
	if in, _ := f.admitted(200, 1, 30, 4); in > 52 { // in a second
		t.Fatalf("%d admitted of a burst of 32 and 13 a second", in)
	}
}
