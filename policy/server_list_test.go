package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestDrainsAndLists(t *testing.T) {
	f := start(t, settings(), 4)
	f.gateway.Servers(f.now, ListChanges, []ServerInfo{{ID: 1, State: Draining}, {ID: 2, State: Departed}})
	f.gateway.Servers(f.now, ListFull, []ServerInfo{{ID: 1, State: Draining}, {ID: 4}})
	for i := 1; i <= 8; i++ {
		f.ask(RequestID(i), nil)
	}
	for _, x := range f.sent {
		if x.to != 4 {
			t.Fatalf("sent to server %d, which drains or is absent from the full list", x.to)
		}
	}
	if len(f.sent) == 0 {
		t.Fatal("nothing sent to the remaining server")
	}
}

func TestWatchAgainAfterAFailedCall(t *testing.T) {
	s := settings()
	s.Subscribe, s.ListRefreshWithin = true, 10*time.Second
	f := start(t, s, 2)
	f.gateway.Servers(f.now, ListFailed, nil)
	f.runUntil(f.now + 5*time.Second)
	if f.watches < 2 {
		t.Fatalf("%d watches after a failed one, want at least 2", f.watches)
	}
	f.ask(1, nil)
	if len(f.sent) != 1 {
		t.Fatal("the request was not sent: a failed watch must leave the last list in effect")
	}
}

func TestDepartedServersAreForgotten(t *testing.T) {
	f := start(t, settings(), 2)
	for i := 10; i < 500; i++ {
		f.now += 5 * time.Second
		f.gateway.Servers(f.now, ListFull, []ServerInfo{{ID: ServerID(i), StartedAt: f.now}})
		f.ask(RequestID(i), nil)
		f.done(f.sent[len(f.sent)-1], Served, ms)
	}
	if len(f.gateway.servers) > 3 || len(f.gateway.serversByID) > 3 {
		t.Fatalf("%d servers kept, though only one is listed", len(f.gateway.servers))
	}
}

// A prior applies to one process of a listed server. It changes the estimates of the server's latency and capacity, and
// nothing else.
func TestPriorsChangeEstimatesOnly(t *testing.T) {
	s := settings()
	s.Hedging = false
	f := start(t, s, 3)
	f.gateway.Servers(f.now, ListChanges, []ServerInfo{{ID: 3, State: Draining, Weight: 1}})
	f.gateway.SetPriors(f.now, []Prior{{ID: 1, RelativeLatency: 30, Weight: 4}, {ID: 2, StartedAt: 5 * time.Second,
		RelativeLatency: 30, Weight: 9},
		{ID: 3, RelativeLatency: 0.1, Weight: 9}, {ID: 9, RelativeLatency: 0.1, Weight: 9}, {ID: 2,
			RelativeLatency: math.NaN(), Weight: 1, Capacity: 7}})
	for id := RequestID(1); id <= 4; id++ {
		f.ask(id, func(*Request) {})
	}
	for _, x := range f.sent {
		if x.to != 2 { // 1 is slow by its prior, 3 drains, and the priors of 2 are of another process or not a number
			t.Errorf("request %d went to server %d", x.id, x.to)
		}
	}
	if len(f.sent) != 4 || len(f.gateway.servers) != 2 {
		t.Errorf("%d sent, want 4; %d servers known, want 2", len(f.sent), len(f.gateway.servers))
	}
	if list := f.gateway.Observe(f.now); len(list) != 2 || list[0].RelativeLatency != 30 || list[1].InFlight != 4 ||
		list[1].LastServed != 0 {
		t.Errorf("observed %+v", list)
	}
	f.runUntil(f.now + 10*time.Second)
	if list := f.gateway.Observe(f.now); list[0].LatencySamples > 1 { // priors decay like measurements
		t.Errorf("after 10 s the prior still counts %.1f answers", list[0].LatencySamples)
	}
}

// Over random sequences of lists and priors, nothing is sent to a server that isn't ready in the last list.
func TestPriorsNeverMakeAServerUsable(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 9))
		f := start(t, settings(), 0)
		ready, id := map[ServerID]bool{}, RequestID(0)
		for range 200 {
			switch rng.IntN(4) {
			case 0:
				var list []ServerInfo
				for s := ServerID(1); s <= 6; s++ {
					state := ServerState(rng.IntN(3))
					ready[s] = state == Ready
					list = append(list, ServerInfo{ID: s, Weight: 1, State: state, StartedAt: Time(rng.IntN(2)) * f.now})
				}
				f.gateway.Servers(f.now, ListFull, list)
			case 1:
				var list []Prior
				for range 6 {
					list = append(list, Prior{ID: ServerID(rng.IntN(9)), StartedAt: Time(rng.IntN(2)) * f.now,
						RelativeLatency: rng.ExpFloat64(),
						Weight:          10 * rng.Float64(), Capacity: 100 * rng.Float64(), SlowStartBudgetTaken: rng.IntN(2) == 0})
				}
				f.gateway.SetPriors(f.now, list)
			case 2:
				f.runUntil(f.now + Time(rng.IntN(300))*ms)
			default:
				sent := len(f.sent)
				id++
				f.ask(id, nil)
				for _, x := range f.sent[sent:] {
					if !ready[x.to] {
						t.Fatalf("seed %d: request %d went to server %d, which is not ready", seed, x.id, x.to)
					}
				}
			}
		}
	}
}
