package policy

import (
	"slices"
	"testing"
	"time"
)

// checkCustomers checks the bound of the records of customers, and that each attempt in flight and each queued request
// of a gateway is counted in a record that the gateway still has.
func checkCustomers(t *testing.T, g *Gateway) {
	t.Helper()
	if len(g.customers) > g.maxCustomers || len(g.customersByID) > len(g.customers) ||
		len(g.customersByKey) > len(g.customers) || len(g.pendingUpdates) > len(g.customers) {
		t.Fatalf("%d records of %d allowed, %d by id, %d by key, %d updates", len(g.customers), g.maxCustomers,
			len(g.customersByID), len(g.customersByKey), len(g.pendingUpdates))
	}
	inFlight, queued := map[*customer]int{}, map[*customer]int{}
	for _, a := range g.inFlight {
		inFlight[a.request.customer]++
	}
	for _, r := range g.queue {
		if r.queued { // one that was answered meanwhile stays in the queue until its next turn
			queued[r.customer]++
		}
	}
	requests := map[*customer]int{}
	for _, r := range g.requests {
		requests[r.customer]++
	}
	for _, c := range g.customers {
		if c.requests != requests[c] {
			t.Fatalf("customer %d has %d requests, %d are counted", c.id, requests[c], c.requests)
		}
	}
	for c, n := range inFlight {
		if c.inFlight != n || !slices.Contains(g.customers, c) {
			t.Fatalf("customer %d has %d attempts in flight and %d counted, or no record", c.id, n, c.inFlight)
		}
	}
	for c, n := range queued {
		if c.queued != n || !slices.Contains(g.customers, c) {
			t.Fatalf("customer %d has %d requests queued and %d counted, or no record", c.id, n, c.queued)
		}
	}
}

// TestTooManyCustomers sends requests of more customers than there are records for, within a second, of plans whose
// buckets this gateway owns or shares. None of them has been idle: the least recently seen ones go, and what is in
// flight stays counted.
func TestTooManyCustomers(t *testing.T) {
	for name, setSize := range map[string]int{"buckets kept by an owner": 60, "shared buckets": 2, "own buckets": 1} {
		t.Run(name, func(t *testing.T) {
			set := settings()
			set.Gateways, set.Peers, set.PeerMessageRate = 80, true, 100
			f := start(t, set, 30)
			total := maxCustomers + maxCustomers/4
			for i := 1; i <= total; i++ {
				f.ask(RequestID(i), func(r *Request) { r.SetSize = setSize })
				if i%40 == 0 {
					f.runUntil(f.now + ms)
				}
			}
			checkCustomers(t, f.gateway)
			if len(f.gateway.inFlight) == 0 {
				t.Error("no request is in flight")
			}
			if f.gateway.customersByID[CustomerID(total)] == nil {
				t.Error("the customer seen last has no record")
			}
		})
	}
}

// TestNoRecordIsFree refuses a request of a further customer where all records count what is in flight.
func TestNoRecordIsFree(t *testing.T) {
	f := start(t, settings(), 4)
	f.gateway.maxCustomers = 3
	for i := 1; i <= 4; i++ {
		f.ask(RequestID(i), nil)
	}
	if len(f.sent) != 3 || f.ended[4] != "refused" {
		t.Fatalf("%d sent, the fourth was %q", len(f.sent), f.ended[4])
	}
	// There is no record to count this one in.
	f.gateway.SentElsewhere(f.now, Request{Customer: 9, SetSize: 1, Units: 1}, 1, true)
	checkCustomers(t, f.gateway)
	f.done(f.sent[0], Served, ms)
	f.ask(5, nil)
	if len(f.sent) != 4 {
		t.Fatal("a record has become free, and the next customer gets none")
	}
	checkCustomers(t, f.gateway)
}

// TestEvictedCustomerGainsNothing has a customer use up its hard limit and be evicted: its new record begins with what
// has filled since.
func TestEvictedCustomerGainsNothing(t *testing.T) {
	set := settings()
	set.Plans[0].HardLimitRate, set.Plans[0].HardLimitBurst = 1, 5
	f := start(t, set, 4)
	f.gateway.maxCustomers = 4
	f.runUntil(f.now + 10*time.Second)
	spend := func(from int) (admitted int) {
		for i := from; i < from+20; i++ {
			before := len(f.sent)
			f.ask(RequestID(i), func(r *Request) { r.Customer = 7 })
			if len(f.sent) > before {
				f.done(f.sent[before], Served, ms)
				admitted++
			}
		}
		return admitted
	}
	if n := spend(100); n == 0 || n > 6 {
		t.Fatalf("%d admitted, the hard limit's burst is 5", n)
	}
	for i := 1; i <= 8; i++ {
		f.serve(RequestID(i), ms, nil)
	}
	if n := spend(200); n > 1 {
		t.Errorf("%d admitted after the eviction, within a second of the last", n)
	}
}
