package policy

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// randomEvents drives a gateway with random events, checks the invariants on all its actions, and returns the actions.
func randomEvents(t *testing.T, seed uint64) []string {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := twoGateways()
	s.Hedging = seed%2 == 0
	s.Classes = []Class{s.Classes[0],
		{Name: "pay", LatencyTarget: 700 * ms, Deadline: 2 * time.Second, Value: 4, Idempotency: IdempotentByKey,
			DedupScope: ScopeCell, DedupWindow: time.Second},
		{Name: "once", LatencyTarget: 700 * ms, Deadline: 2 * time.Second, Value: 2, Idempotency: NotIdempotent}}
	s.Plans = append(s.Plans, Plan{Name: "top", Rate: 30, Burst: 30, ValueMultiplier: 2, HardLimitRate: 60,
		HardLimitBurst: 60, MaxInFlight: 8})
	f := start(t, s, 8)
	limitCustomers := func() {
		if seed%3 == 0 { // fewer records than customers with requests at the same time
			f.gateway.maxCustomers = 6
		}
	}
	limitCustomers()
	type open struct {
		send
		class int
	}
	var inFlight []open
	class, deadline, ran := map[RequestID]int{}, map[RequestID]Time{}, map[RequestID][]send{}
	unavailable := map[ServerID]Time{}
	id := RequestID(0)
	for step := 0; step < 4000; step++ {
		from := len(f.sent)
		switch k := rng.IntN(20); {
		case k < 9:
			id++
			class[id] = rng.IntN(3)
			deadline[id] = f.now + time.Duration(200+rng.IntN(1800))*ms
			f.ask(id, func(r *Request) {
				r.Class, r.Plan, r.Customer = class[id], rng.IntN(2), CustomerID(rng.IntN(20))
				r.SetSize, r.Units, r.Deadline = 2, float64(rng.IntN(4)), deadline[id]
			})
		case k < 16 && len(inFlight) > 0:
			i := rng.IntN(len(inFlight))
			o := inFlight[i]
			inFlight = append(inFlight[:i], inFlight[i+1:]...)
			ending := []Ending{Served, Served, Served, Errored, Rejected, NotConnected, ConnectionLost, TimedOut}[rng.IntN(8)]
			if ending != Rejected && ending != NotConnected {
				ran[o.id] = append(ran[o.id], o.send)
			}
			f.done(o.send, ending, f.now-o.at)
		case k == 16:
			sv := ServerID(rng.IntN(8) + 1)
			state := ServerState(rng.IntN(3))
			delete(unavailable, sv)
			if state != Ready {
				unavailable[sv] = f.now
			}
			f.gateway.Servers(f.now, ListChanges, []ServerInfo{{ID: sv, State: state, Cell: int(sv) % 2, Zone: int(sv) % 2,
				StartedAt: Time(rng.IntN(2)) * f.now}})
		case k == 17:
			m := make([]byte, rng.IntN(40))
			for i := range m {
				m[i] = byte(rng.IntN(256))
			}
			f.gateway.PeerMessage(f.now, rng.IntN(4)-1, m)
		case k == 18 && rng.IntN(40) == 0: // the gateway restarts: it loses its requests and has only its last server list
			for i := RequestID(1); i <= id; i++ {
				if f.ended[i] == "" {
					f.ended[i] = "void"
				}
			}
			g, err := New(s, seed+uint64(step))
			if err != nil {
				t.Fatal(err)
			}
			g.Attach(f)
			f.gateway, f.timers, inFlight = g, nil, nil
			limitCustomers()
			var list []ServerInfo
			for sv := ServerID(1); sv <= 8; sv++ {
				state := Ready
				if _, gone := unavailable[sv]; gone {
					state = Draining
				}
				list = append(list, ServerInfo{ID: sv, State: state, Cell: int(sv) % 2, Zone: int(sv) % 2})
			}
			g.Servers(f.now, ListCached, list)
		default:
			f.runUntil(f.now + time.Duration(rng.IntN(60))*ms)
		}
		for _, x := range f.sent[from:] {
			if at, gone := unavailable[x.to]; gone && x.at > at {
				t.Fatalf("seed %d: attempt sent to server %d, unavailable since %v, at %v", seed, x.to, at, x.at)
			}
			duplicates := 0
			for _, o := range inFlight {
				if o.id == x.id {
					duplicates++
					if class[x.id] == 2 || class[x.id] == 1 && (o.to+x.to)%2 != 0 {
						t.Fatalf("seed %d: unsafe second attempt of request %d in flight", seed, x.id)
					}
				}
			}
			if duplicates > 0 && !s.Hedging {
				t.Fatalf("seed %d: two attempts of request %d in flight without hedging", seed, x.id)
			}
			for _, e := range ran[x.id] {
				if class[x.id] == 2 || class[x.id] == 1 && ((e.to+x.to)%2 != 0 || x.at-e.at > time.Second) {
					t.Fatalf("seed %d: class %d, request %d sent to server %d, though it may have run on server %d", seed, class[x.id], x.id, x.to, e.to)
				}
			}
			inFlight = append(inFlight, open{x, class[x.id]})
		}
		checkCustomers(t, f.gateway)
		for i := max(1, int(id)-60); i <= int(id); i++ {
			if r := RequestID(i); f.ended[r] == "" && f.now > deadline[r] {
				t.Fatalf("seed %d: request %d has no answer at its deadline", seed, r)
			} else if f.ended[r] == "refused" && class[r] > 0 {
				for _, e := range ran[r] {
					t.Fatalf("seed %d: request %d refused, though it may have run on server %d", seed, r, e.to)
				}
			}
		}
	}
	from := len(f.sent)
	f.runUntil(f.now + 5*time.Second)
	for _, x := range f.sent[from:] {
		inFlight = append(inFlight, open{x, 0})
	}
	for _, o := range inFlight {
		f.done(o.send, TimedOut, f.now-o.at)
	}
	if len(f.gateway.requests) != 0 || len(f.gateway.inFlight) != 0 {
		t.Fatalf("seed %d: %d requests and %d attempts left at the end, want none", seed, len(f.gateway.requests),
			len(f.gateway.inFlight))
	}
	return f.trace
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		randomEvents(t, seed)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if !reflect.DeepEqual(randomEvents(t, 3), randomEvents(t, 3)) {
		t.Fatal("two runs with the same seed took different actions")
	}
}
