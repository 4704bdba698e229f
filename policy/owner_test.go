package policy

import (
	"testing"
	"time"
)

// wideFleet returns a fleet of eighty gateways with two plans, and its settings.
func wideFleet(t *testing.T) (*fleet, Settings) {
	s := settings()
	s.Peers, s.PeerMessageRate, s.Hedging = true, 100, false
	s.Plans = []Plan{{Name: "farm", Rate: 2, Burst: 16, ValueMultiplier: 1, OverQuotaCost: 1.2},
		{Name: "utility", Rate: 13, Burst: 32, ValueMultiplier: 1.6, OverQuotaCost: 1.2, HardLimitRate: 30,
			HardLimitBurst: 75, HardLimitSlack: 8}}
	return newFleet(t, s, 80, 60), s
}

// admitted sends requests of one customer to one of its gateways after the other, one per tick. It returns how many
// requests were admitted, and how many requests in the fleet have no answer 3 s later.
func (f *fleet) admitted(tries, plan, first, set int) (count, unanswered int) {
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
				count++
			}
		}
		unanswered += len(n.gateway.requests)
	}
	return count, unanswered
}

// A customer whose sixty gateways each see one request a minute has a single bucket all the same. Its burst is admitted
// at whichever gateways the requests arrive, and requests beyond it are refused. If the bucket were split, each
// sixtieth would hold less than one request.
func TestOwnerKeepsOneBucket(t *testing.T) {
	f, _ := wideFleet(t)
	f.run(time.Second, func() {})
	if in, open := f.admitted(12, 0, 5, 60); in < 11 || open > 0 {
		t.Fatalf("%d of 12 admitted, want at least 11 with a burst of 16; %d without an answer", in, open)
	}
	f.run(10*time.Second, func() {}) // the bucket is full again
	if in, open := f.admitted(100, 0, 5, 60); in < 14 || in > 19 || open > 0 {
		t.Fatalf("%d of 100 admitted, want 14 to 19 with a burst of 16; %d without an answer", in, open)
	}
}

// The owner and the first gateway that stands in for it are unreachable. Requests wait for at most two queries, after
// which a third gateway keeps the bucket. If no gateway can be asked, each gateway uses its part of the bucket.
func TestOwnerTimesOut(t *testing.T) {
	f, _ := wideFleet(t)
	f.run(time.Second, func() {})
	f.admitted(1, 0, 5, 60)
	c := f.nodes[5].gateway.customersByID[77]
	if c == nil {
		t.Fatal("gateway 5 has no record of the customer")
	}
	dead := map[int]bool{}
	for k := 0; k < 2; k++ {
		owner := f.nodes[5].gateway.ownerOf(c)
		dead[owner] = true
		f.nodes[5].gateway.suspectedUntil[owner] = f.now + time.Hour
	}
	f.nodes[5].gateway.suspectedUntil = make([]Time, 80)
	f.partitioned = func(from, to int) bool { return dead[from] || dead[to] }
	f.admitted(120, 0, 5, 60) // each gateway comes to suspect the unreachable owners
	f.run(8*time.Second, func() {})
	if in, open := f.admitted(100, 0, 5, 60); in < 8 || in > 24 || open > 0 {
		t.Fatalf("%d of 100 admitted by the third owner, want 8 to 24; %d without an answer", in, open)
	}
	f.partitioned = func(int, int) bool { return true }
	f.run(2*time.Second, func() {})
	if in, open := f.admitted(100, 0, 5, 60); in > 40 || open > 0 {
		t.Fatalf("%d of 100 admitted while no gateway reaches another, want at most 40; %d without an answer", in, open)
	}
}

// A query that is repeated because its answer was lost draws units once. Messages about a plan that doesn't exist,
// answers about a request that has ended, and messages that are too short or too long change nothing.
func TestOwnerQueries(t *testing.T) {
	f, s := wideFleet(t)
	f.loss = 1 // no message is delivered, as the answers aren't checked
	g := f.nodes[7].gateway
	name := customerKey(77, 0, 7, 60)
	m := packQuery(ownerQuery{token: 9, customerKey: name, units: 2})
	messages := f.messages
	g.PeerMessage(f.now, 8, m)
	g.PeerMessage(f.now, 8, m)
	c := g.customersByKey[ownerKey(name, 7)]
	if c == nil || s.Plans[0].Burst-c.balance > 2.01 || f.messages != messages+2 {
		t.Fatalf("want two answers to a repeated query, and its units drawn once: %+v", c)
	}
	for _, invalid := range [][]byte{m[:12], append(m[:13:13], 0),
		packQuery(ownerQuery{customerKey: customerKey(1, 9, 0, 60)}),
		packAnswer(9, true), packAnswer(9, true)[:5], {answerKind, 0, 0, 0, 9, 7}} {
		customers, messages, invalidBefore := len(g.customers), f.messages, g.Stats(f.now).InvalidMessages
		g.PeerMessage(f.now, 8, invalid)
		if len(g.customers) != customers || f.messages != messages {
			t.Fatalf("invalid message %x was applied", invalid)
		}
		wellFormed := len(invalid) == queryBytes && invalid[0] == queryKind ||
			len(invalid) == answerBytes && invalid[5] < 2
		if !wellFormed && g.Stats(f.now).InvalidMessages != invalidBefore+1 {
			t.Fatalf("invalid message %x was not counted in InvalidMessages", invalid)
		}
	}
}

// When the whole fleet has just started, hard limits are full. This holds although the fleet is too large for every
// gateway to receive messages from all others: each receives them from those that share a customer with it.
func TestHardLimitIsFullWhenTheFleetHasJustStarted(t *testing.T) {
	f, _ := wideFleet(t)
	f.run(time.Second, func() {})
	if in, _ := f.admitted(12, 1, 30, 4); in < 11 {
		t.Fatalf("%d of 12 admitted with a burst of 32, want at least 11", in)
	}
	f.run(5*time.Second, func() {})
	if in, _ := f.admitted(200, 1, 30, 4); in > 52 { // in a second
		t.Fatalf("%d admitted in 1 s with a burst of 32 and 13 a second, want at most 52", in)
	}
}
