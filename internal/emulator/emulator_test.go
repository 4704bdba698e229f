package emulator

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/lab/referee"
	"sprucelane.example/sprucelane/policy"
)

const second = time.Second

func TestEventsHappenInOrder(t *testing.T) {
	e := NewEngine(1)
	var got []int
	e.After(2*second, func() { got = append(got, 3) })
	e.After(second, func() {
		got = append(got, 1)
		e.After(0, func() { got = append(got, 2) })
		e.After(-second, func() { got = append(got, 2) })
	})
	e.After(9*second, func() { got = append(got, 9) })
	e.Run(Origin + 5*second)
	assert.Equal(t, []int{1, 2, 2, 3}, got)
	assert.Equal(t, Origin+5*second, e.Now())
}

// The random numbers of one part don't depend on the draws of another.
func TestStreamsAreIndependent(t *testing.T) {
	a, b := NewEngine(7), NewEngine(7)
	a.Stream("clients").Uint64()
	assert.Equal(t, a.Stream("members").Uint64(), b.Stream("members").Uint64())
	assert.NotEqual(t, a.Stream("members").Uint64(), a.Stream("links").Uint64())
	assert.NotEqual(t, a.Stream("members").Uint64(), NewEngine(8).Stream("members").Uint64())
}

// faultyScenario returns a scenario with several kinds of faults.
func faultyScenario(seed uint64) Scenario {
	s := Platform(seed, 3, 12, 0.5, 40*second)
	s.Faults = []Fault{{At: 5 * second, For: 10 * second, Kind: Hang, Share: 0.2}, {At: 12 * second, For: 6 * second, Kind: Stop, Share: 0.2},
		{At: 8 * second, For: 20 * second, Kind: Pause, Share: 0.3}, {At: 20 * second, For: 8 * second, Kind: Drain, Share: 0.2},
		{At: 25 * second, For: 9 * second, Kind: Restart, Share: 1}}
	return s
}

// The same scenario gives the same run, and no rule is broken in it.
func TestSameScenarioGivesSameRun(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(6) {
		a, err := Simulate(faultyScenario(seed))
		require.NoError(t, err)
		b, err := Simulate(faultyScenario(seed))
		require.NoError(t, err)
		assert.Equal(t, a, b)
		assert.False(t, seen[a.Digest])
		seen[a.Digest] = true
		assert.Greater(t, a.Share(), 0.7, "seed %d", seed)
		assert.Equal(t, a.Tries, a.Served+a.Refused+a.Failed+a.Lost)
		assert.NotZero(t, a.Lost) // requests of the gateways that were killed
		assert.Less(t, a.PeakCold, 4.0)
	}
}

func TestValueIsServedWithoutFaults(t *testing.T) {
	r, err := Simulate(Platform(1, 3, 12, 0.4, 20*second))
	require.NoError(t, err)
	assert.Greater(t, r.Share(), 0.97)
	assert.Len(t, r.Seconds, 20)
	assert.Zero(t, r.Lost)
	empty := Platform(1, 3, 12, 0.4, 20*second)
	empty.Faults = []Fault{{At: 0, For: 30 * second, Kind: Stop, Share: 1}}
	r, err = Simulate(empty)
	require.NoError(t, err)
	assert.Zero(t, r.InTime)
}

// Runs a fleet of a size that real processes on one machine don't reach.
func TestManyGateways(t *testing.T) {
	s := Platform(1, 40, 200, 0.5, 4*second)
	s.Faults = []Fault{{At: second, For: 5 * second, Kind: Hang, Share: 0.1}}
	r, err := Simulate(s)
	require.NoError(t, err)
	assert.Greater(t, r.Tries, 4000)
	assert.Greater(t, r.Share(), 0.6)
}

// newIdleRun returns a run in which no event is scheduled.
func newIdleRun(seed uint64) *run {
	s := Platform(seed, 1, 2, 0.1, second)
	return &run{Scenario: s, engine: NewEngine(seed), requests: map[policy.RequestID]*request{}, partitionedRoom: -1, digest: sha256.New(),
		checker: referee.New(s.Settings, seed, Origin)}
}

// The model reports its events to the checker, so that a broken rule is found and listed with the request's events.
func TestBrokenRulesAreFound(t *testing.T) {
	for rule, do := range map[string]func(r *run, g *gateway, q *request){
		referee.TwoAnswers: func(_ *run, g *gateway, q *request) {
			l := &pendingRequest{request: q}
			g.recordAnswer(l, "served")
			g.recordAnswer(l, "refused")
		},
		referee.LateAnswer: func(r *run, g *gateway, q *request) {
			r.engine.now = q.Deadline + second
			g.recordAnswer(&pendingRequest{request: q}, "failed")
		},
		referee.NoAnswer: func(r *run, _ *gateway, q *request) { r.requests[q.ID] = q; r.checkEnd() },
		referee.UnsafeTwice: func(r *run, g *gateway, q *request) {
			q.Class = 1
			r.arriveAtMember(g, r.members[0], q)
			r.arriveAtMember(g, r.members[1], q)
		},
		referee.DrainKept: func(r *run, g *gateway, q *request) {
			info := r.members[0].info()
			info.State = policy.Draining
			g.listed, g.idleConns = map[policy.ServerID]bool{}, map[policy.ServerID][]Time{}
			g.updateListed(info)
			r.engine.now += second
			r.arriveAtMember(g, r.members[0], q)
		},
		referee.ColdBudget: func(r *run, g *gateway, q *request) {
			r.members[0].start()
			for range 40 {
				r.arriveAtMember(g, r.members[0], q)
			}
		},
	} {
		r := newIdleRun(5)
		for i := range 2 {
			r.members = append(r.members, &member{engine: r.engine, spec: r.Spec, id: policy.ServerID(i + 1), up: true, rng: r.engine.Stream("m")})
		}
		q := &request{arrivedAt: r.engine.now}
		q.original, q.ID, q.Deadline = q, 1, r.engine.now+second
		r.checker.Note(r.engine.now, &q.Request, "taken")
		do(r, &gateway{run: r}, q)
		require.Error(t, r.checker.Err(), rule)
		assert.ErrorContains(t, r.checker.Err(), rule)
		assert.ErrorContains(t, r.checker.Err(), "seed 5")
		assert.ErrorContains(t, r.checker.Err(), "taken")
	}
}

func TestMembers(t *testing.T) {
	e := NewEngine(1)
	spec := MemberSpec{Cores: 1, Speed: 1, Queue: 1, Work: 100 * time.Millisecond, ColdFrom: 0.25, WarmWithin: 10 * second}
	m := &member{engine: e, spec: spec, id: 1, up: true, rng: e.Stream("m")}
	var ends []policy.Ending
	var at []time.Duration
	ask := func() {
		m.accept(1, func(how policy.Ending) { ends, at = append(ends, how), append(at, e.now-Origin) })
	}
	ask()
	ask()
	ask() // one is served, one waits, one is rejected
	e.Run(Origin + second)
	assert.Equal(t, []policy.Ending{policy.Rejected, policy.Served, policy.Served}, ends)
	assert.Equal(t, []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond}, at)
	m.start() // cold: four times as long
	ask()
	e.Run(Origin + 2*second)
	assert.Equal(t, 1400*time.Millisecond, at[3])
	m.started = 0
	ask()
	e.Run(Origin + 2*second + 50*time.Millisecond)
	m.pausedUntil = e.now + 200*time.Millisecond
	e.Run(Origin + 3*second)
	assert.Equal(t, 2250*time.Millisecond, at[4])
	m.hang()
	ask()
	e.Run(Origin + 5*second)
	m.resume()
	ask()
	m.stop()
	ask()
	e.Run(Origin + 6*second)
	assert.Equal(t, policy.NotConnected, ends[5])
	assert.Len(t, ends, 6)
}

func TestInvalidScenarios(t *testing.T) {
	for key, spoil := range map[string]func(*Scenario){"gateways": func(s *Scenario) { s.Gateways = 0 }, "members": func(s *Scenario) { s.Members = 0 },
		"spec": func(s *Scenario) { s.Spec.Cores = 0 }, "load": func(s *Scenario) { s.Load = 0 }, "accounts": func(s *Scenario) { s.Accounts = 0 },
		"length": func(s *Scenario) { s.Length = 0 }, "classes": func(s *Scenario) { s.Settings.Classes = nil },
		"troubles[0]": func(s *Scenario) { s.Faults = []Fault{{Kind: "flood", Share: 1}} }} {
		s := Platform(1, 1, 1, 0.5, second)
		s.Settings.Gateways = 1
		spoil(&s)
		_, err := Simulate(s)
		assert.ErrorContains(t, err, key)
	}
}
