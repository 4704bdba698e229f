package storm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const second = time.Second

// For every retry policy of the clients the service recovers within one and a half times the members' warm-up, and
// no later than without guards.
func TestRecoversForEveryClientModel(t *testing.T) {
	for name := range retryPolicies {
		for _, honor := range []float64{0, 0.5, 1} { // clients that ignore Retry-After, to clients that all honor it
			var damped, undamped time.Duration
			for seed := range uint64(3) {
				w, back := runStorm(name, seed, true, honor)
				_, without := runStorm(name, seed, false, honor)
				damped, undamped = damped+back/3, undamped+without/3
				assert.LessOrEqual(t, back, warmUpTime*3/2, "%s, %.1f honor, seed %d", name, honor, seed)
				assert.Less(t, w.peakOverload, 4.0, name)
				assert.Equal(t, []Phase{Outage, Recovery, Calm}, w.phases[max(0, len(w.phases)-3):],
					"%s, %.1f honor, seed %d", name, honor, seed)
			}
			assert.LessOrEqual(t, damped, undamped+2*second, "%s, %.1f honor", name, honor)
			t.Logf("%s, %.1f honor: back after %v, without %v", name, honor, damped, undamped)
		}
	}
}

// The members fail again during the recovery.
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

// A gateway with little load, whose limit in an outage is one request a second, detects the end of the outage.
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

// All members accept requests and answer nothing, while discovery lists them as up: the overdue attempts show the
// outage.
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

// Half of the members fail: the other half is used, and that is no outage.
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
	assert.GreaterOrEqual(t, shares[true], shares[false]-0.02) // half the members can serve 0.83 of the load
}

// A gateway that starts during a storm learns of it from its peers; one without peers detects it.
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
			assert.Greater(t, w.guards[2].baselineRate(), 5.0) // the baseline, too
		}
		w.runLoad(40*second, 1)
		p, _ = w.guards[2].State()
		assert.Equal(t, Calm, p, "%+v %+v", w.guards[2].Stats(), w.guards[2].recent())
		assert.Greater(t, w.goodput(w.now-15*second, w.now-3*second), 0.9)
	}
}

// Retries arrive at another gateway than the first attempt, unmarked: they are recognized by account, class and
// units, as peers report what has failed.
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

// Busy days are no storms.
func TestNoFalseAlarms(t *testing.T) {
	for name, day := range map[string]func(*simulation){
		"a peak": func(w *simulation) { w.runLoad(20*second, 1.6) },
		"a long peak": func(w *simulation) {
			w.runLoad(10*second, 1.2)
			w.runLoad(30*second, 1.55)
			w.runLoad(10*second, 0.4)
		},
		"no load": func(w *simulation) { w.runLoad(20*second, 0.01); w.runLoad(20*second, 1) },
		"a hot customer": func(w *simulation) { // its requests beyond the quota are rejected, and retried at once
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
		"a deploy of the clients": func(w *simulation) { // all reconnect at once, and send again what was in flight
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
		"two members stopped": func(w *simulation) { w.runLoad(20*second, 1); w.stop(1, 2); w.runLoad(20*second, 1) },
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

// Clients that all reconnect, mark no retries and have an account each: no retry is recognized, but with so many new
// connections, a load above the baseline and many failures it is a storm.
func TestConnectionSurge(t *testing.T) {
	for _, surge := range []bool{true, false} {
		w := newSimulation(11, 1, 12, 0.6)
		w.runLoad(20*second, 1)
		w.stop(0, 1, 2, 3, 4, 5, 6)
		for range 4000 {
			if surge {
				w.guards[0].AdmitConnection(w.now)
			}
			if v := w.guards[0].Admit(w.now, Arrival{Account: w.rng.Uint64(), Class: 1, Units: 1}); v.Admit {
				w.guards[0].AttemptEnded(w.now, map[bool]Outcome{true: Failed, false: InTime}[w.rng.IntN(2) == 0])
			}
			w.run(w.now + second/1000)
		}
		assert.Equal(t, surge, w.guards[0].Stats().Storms > 0)
	}
}

// A process pause of 3 s is no outage.
func TestProcessPause(t *testing.T) {
	w := newSimulation(5, 1, 12, 0.6)
	w.runLoad(20*second, 1)
	g := w.guards[0]
	for range 30 {
		g.AttemptEnded(w.now, Failed) // all that had timed out when the process resumed
	}
	g.Tick(w.now+3*second, Members{Listed: 12, Warmth: 1, Overdue: 40})
	p, _ := g.State()
	assert.Equal(t, Calm, p)
}

// An account that sends five times its quota in a storm takes no more than others: what exceeds its quota is
// rejected, and its retries count as such.
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
					g.Rejected(w.now, a, second) // beyond its quota
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

// Of 5,000 connections in a second no more are accepted than a second's worth and the burst.
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

// Clients that honor Retry-After return spread over the time there is, and it is between minRetryAfter and the clients'
// limit.
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

// First attempts pass before retries, valuable requests before cheap ones, and non-idempotent before idempotent ones.
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
