package storm

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const second = time.Second

// outage stops all members for a while and gives when service was back for good after they were, and the share of what
// was asked for in the minute after that was served in time.
func (w *simulation) runOutage() (back time.Duration, share float64) {
	w.runLoad(20*second, 1)
	usual := w.goodput(simulationStart+5*second, w.now)
	w.stop(w.allMembers()...)
	w.runLoad(20*second, 1)
	w.restore(w.allMembers()...)
	restored := w.now
	w.runLoad(70*second, 1)
	return w.timeToRecover(restored, restored+60*second, usual), w.goodput(restored, restored+60*second)
}

// stormy plays an outage of all members, damped or not.
func runStorm(policy string, seed uint64, guarded bool, honorRatio float64) (*simulation, time.Duration) {
	w := newSimulation(seed, 3, 12, 0.6)
	w.guarded, w.retryPolicy, w.honorRatio = guarded, retryPolicies[policy], honorRatio
	back, _ := w.runOutage()
	return w, back
}

// Whatever the clients do, service is back within one and a half times the members' warm-up, and no later than without.
func TestRecoversForEveryClientModel(t *testing.T) {
	for name := range retryPolicies {
		for _, heeds := range []float64{0, 0.5, 1} { // clients that ignore Retry-After, and that honour it all together
			var damped, undamped time.Duration
			for seed := range uint64(3) {
				w, back := runStorm(name, seed, true, heeds)
				_, without := runStorm(name, seed, false, heeds)
				damped, undamped = damped+back/3, undamped+without/3
				assert.LessOrEqual(t, back, warmUpTime*3/2, "%s, %.1f heed, seed %d", name, heeds, seed)
				assert.Less(t, w.peakOverload, 4.0, name)
				assert.Equal(t, []Phase{Outage, Recovery, Calm}, w.phases[max(0, len(w.phases)-3):], "%s, %.1f heed, seed %d", name, heeds, seed)
			}
			assert.LessOrEqual(t, damped, undamped+2*second, "%s, %.1f heed", name, heeds)
			t.Logf("%s, %.1f heed: back after %v, without %v", name, heeds, damped, undamped)
		}
	}
}

func TestRepeatedOutage(t *testing.T) {
	w := newSimulation(1, 3, 12, 0.6)
	w.runLoad(20*second, 1)
	usual := w.goodput(simulationStart+5*second, w.now)
	w.stop(w.allMembers()...)
	w.runLoad(15*second, 1)
	w.restore(w.allMembers()...)
	w.runLoad(5*second, 1)
	w.stop(w.allMembers()...)
	w.runLoad(10*second, 1)
	w.restore(w.allMembers()...)
	restored := w.now
	w.runLoad(50*second, 1)
	assert.Equal(t, []Phase{Outage, Recovery, Outage, Recovery, Calm}, w.phases[max(0, len(w.phases)-5):])
	assert.LessOrEqual(t, w.timeToRecover(restored, restored+45*second, usual), warmUpTime*3/2)
}

// One gateway of which little is asked sees the end of an outage too, though it lets in one try a second.
func TestOutageOfALightlyLoadedGateway(t *testing.T) {
	w := newSimulation(9, 1, 3, 0.2)
	w.retryPolicy = retryPolicies["immediate"]
	w.runLoad(30*second, 1)
	w.stop(w.allMembers()...)
	w.runLoad(20*second, 1)
	assert.Equal(t, Outage, w.phases[len(w.phases)-1])
	w.restore(w.allMembers()...)
	w.runLoad(40*second, 1)
	assert.Equal(t, []Phase{Outage, Recovery, Calm}, w.phases[max(0, len(w.phases)-3):])
	assert.Greater(t, w.goodput(w.now-15*second, w.now-3*second), 0.95)
}

// Discovery lists all members as up, and all of them take work and answer nothing: the attempts that are out tell.
func TestUnresponsiveMembers(t *testing.T) {
	w := newSimulation(1, 3, 12, 0.6)
	w.runLoad(20*second, 1)
	for i := range w.members {
		w.members[i].hung = true
	}
	w.runLoad(5*second, 1)
	p, sure := w.guards[1].State()
	assert.Equal(t, Outage, p)
	assert.Greater(t, sure, 0.5)
	assert.Less(t, w.guards[1].Stats().Limit, 0.2*w.arrivalRate/3)
}

// One room of two is gone: what is left is served, and that is no outage.
func TestOutageOfOneZone(t *testing.T) {
	shares := map[bool]float64{}
	for _, damped := range []bool{true, false} {
		w := newSimulation(2, 3, 12, 0.6)
		w.guarded, w.retryPolicy = damped, retryPolicies["immediate"]
		w.runLoad(20*second, 1)
		w.stop(0, 1, 2, 3, 4, 5)
		gone := w.now
		w.runLoad(20*second, 1)
		shares[damped] = w.goodput(gone+5*second, w.now-2*second)
		if damped {
			assert.NotContains(t, w.phases, Outage)
		}
		w.restore(0, 1, 2, 3, 4, 5)
		restored := w.now
		w.runLoad(40*second, 1)
		if damped {
			assert.Greater(t, w.goodput(restored+25*second, w.now-3*second), 0.95)
		}
	}
	assert.GreaterOrEqual(t, shares[true], shares[false]-0.02) // half the members can do 0.83 of what is asked
}

// A gateway started in the middle of the storm knows of it from its peers, and one that hears nobody finds it out.
func TestGatewayRestartedInTheStorm(t *testing.T) {
	for _, cut := range []bool{false, true} {
		w := newSimulation(3, 3, 12, 0.6)
		w.runLoad(20*second, 1)
		w.stop(w.allMembers()...)
		w.runLoad(10*second, 1)
		w.restore(w.allMembers()...)
		w.runLoad(2*second, 1)
		w.partitioned = cut
		w.restartGuard(2)
		w.runLoad(second, 1)
		p, _ := w.guards[2].State()
		if !cut {
			assert.NotEqual(t, Calm, p)
			assert.Greater(t, w.guards[2].baselineRate(), 5.0) // and what is usual
		}
		w.runLoad(40*second, 1)
		p, _ = w.guards[2].State()
		assert.Equal(t, Calm, p, "%+v %+v", w.guards[2].Stats(), w.guards[2].recent())
		assert.Greater(t, w.goodput(w.now-15*second, w.now-3*second), 0.9)
	}
}

// Retries come through another gateway than the first try, under a fresh id and without a mark: account, class and
// units tell them, as peers say what has failed.
func TestRetriesThroughAnotherGateway(t *testing.T) {
	w := newSimulation(4, 3, 12, 0.6)
	w.markRetries, w.accounts = false, 2000
	w.runLoad(20*second, 1)
	before := w.retries
	w.stop(w.allMembers()...)
	w.runLoad(10*second, 1)
	w.restore(w.allMembers()...)
	w.runLoad(10*second, 1)
	known, missed := w.retries[0]-before[0], w.retries[1]-before[1]
	assert.Greater(t, float64(known), 0.6*float64(known+missed))
	assert.NotZero(t, missed)
}

// What is usual on busy days is no storm.
func TestNoFalseAlarms(t *testing.T) {
	for name, day := range map[string]func(*simulation){
		"a peak":        func(w *simulation) { w.runLoad(20*second, 1.6) },
		"a long peak":   func(w *simulation) { w.runLoad(10*second, 1.2); w.runLoad(30*second, 1.55); w.runLoad(10*second, 0.4) },
		"nothing asked": func(w *simulation) { w.runLoad(20*second, 0.01); w.runLoad(20*second, 1) },
		"a hot customer": func(w *simulation) { // whose tries beyond the quota are refused, and come again at once
			w.runLoad(20*second, 1)
			for range 4000 {
				w.run(w.now + 3*time.Millisecond)
				a := Arrival{Account: 7, Class: 1, Plan: 1, Units: 2, MarkedRetry: w.rng.IntN(2) == 0}
				g := w.guards[w.rng.IntN(3)]
				if g.Admit(w.now, a).Admit {
					g.Rejected(w.now, a, second)
				}
			}
			w.runLoad(10*second, 1)
		},
		"a deploy of the clients": func(w *simulation) { // all connect anew at once, and what was open is asked for again
			w.runLoad(20*second, 1)
			for range 2000 {
				assert.True(w.test(), w.guards[w.rng.IntN(3)].AdmitConnection(w.now))
			}
			for range 40 {
				w.firstAttempt(Arrival{Account: w.rng.Uint64N(60), Class: 1, Units: 1})
			}
			w.runLoad(20*second, 1)
		},
		"one slow member": func(w *simulation) {
			w.runLoad(20*second, 1)
			w.members[3].freeAt = w.now + 10*second
			w.runLoad(20*second, 1)
		},
		"a member just started at the peak": func(w *simulation) {
			w.runLoad(20*second, 1)
			w.runLoad(2*second, 1.4)
			w.restore(5)
			w.runLoad(20*second, 1.4)
			assert.Less(w.test(), w.peakOverload, 4.0)
		},
		"two members gone": func(w *simulation) { w.runLoad(20*second, 1); w.stop(1, 2); w.runLoad(20*second, 1) },
		"pauses": func(w *simulation) {
			for range 20 {
				for i := range 4 {
					w.members[i].freeAt = max(w.members[i].freeAt, w.now) + 400*time.Millisecond
				}
				w.runLoad(2*second, 1)
			}
		},
	} {
		for seed := range uint64(4) {
			w := newSimulation(seed, 3, 12, 0.6)
			w.t = t
			w.runLoad(5*second, 1)
			day(w)
			for _, g := range w.guards {
				assert.Zero(t, g.Stats().Storms, "%s, seed %d", name, seed)
			}
		}
	}
}

// Controllers that all connect anew and mark nothing, each under an account of its own: no try can be told for a retry,
// but with so many new connections, more asked than is usual and much that ends badly it is a storm all the same.
func TestConnectionSurge(t *testing.T) {
	for _, rush := range []bool{true, false} {
		w := newSimulation(11, 1, 12, 0.6)
		w.runLoad(20*second, 1)
		w.stop(0, 1, 2, 3, 4, 5, 6)
		for range 4000 {
			if rush {
				w.guards[0].AdmitConnection(w.now)
			}
			if v := w.guards[0].Admit(w.now, Arrival{Account: w.rng.Uint64(), Class: 1, Units: 1}); v.Admit {
				w.guards[0].AttemptEnded(w.now, map[bool]Outcome{true: Failed, false: InTime}[w.rng.IntN(2) == 0])
			}
			w.run(w.now + second/1000)
		}
		assert.Equal(t, rush, w.guards[0].Stats().Storms > 0)
	}
}

// A clock that stood still for 3 s, or a process that did, is no outage, and ends none.
func TestProcessPause(t *testing.T) {
	w := newSimulation(5, 1, 12, 0.6)
	w.runLoad(20*second, 1)
	g := w.guards[0]
	for range 30 {
		g.AttemptEnded(w.now, Failed) // what all ended when the process went on
	}
	g.Tick(w.now+3*second, Members{Listed: 12, Warmth: 1, Overdue: 40})
	p, _ := g.State()
	assert.Equal(t, Calm, p)
}

// A utility account that asks for five times its quota in the storm takes no more than its like: what it asks beyond is
// refused by quota and, coming again, counts as a retry.
func TestHotAccountInTheStorm(t *testing.T) {
	shares := map[bool]float64{}
	for _, hot := range []bool{false, true} {
		w := newSimulation(6, 3, 12, 0.6)
		w.runLoad(20*second, 1)
		w.stop(w.allMembers()...)
		w.runLoad(10*second, 1)
		w.restore(w.allMembers()...)
		restored := w.now
		if hot {
			var ask func()
			ask = func() {
				a := Arrival{Account: 9999, Class: 1, Plan: 1, Units: 4}
				g := w.guards[w.rng.IntN(3)]
				if g.Admit(w.now, a).Admit {
					g.Rejected(w.now, a, second) // its quota is spent
				}
				if w.now < restored+30*second {
					w.after(20*time.Millisecond, ask)
				}
			}
			w.after(0, ask)
		}
		w.runLoad(40*second, 1)
		shares[hot] = w.goodput(restored+10*second, restored+35*second)
	}
	assert.Greater(t, shares[true], shares[false]-0.1)
}

// Five thousand connections in one second: no more are taken than a second's worth and what may come at once.
func TestConnectionsInAStorm(t *testing.T) {
	w := newSimulation(7, 1, 12, 0.6)
	w.runLoad(20*second, 1)
	w.stop(w.allMembers()...)
	w.runLoad(5*second, 1)
	taken := 0
	for range 5000 {
		w.run(w.now + second/5000)
		if w.guards[0].AdmitConnection(w.now) {
			taken++
		}
	}
	assert.InDelta(t, 200, taken, 60)
	assert.NotZero(t, w.guards[0].Stats().RejectedConnections)
}

// Those who heed what they are told come back spread over the time there is, and none is told to wait longer than the
// clients' limit or less than a moment.
func TestScheduledReturnsAreSpread(t *testing.T) {
	w := newSimulation(8, 3, 12, 0.6)
	w.runLoad(20*second, 1)
	w.stop(w.allMembers()...)
	w.runLoad(4*second, 1)
	slot := map[int64]int{}
	for range 600 {
		g := w.guards[w.rng.IntN(3)]
		wait := g.Rejected(w.now, Arrival{Account: w.rng.Uint64(), Class: 1}, second)
		assert.GreaterOrEqual(t, wait, minRetryAfter)
		assert.LessOrEqual(t, wait, 8*second)
		slot[int64((w.now+wait)/slotDuration)]++
		w.run(w.now + 2*time.Millisecond)
	}
	most := 0
	for _, n := range slot {
		most = max(most, n)
	}
	assert.Less(t, float64(most), 3*600/float64(len(slot)))
	assert.Greater(t, len(slot), 20)
	g := New(Options{MaxRetryAfter: 300 * time.Millisecond})
	g.start(simulationStart)
	g.enterPhase(simulationStart, Outage)
	for range 100 {
		assert.LessOrEqual(t, g.scheduleReturn(simulationStart), 300*time.Millisecond)
	}
}

// First tries come before retries, dear ones before cheap ones, and what must not run twice before what may.
func TestAdmissionPriority(t *testing.T) {
	g := New(Options{Classes: classes, Prices: []float64{1.2, 1.6}})
	last := -1.0
	for _, c := range []struct {
		class, plan int
		retry       bool
	}{{1, 1, false}, {1, 0, false}, {0, 1, false}, {0, 0, false}, {1, 1, true}, {0, 0, true}} {
		r := g.reserve(Arrival{Class: c.class, Plan: c.plan}, c.retry)
		assert.Greater(t, r, last, "%+v", c)
		assert.Less(t, r, 1.0)
		last = r
	}
	assert.NotPanics(t, func() { g.reserve(Arrival{Class: 9, Plan: -1}, false) })
}

func TestMessageRoundTrip(t *testing.T) {
	w := Message{Phase: Recovery, Confidence: 0.5, Seq: 9, FirstAttempts: 30, Retries: 300, InTime: 12, Failed: 1, Limit: 17, Baseline: 33}
	w.Scheduled[3] = 21
	w.FailedWork.add(12345678901234567)
	got, ok := Decode(w.Encode())
	assert.True(t, ok)
	assert.Equal(t, Recovery, got.Phase)
	assert.InDelta(t, 300, got.Retries, 15)
	assert.InDelta(t, 21, got.Scheduled[3], 1)
	assert.True(t, got.FailedWork.contains(12345678901234567))
	assert.False(t, got.FailedWork.contains(76543210987654321))
	for range 1000 {
		w.FailedWork.add(rand.Uint64())
	}
	assert.False(t, w.FailedWork.contains(12345678901234567)) // full: it says nothing
	assert.LessOrEqual(t, len(w.Encode()), 128)
}

func FuzzReceive(f *testing.F) {
	w := Message{Phase: Outage, Confidence: 1}
	f.Add(w.Encode())
	f.Fuzz(func(t *testing.T, m []byte) {
		g := New(Options{Gateways: 2, Classes: classes, Prices: []float64{1}})
		g.Receive(simulationStart, 1, m)
		for i := range 40 {
			now := simulationStart + Time(i)*TickInterval
			v := g.Admit(now, Arrival{Account: 1})
			if v.RetryAfter < 0 || v.RetryAfter > maxRetryAfter {
				t.Fatal(v.RetryAfter)
			}
			g.Tick(now, Members{Listed: 1, Warmth: 1})
			if !(g.limit >= 0 && g.limit < 1e9) {
				t.Fatal(g.limit)
			}
		}
	})
}

// The ways considered, on the same storms: mean time until service is back, and the most that a cold member was sent over
// what it could do. The design page has the table.
func TestCompareStrategies(t *testing.T) {
	const seeds = 3
	mean := map[string]time.Duration{}
	for _, way := range []string{"none", "budget", "concurrency", "ramp"} {
		for name := range retryPolicies {
			var back time.Duration
			peak, share := 0.0, 0.0
			for seed := range uint64(seeds) {
				w := newSimulation(seed, 3, 12, 0.6)
				w.guarded, w.retryPolicy = way == "ramp", retryPolicies[name]
				for range w.guards {
					switch way {
					case "budget":
						w.alternatives = append(w.alternatives, &retryBudget{})
					case "concurrency":
						w.alternatives = append(w.alternatives, &adaptiveConcurrency{limit: 20})
					}
				}
				took, served := w.runOutage()
				back += took / seeds
				peak, share = max(peak, w.peakOverload), share+served/seeds
			}
			t.Logf("%-11s %-9s back after %4.0f s, served in time in 60 s %.2f, peak at a cold member %.1f", way, name, back.Seconds(), share, peak)
			mean[way] += back / time.Duration(len(retryPolicies))
		}
	}
	assert.Less(t, mean["ramp"], mean["none"]/2)
	assert.LessOrEqual(t, mean["ramp"], mean["budget"]+second)
	assert.LessOrEqual(t, mean["ramp"], mean["concurrency"]+second)
}
