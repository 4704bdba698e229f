package storm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const second = time.Second

// For every retry policy of the clients the service recovers within one and a half times the members' warm-up, and at
// most 2 s later than without guards.
func TestRecoversForEveryClientModel(t *testing.T) {
	for name := range retryPolicies {
		for _, honor := range []float64{0, 0.5, 1} { // fraction of clients that honor Retry-After
			var guarded, unguarded time.Duration
			for seed := range uint64(3) {
				s, recovery := runStorm(name, seed, true, honor)
				_, unguardedRecovery := runStorm(name, seed, false, honor)
				guarded, unguarded = guarded+recovery/3, unguarded+unguardedRecovery/3
				assert.LessOrEqual(t, recovery, warmUpTime*3/2, "%s, %.1f honor, seed %d", name, honor, seed)
				assert.Less(t, s.peakOverload, 4.0, name)
				assert.Equal(t, []Phase{Outage, Recovery, Calm}, s.phases[max(0, len(s.phases)-3):],
					"%s, %.1f honor, seed %d", name, honor, seed)
			}
			assert.LessOrEqual(t, guarded, unguarded+2*second, "%s, %.1f honor", name, honor)
			t.Logf("%s, %.1f honor Retry-After: recovered after %v, without guards after %v", name, honor, guarded, unguarded)
		}
	}
}

// If the members fail again during the recovery, the guard returns to Outage, and the service recovers afterwards.
func TestRepeatedOutage(t *testing.T) {
	s := newSimulation(1, 3, 12, 0.6)
	s.runLoad(20*second, 1)
	baseline := s.goodput(simulationStart+5*second, s.now)
	s.stop(s.allMembers()...)
	s.runLoad(15*second, 1)
	s.restore(s.allMembers()...)
	s.runLoad(5*second, 1)
	s.stop(s.allMembers()...)
	s.runLoad(10*second, 1)
	s.restore(s.allMembers()...)
	restored := s.now
	s.runLoad(50*second, 1)
	assert.Equal(t, []Phase{Outage, Recovery, Outage, Recovery, Calm}, s.phases[max(0, len(s.phases)-5):])
	assert.LessOrEqual(t, s.timeToRecover(restored, restored+45*second, baseline), warmUpTime*3/2)
}

// A gateway with little load, whose limit in an outage is one request a second, detects the end of the outage.
func TestOutageOfALightlyLoadedGateway(t *testing.T) {
	s := newSimulation(9, 1, 3, 0.2)
	s.retryPolicy = retryPolicies["immediate"]
	s.runLoad(30*second, 1)
	s.stop(s.allMembers()...)
	s.runLoad(20*second, 1)
	assert.Equal(t, Outage, s.phases[len(s.phases)-1])
	s.restore(s.allMembers()...)
	s.runLoad(40*second, 1)
	assert.Equal(t, []Phase{Outage, Recovery, Calm}, s.phases[max(0, len(s.phases)-3):])
	assert.Greater(t, s.goodput(s.now-15*second, s.now-3*second), 0.95)
}

// All members accept requests and answer none, while discovery lists them as up. The guards detect the outage by the
// overdue attempts.
func TestUnresponsiveMembers(t *testing.T) {
	s := newSimulation(1, 3, 12, 0.6)
	s.runLoad(20*second, 1)
	for i := range s.members {
		s.members[i].hung = true
	}
	s.runLoad(5*second, 1)
	p, confidence := s.guards[1].State()
	assert.Equal(t, Outage, p)
	assert.Greater(t, confidence, 0.5)
	assert.Less(t, s.guards[1].Stats().Limit, 0.2*s.arrivalRate/3)
}

// Half of the members fail. The other half goes on serving, so no outage is detected.
func TestOutageOfOneZone(t *testing.T) {
	shares := map[bool]float64{}
	for _, guarded := range []bool{true, false} {
		s := newSimulation(2, 3, 12, 0.6)
		s.guarded, s.retryPolicy = guarded, retryPolicies["immediate"]
		s.runLoad(20*second, 1)
		s.stop(0, 1, 2, 3, 4, 5)
		stoppedAt := s.now
		s.runLoad(20*second, 1)
		shares[guarded] = s.goodput(stoppedAt+5*second, s.now-2*second)
		if guarded {
			assert.NotContains(t, s.phases, Outage)
		}
		s.restore(0, 1, 2, 3, 4, 5)
		restored := s.now
		s.runLoad(40*second, 1)
		if guarded {
			assert.Greater(t, s.goodput(restored+25*second, s.now-3*second), 0.95)
		}
	}
	assert.GreaterOrEqual(t, shares[true], shares[false]-0.02) // half the members can serve 0.83 of the load
}

// A gateway that starts during a storm learns of the storm and the baseline from its peers. One that receives no
// messages from peers returns to good service, too.
func TestGatewayRestartedInTheStorm(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		s := newSimulation(3, 3, 12, 0.6)
		s.runLoad(20*second, 1)
		s.stop(s.allMembers()...)
		s.runLoad(10*second, 1)
		s.restore(s.allMembers()...)
		s.runLoad(2*second, 1)
		s.partitioned = partitioned
		s.restartGuard(2)
		s.runLoad(second, 1)
		p, _ := s.guards[2].State()
		if !partitioned {
			assert.NotEqual(t, Calm, p)
			assert.Greater(t, s.guards[2].baselineRate(), 5.0) // the baseline was adopted, too
		}
		s.runLoad(40*second, 1)
		p, _ = s.guards[2].State()
		assert.Equal(t, Calm, p, "%+v %+v", s.guards[2].Stats(), s.guards[2].recent())
		assert.Greater(t, s.goodput(s.now-15*second, s.now-3*second), 0.9)
	}
}

// Retries arrive unmarked, and at another gateway than the first attempt. They are recognized by account, class and
// units, because peers report the work that failed.
func TestRetriesThroughAnotherGateway(t *testing.T) {
	s := newSimulation(4, 3, 12, 0.6)
	s.markRetries, s.accounts = false, 2000
	s.runLoad(20*second, 1)
	before := s.retries
	s.stop(s.allMembers()...)
	s.runLoad(10*second, 1)
	s.restore(s.allMembers()...)
	s.runLoad(10*second, 1)
	recognized, missed := s.retries[0]-before[0], s.retries[1]-before[1]
	assert.Greater(t, float64(recognized), 0.6*float64(recognized+missed))
	assert.NotZero(t, missed)
}

// Load peaks, quota rejections, reconnecting clients, and a few failed, slow or paused members are not detected as
// storms.
func TestNoFalseAlarms(t *testing.T) {
	for name, scenario := range map[string]func(*simulation){
		"a peak": func(s *simulation) { s.runLoad(20*second, 1.6) },
		"a long peak": func(s *simulation) {
			s.runLoad(10*second, 1.2)
			s.runLoad(30*second, 1.55)
			s.runLoad(10*second, 0.4)
		},
		"no load": func(s *simulation) { s.runLoad(20*second, 0.01); s.runLoad(20*second, 1) },
		"a hot customer": func(s *simulation) { // its requests beyond the quota are rejected and retried at once
			s.runLoad(20*second, 1)
			for range 4000 {
				s.run(s.now + 3*time.Millisecond)
				a := Arrival{Account: 7, Class: 1, Plan: 1, Units: 2, MarkedRetry: s.rng.IntN(2) == 0}
				g := s.guards[s.rng.IntN(3)]
				if g.Admit(s.now, a).Admit {
					g.Rejected(s.now, a, second)
				}
			}
			s.runLoad(10*second, 1)
		},
		"a deploy of the clients": func(s *simulation) { // all reconnect at once, and repeat the requests that were in flight
			s.runLoad(20*second, 1)
			for range 2000 {
				assert.True(s.test(), s.guards[s.rng.IntN(3)].AdmitConnection(s.now))
			}
			for range 40 {
				s.firstAttempt(Arrival{Account: s.rng.Uint64N(60), Class: 1, Units: 1})
			}
			s.runLoad(20*second, 1)
		},
		"one slow member": func(s *simulation) {
			s.runLoad(20*second, 1)
			s.members[3].freeAt = s.now + 10*second
			s.runLoad(20*second, 1)
		},
		"a member just started at the peak": func(s *simulation) {
			s.runLoad(20*second, 1)
			s.runLoad(2*second, 1.4)
			s.restore(5)
			s.runLoad(20*second, 1.4)
			assert.Less(s.test(), s.peakOverload, 4.0)
		},
		"two members stopped": func(s *simulation) { s.runLoad(20*second, 1); s.stop(1, 2); s.runLoad(20*second, 1) },
		"pauses": func(s *simulation) {
			for range 20 {
				for i := range 4 {
					s.members[i].freeAt = max(s.members[i].freeAt, s.now) + 400*time.Millisecond
				}
				s.runLoad(2*second, 1)
			}
		},
	} {
		for seed := range uint64(4) {
			s := newSimulation(seed, 3, 12, 0.6)
			s.t = t
			s.runLoad(5*second, 1)
			scenario(s)
			for _, g := range s.guards {
				assert.Zero(t, g.Stats().Storms, "%s, seed %d", name, seed)
			}
		}
	}
}

// All clients reconnect, mark no retries and have one account each, so that no retry is recognized. A storm is detected
// all the same, by the surge of new connections, the load above the baseline and the failures.
func TestConnectionSurge(t *testing.T) {
	for _, surge := range []bool{true, false} {
		s := newSimulation(11, 1, 12, 0.6)
		s.runLoad(20*second, 1)
		s.stop(0, 1, 2, 3, 4, 5, 6)
		for range 4000 {
			if surge {
				s.guards[0].AdmitConnection(s.now)
			}
			if v := s.guards[0].Admit(s.now, Arrival{Account: s.rng.Uint64(), Class: 1, Units: 1}); v.Admit {
				s.guards[0].AttemptEnded(s.now, map[bool]Outcome{true: Failed, false: InTime}[s.rng.IntN(2) == 0])
			}
			s.run(s.now + second/1000)
		}
		assert.Equal(t, surge, s.guards[0].Stats().Storms > 0)
	}
}

// A process pause of 3 s is not detected as an outage, although many attempts have timed out at its end.
func TestProcessPause(t *testing.T) {
	s := newSimulation(5, 1, 12, 0.6)
	s.runLoad(20*second, 1)
	g := s.guards[0]
	for range 30 {
		g.AttemptEnded(s.now, Failed) // the attempts that had timed out when the process resumed
	}
	g.Tick(s.now+3*second, Members{Listed: 12, Warmth: 1, Overdue: 40})
	p, _ := g.State()
	assert.Equal(t, Calm, p)
}

// An account that sends five times its quota in a storm doesn't displace others: the requests beyond its quota are
// rejected, and their repeats count as retries.
func TestHotAccountInTheStorm(t *testing.T) {
	shares := map[bool]float64{}
	for _, hot := range []bool{false, true} {
		s := newSimulation(6, 3, 12, 0.6)
		s.runLoad(20*second, 1)
		s.stop(s.allMembers()...)
		s.runLoad(10*second, 1)
		s.restore(s.allMembers()...)
		restored := s.now
		if hot {
			var sendRequest func()
			sendRequest = func() {
				a := Arrival{Account: 9999, Class: 1, Plan: 1, Units: 4}
				g := s.guards[s.rng.IntN(3)]
				if g.Admit(s.now, a).Admit {
					g.Rejected(s.now, a, second) // beyond its quota
				}
				if s.now < restored+30*second {
					s.after(20*time.Millisecond, sendRequest)
				}
			}
			s.after(0, sendRequest)
		}
		s.runLoad(40*second, 1)
		shares[hot] = s.goodput(restored+10*second, restored+35*second)
	}
	assert.Greater(t, shares[true], shares[false]-0.1)
}

// Of 5,000 new connections in a second in an outage, about as many are accepted as Options.ConnectionRate permits, with
// the burst.
func TestConnectionsInAStorm(t *testing.T) {
	s := newSimulation(7, 1, 12, 0.6)
	s.runLoad(20*second, 1)
	s.stop(s.allMembers()...)
	s.runLoad(5*second, 1)
	accepted := 0
	for range 5000 {
		s.run(s.now + second/5000)
		if s.guards[0].AdmitConnection(s.now) {
			accepted++
		}
	}
	assert.InDelta(t, 200, accepted, 60)
	assert.NotZero(t, s.guards[0].Stats().RejectedConnections)
}

// The returns of clients that honor Retry-After are spread over the time slots, and Retry-After is between
// minRetryAfter and Options.MaxRetryAfter.
func TestScheduledReturnsAreSpread(t *testing.T) {
	s := newSimulation(8, 3, 12, 0.6)
	s.runLoad(20*second, 1)
	s.stop(s.allMembers()...)
	s.runLoad(4*second, 1)
	slot := map[int64]int{}
	for range 600 {
		g := s.guards[s.rng.IntN(3)]
		wait := g.Rejected(s.now, Arrival{Account: s.rng.Uint64(), Class: 1}, second)
		assert.GreaterOrEqual(t, wait, minRetryAfter)
		assert.LessOrEqual(t, wait, 8*second)
		slot[int64((s.now+wait)/slotDuration)]++
		s.run(s.now + 2*time.Millisecond)
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
