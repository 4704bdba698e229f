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

// A successor knows what its predecessor knew: balances and hard limits, which servers are ejected, latencies, and
// what cold servers were sent. With other settings it does so by the names of classes and plans.
func TestStateGoesToTheSuccessor(t *testing.T) {
	f := start(t, busySettings(), 4)
	f.runUntil(f.now + 100*time.Second) // a hard limit fills from the start on
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
				t.Errorf("%s: customer %d has %v and %v left, had %v and %v", name, customer, a, c, balance, hardLimit)
			}
			if got := n.gateway.customersByID[customer].plan; got != plan(want) ||
				n.gateway.customersByKey[n.gateway.customersByID[customer].key] == nil {
				t.Errorf("%s: customer %d has plan %d", name, customer, got)
			}
			n.ask(1000+RequestID(customer), func(r *Request) {
				r.Customer, r.Plan, r.Class = customer, plan(want),
					class("order")
			})
		}
		if got := len(n.gateway.customers); got != 2 {
			t.Errorf("%s: %d customers after they have asked again", name, got)
		}
		if got := n.gateway.classTypicalLatency(class("order")); math.Abs(got-f.gateway.classTypicalLatency(1)) > 0.02 {
			t.Errorf("%s: orders take %v, known were %v", name, got, f.gateway.classTypicalLatency(1))
		}
		if c := class("new"); c >= 0 && n.gateway.classTypicalLatency(c) != 0.25 {
			t.Errorf("%s: a new class begins with %v", name, n.gateway.classTypicalLatency(c))
		}
		if !n.gateway.ejected(n.gateway.serversByID[2]) || n.gateway.ejected(n.gateway.serversByID[1]) {
			t.Errorf("%s: the ejected server is another", name)
		}
		if got := len(n.gateway.serversByID[9].slowStartBudget.Sent); got != 2 ||
			n.gateway.warmth(n.gateway.serversByID[9]) >= 1 {
			t.Errorf("%s: %d sends to the cold server are known", name, got)
		}
	}
	n := f.successor(t, func(s *Settings) { s.Plans = s.Plans[1:] })
	if got := len(n.gateway.customers); got != 1 || n.gateway.customersByID[6] == nil ||
		n.gateway.customersByID[6].plan != 0 {
		t.Errorf("%d customers, of whom one has a plan that there still is", got)
	}
}

// To its peers a successor is the same gateway: no other incarnation, and nothing drawn twice.
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
		t.Fatalf("%d incarnations, %d before", got, incarnations)
	}
	peer.gateway.refill(peer.gateway.customersByKey[customerKey(5, 0, 0, 2)], 0)
	if got := peer.gateway.customersByKey[customerKey(5, 0, 0, 2)].balance; got < left-0.01 {
		t.Fatalf("%v left, %v before", got, left)
	}
}

// What the other process of a gateway sends counts here: units, hard limit and cold budgets.
func TestSentElsewhere(t *testing.T) {
	f := start(t, busySettings(), 1)
	f.runUntil(f.now + 100*time.Second)
	f.gateway.Servers(f.now, ListChanges, []ServerInfo{{ID: 9, Weight: 1, StartedAt: f.now}})
	draw := Request{Customer: 5, Plan: 1, Units: 2, SetSize: 1}
	for id := RequestID(1); id <= 20; id++ {
		f.gateway.SentElsewhere(f.now, draw, 9, id%2 == 0)
	}
	f.gateway.SentElsewhere(f.now, draw, 77, false) // a server not known here
	if balance, hardLimit := f.remaining(5); balance != 80 || hardLimit != 40 {
		t.Errorf("%v and %v are left of 100 and 60, 20 drawn elsewhere", balance, hardLimit)
	}
	if got := len(f.gateway.serversByID[9].slowStartBudget.Sent); got != 20 {
		t.Errorf("%d sends to the cold server are known, of 20", got)
	}
}

// A peer with other settings is alive, but what it says of groups and plans with other names is dropped.
func TestUpdatesOfOtherSettings(t *testing.T) {
	f := start(t, twoGateways(), 4)
	m := message(time.Second, 5, 100)
	other := settings()
	other.Plans[0].Name = "other"
	means := other.schema()
	copy(m[5:], means[:])
	f.gateway.PeerMessage(f.now, 1, m)
	if f.gateway.peerLastContact[1] != f.now {
		t.Error("the peer was not heard")
	}
	if len(f.gateway.customers) != 0 {
		t.Error("a customer of another plan was made")
	}
	f.gateway.PeerMessage(f.now, 1, message(2*time.Second, 5, 100))
	if len(f.gateway.customers) != 1 {
		t.Error("the customer of the same plan was not")
	}
}

// State is imported wholly or not at all: cut at any byte, of another gateway, or in another version it changes
// nothing.
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
			t.Fatalf("the first %d of %d bytes were taken", i, len(whole))
		}
		if n.gateway.started || len(n.gateway.customers)+len(n.gateway.servers) > 0 {
			t.Fatalf("%d bytes have left something behind", i)
		}
	}
	n := fresh()
	if err := n.gateway.ImportState(n.now, whole); err != nil {
		t.Fatal(err)
	}
	if n.gateway.ImportState(n.now, whole) == nil {
		t.Error("it was taken twice")
	}
	if fresh().gateway.ImportState(f.now, append(bytes.Clone(whole), 0)) == nil {
		t.Error("a byte too many was taken")
	}
	other := bytes.Clone(whole)
	other[0]++
	if fresh().gateway.ImportState(f.now, other) == nil {
		t.Error("another version was taken")
	}
	set := f.gateway.cfg
	set.Gateways, set.Self = 3, 2
	g, _ := New(set, 9)
	g.Attach(f)
	if g.ImportState(f.now, whole) == nil {
		t.Error("another gateway's was taken")
	}
}

// However many customers there are, exported state keeps to its bytes, and the customers seen last are in it.
func TestExportedStateIsBounded(t *testing.T) {
	f := start(t, settings(), 4)
	for i := 1; i <= 3000; i++ {
		f.now += ms
		f.serve(RequestID(i), ms, func(r *Request) { r.Customer = CustomerID(i) })
	}
	const most = 100 << 10
	state := f.gateway.ExportState(f.now, most)
	if len(state) > most+most/4 {
		t.Fatalf("%d bytes, %d are wanted", len(state), most)
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
		t.Error("the customer seen last is unknown")
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
