package policy

import (
	"slices"
	"testing"
	"time"
)

// checkCustomers checks that a gateway doesn't exceed its bound on records of customers, and that each of its requests,
// attempts in flight and queued requests is counted in a record that it still has.
func checkCustomers(t *testing.T, g *Gateway) {
	t.Helper()
	if len(g.customers) > g.maxCustomers || len(g.customersByID) > len(g.customers) ||
		len(g.customersByKey) > len(g.customers) || len(g.pendingUpdates) > len(g.customers) {
		t.Fatalf("%d records, at most %d allowed; %d by ID, %d by key, %d pending updates", len(g.customers), g.maxCustomers,
			len(g.customersByID), len(g.customersByKey), len(g.pendingUpdates))
	}
	inFlight, queued := map[*customer]int{}, map[*customer]int{}
	for _, a := range g.inFlight {
		inFlight[a.request.customer]++
	}
	for _, r := range g.queue {
		if r.queued { // an answered request stays in the queue until the next retryQueue
			queued[r.customer]++
		}
	}
	requests := map[*customer]int{}
	for _, r := range g.requests {
		requests[r.customer]++
	}
	for _, c := range g.customers {
		if c.requests != requests[c] {
			t.Fatalf("customer %d has %d requests, but its record counts %d", c.id, requests[c], c.requests)
		}
	}
	for c, n := range inFlight {
		if c.inFlight != n || !slices.Contains(g.customers, c) {
			t.Fatalf("customer %d has %d attempts in flight, but its record counts %d or was dropped", c.id, n, c.inFlight)
		}
	}
	for c, n := range queued {
		if c.queued != n || !slices.Contains(g.customers, c) {
			t.Fatalf("customer %d has %d queued requests, but its record counts %d or was dropped", c.id, n, c.queued)
		}
	}
}

// Within a second, requests arrive from more customers than there are records for. Their buckets are kept by an
// owner, shared with a peer, or this gateway's alone. No customer has been idle, so the least recently seen records
// are evicted. Attempts in flight must stay counted.
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

// A request of a further customer is refused if the records of all customers are in use.
func TestNoRecordIsFree(t *testing.T) {
	f := start(t, settings(), 4)
	f.gateway.maxCustomers = 3
	for i := 1; i <= 4; i++ {
		f.ask(RequestID(i), nil)
	}
	if len(f.sent) != 3 || f.ended[4] != "refused" {
		t.Fatalf("%d sent, want 3; request 4 ended as %q, want refused", len(f.sent), f.ended[4])
	}
	// This attempt has no record in which it could be counted.
	f.gateway.SentElsewhere(f.now, Request{Customer: 9, SetSize: 1, Units: 1}, 1, true)
	checkCustomers(t, f.gateway)
	f.done(f.sent[0], Served, ms)
	f.ask(5, nil)
	if len(f.sent) != 4 {
		t.Fatal("the request of the next customer was refused, although a record can be evicted")
	}
	checkCustomers(t, f.gateway)
}

// A customer uses up its hard limit and is evicted. Its new record must start only with what has filled since.
func TestEvictedCustomerGainsNothing(t *testing.T) {
	set := settings()
	set.Plans[0].HardLimitRate, set.Plans[0].HardLimitBurst = 1, 5
	f := start(t, set, 4)
	f.gateway.maxCustomers = 4
	f.runUntil(f.now + 10*time.Second)
	drawAll := func(from int) (admitted int) {
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
	if n := drawAll(100); n == 0 || n > 6 {
		t.Fatalf("%d admitted, want 1 to 6, as the hard limit's burst is 5", n)
	}
	for i := 1; i <= 8; i++ {
		f.serve(RequestID(i), ms, nil)
	}
	if n := drawAll(200); n > 1 {
		t.Errorf("%d admitted within a second after the eviction, want at most 1", n)
	}
}
