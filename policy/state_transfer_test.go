package policy

import (
	"bytes"
	"math"
	"testing"
	"time"
)

func busySettings() Settings {
	s := settings()
	s.Classes = append(s.Classes, Class{Name: "order", LatencyTarget: 500 * ms, Deadline: 2 * time.Second, Value: 3,
		Idempotency: NotIdempotent})
	s.Plans = []Plan{{Name: "small", Rate: 0.001, Burst: 40, ValueMultiplier: 1, OverQuotaCost: 1},
		{Name: "large", Rate: 0.001, Burst: 100, ValueMultiplier: 2, OverQuotaCost: 1, HardLimitRate: 1, HardLimitBurst: 60}}
	s.Hedging = false
	return s
}

// A successor has its predecessor's state: balances and hard limits, ejected servers, latencies, and the attempts that
// cold servers were sent. If its settings differ, classes and plans are matched by their names.
func TestStateGoesToTheSuccessor(t *testing.T) {
	f := start(t, busySettings(), 4)
	f.runUntil(f.now + 100*time.Second) // the hard limits fill from the start on
	for id := RequestID(1); id <= 30; id++ {
		f.serve(id, 40*ms, func(r *Request) { r.Customer = 5 })
		f.serve(100+id, 90*ms, func(r *Request) { r.Customer, r.Plan, r.Class = 6, 1, 1 })
	}
	cold := ServerInfo{ID: 9, Weight: 1, StartedAt: f.now}
	f.gateway.Servers(f.now, ListChanges, []ServerInfo{cold})
	f.gateway.serversByID[9].slowStartBudget.Sent = []Time{f.now, f.now}
	for range 4 {
		f.gateway.recordHealth(f.gateway.serversByID[2], true)
	}
	for name, change := range map[string]func(*Settings){
		"the same settings": nil,
		"other settings": func(s *Settings) {
			s.Classes = []Class{{Name: "new", LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 1}, s.Classes[1]}
			s.Plans = []Plan{s.Plans[1], {Name: "fresh", Rate: 1, Burst: 1, ValueMultiplier: 1}, s.Plans[0]}
		},
	} {
		n := f.successor(t, change)
		class := func(want string) int {
			for i, c := range n.gateway.cfg.Classes {
				if c.Name == want {
					return i
				}
			}
			return -1
		}
		plan := func(want string) int {
			for i, p := range n.gateway.cfg.Plans {
				if p.Name == want {
					return i
				}
			}
			return -1
		}
		for customer, want := range map[CustomerID]string{5: "small", 6: "large"} {
			balance, hardLimit := f.remaining(customer)
			if a, c := n.remaining(customer); math.Abs(a-balance) > 0.01 || math.Abs(c-hardLimit) > 0.01 {
				t.Errorf("%s: customer %d has balance %v and hard limit %v, want %v and %v", name, customer, a, c, balance, hardLimit)
			}
			if got := n.gateway.customersByID[customer].plan; got != plan(want) ||
				n.gateway.customersByKey[n.gateway.customersByID[customer].key] == nil {
				t.Errorf("%s: customer %d has plan %d or no record by its key", name, customer, got)
			}
			n.ask(1000+RequestID(customer), func(r *Request) {
				r.Customer, r.Plan, r.Class = customer, plan(want),
					class("order")
			})
		}
		if got := len(n.gateway.customers); got != 2 {
			t.Errorf("%s: %d records of customers after new requests, want 2", name, got)
		}
		if got := n.gateway.classTypicalLatency(class("order")); math.Abs(got-f.gateway.classTypicalLatency(1)) > 0.02 {
			t.Errorf("%s: latency of orders %v, want %v", name, got, f.gateway.classTypicalLatency(1))
		}
		if c := class("new"); c >= 0 && n.gateway.classTypicalLatency(c) != 0.25 {
			t.Errorf("%s: a new class starts with a latency of %v, want 0.25", name, n.gateway.classTypicalLatency(c))
		}
		if !n.gateway.ejected(n.gateway.serversByID[2]) || n.gateway.ejected(n.gateway.serversByID[1]) {
			t.Errorf("%s: server 2 is not ejected, or server 1 is", name)
		}
		if got := len(n.gateway.serversByID[9].slowStartBudget.Sent); got != 2 ||
			n.gateway.warmth(n.gateway.serversByID[9]) >= 1 {
			t.Errorf("%s: %d sends to the cold server are known, want 2; or the server is warm", name, got)
		}
	}
	n := f.successor(t, func(s *Settings) { s.Plans = s.Plans[1:] })
	if got := len(n.gateway.customers); got != 1 || n.gateway.customersByID[6] == nil ||
		n.gateway.customersByID[6].plan != 0 {
		t.Errorf("%d records of customers, want only that of customer 6, whose plan still exists", got)
	}
}

// Peers see a successor as the same gateway: they count no new incarnation, and no units twice.
func TestPeersDoNotNoticeASuccessor(t *testing.T) {
	f, peer := start(t, twoGateways(), 4), start(t, func() Settings { s := twoGateways(); s.Self = 1; return s }(), 4)
	pass := func(from *fakeHost) {
		for _, m := range from.messages {
			peer.gateway.PeerMessage(peer.now, 0, m)
		}
		from.messages = nil
	}
	pair := func(r *Request) { r.Customer, r.SetSize = 5, 2 }
	for id := RequestID(1); id <= 4; id++ {
		f.ask(id, pair)
		f.runUntil(f.now + 100*ms)
		peer.runUntil(f.now)
		pass(f)
	}
	left, incarnations := peer.gateway.customersByKey[customerKey(5, 0, 0, 2)].balance, peer.gateway.incarnations[0]
	n := f.successor(t, nil)
	n.runUntil(n.now + time.Second)
	peer.runUntil(n.now)
	pass(n)
	if got := peer.gateway.incarnations[0]; got != incarnations {
		t.Fatalf("%d incarnations counted by the peer, %d before the handover", got, incarnations)
	}
	peer.gateway.refill(peer.gateway.customersByKey[customerKey(5, 0, 0, 2)], 0)
	if got := peer.gateway.customersByKey[customerKey(5, 0, 0, 2)].balance; got < left-0.01 {
		t.Fatalf("balance %v at the peer, %v before the handover", got, left)
	}
}

// Attempts sent by the gateway's other process count here against the quota, the hard limit and slow-start budgets.
func TestSentElsewhere(t *testing.T) {
	f := start(t, busySettings(), 1)
	f.runUntil(f.now + 100*time.Second)
	f.gateway.Servers(f.now, ListChanges, []ServerInfo{{ID: 9, Weight: 1, StartedAt: f.now}})
	draw := Request{Customer: 5, Plan: 1, Units: 2, SetSize: 1}
	for id := RequestID(1); id <= 20; id++ {
		f.gateway.SentElsewhere(f.now, draw, 9, id%2 == 0)
	}
	f.gateway.SentElsewhere(f.now, draw, 77, false) // an unknown server
	if balance, hardLimit := f.remaining(5); balance != 80 || hardLimit != 40 {
		t.Errorf("balance %v and hard limit %v with 20 units drawn elsewhere, want 80 and 40", balance, hardLimit)
	}
	if got := len(f.gateway.serversByID[9].slowStartBudget.Sent); got != 20 {
		t.Errorf("%d sends to the cold server are known, want 20", got)
	}
}

// A peer with other settings counts as alive, but its entries for groups and plans with other names are dropped.
func TestUpdatesOfOtherSettings(t *testing.T) {
	f := start(t, twoGateways(), 4)
	m := message(time.Second, 5, 100)
	other := settings()
	other.Plans[0].Name = "other"
	means := other.schema()
	copy(m[5:], means[:])
	f.gateway.PeerMessage(f.now, 1, m)
	if f.gateway.peerLastContact[1] != f.now {
		t.Error("the update did not count as a contact with the peer")
	}
	if len(f.gateway.customers) != 0 {
		t.Error("a record was created for a customer of another plan")
	}
	f.gateway.PeerMessage(f.now, 1, message(2*time.Second, 5, 100))
	if len(f.gateway.customers) != 1 {
		t.Error("no record was created for the customer of the same plan")
	}
}

// State is imported either completely or not at all. State that is cut at any byte, of another gateway, or of another
// version changes nothing.
func TestInvalidStateIsRejected(t *testing.T) {
	f := start(t, busySettings(), 4)
	f.serve(1, ms, func(r *Request) { r.Customer = 5 })
	whole := f.gateway.ExportState(f.now, 1<<20)
	fresh := func() *fakeHost {
		g, err := New(f.gateway.cfg, 9)
		if err != nil {
			t.Fatal(err)
		}
		n := &fakeHost{t: t, gateway: g, now: f.now, ended: map[RequestID]string{}}
		g.Attach(n)
		return n
	}
	for i := range whole {
		n := fresh()
		if n.gateway.ImportState(n.now, whole[:i]) == nil {
			t.Fatalf("the first %d of %d bytes were imported", i, len(whole))
		}
		if n.gateway.started || len(n.gateway.customers)+len(n.gateway.servers) > 0 {
			t.Fatalf("the rejected import of %d bytes has changed the gateway", i)
		}
	}
	n := fresh()
	if err := n.gateway.ImportState(n.now, whole); err != nil {
		t.Fatal(err)
	}
	if n.gateway.ImportState(n.now, whole) == nil {
		t.Error("the state was imported twice")
	}
	if fresh().gateway.ImportState(f.now, append(bytes.Clone(whole), 0)) == nil {
		t.Error("state with an extra byte was imported")
	}
	other := bytes.Clone(whole)
	other[0]++
	if fresh().gateway.ImportState(f.now, other) == nil {
		t.Error("state of another version was imported")
	}
	set := f.gateway.cfg
	set.Gateways, set.Self = 3, 2
	g, _ := New(set, 9)
	g.Attach(f)
	if g.ImportState(f.now, whole) == nil {
		t.Error("the state of another gateway was imported")
	}
}

// However many customers there are, the exported state stays within its size and has the customers seen last.
func TestExportedStateIsBounded(t *testing.T) {
	f := start(t, settings(), 4)
	for i := 1; i <= 3000; i++ {
		f.now += ms
		f.serve(RequestID(i), ms, func(r *Request) { r.Customer = CustomerID(i) })
	}
	const most = 100 << 10
	state := f.gateway.ExportState(f.now, most)
	if len(state) > most+most/4 {
		t.Fatalf("%d bytes exported, want about %d at most", len(state), most)
	}
	g, err := New(f.gateway.cfg, 9)
	if err != nil {
		t.Fatal(err)
	}
	n := &fakeHost{t: t, gateway: g, now: f.now, ended: map[RequestID]string{}}
	g.Attach(n)
	if err := g.ImportState(n.now, state); err != nil {
		t.Fatal(err)
	}
	if n.gateway.customersByID[3000] == nil {
		t.Error("the customer seen last has no record in the successor")
	}
}

func FuzzImportState(f *testing.F) {
	src := start(&testing.T{}, busySettings(), 2)
	src.serve(1, ms, func(r *Request) { r.Customer = 5 })
	f.Add(src.gateway.ExportState(src.now, 1<<20))
	f.Fuzz(func(t *testing.T, state []byte) {
		set := busySettings()
		g, err := New(set, 9)
		if err != nil {
			t.Fatal(err)
		}
		n := &fakeHost{t: t, gateway: g, now: src.now, ended: map[RequestID]string{}}
		g.Attach(n)
		if g.ImportState(n.now, state) != nil {
			return
		}
		g.Servers(n.now, ListChanges, []ServerInfo{{ID: 1, Weight: 1}, {ID: 2, Weight: 1, StartedAt: n.now}})
		for i := 1; i <= 5; i++ {
			n.ask(RequestID(i), func(r *Request) { r.Customer, r.Plan = 5, i%2 })
			n.runUntil(n.now + time.Second)
		}
	})
}
