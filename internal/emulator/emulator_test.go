package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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

// One part's random numbers don't depend on what another draws.
func TestStreamsAreIndependent(t *testing.T) {
	a, b := NewEngine(7), NewEngine(7)
	a.Stream("clients").Uint64()
	assert.Equal(t, a.Stream("members").Uint64(), b.Stream("members").Uint64())
	assert.NotEqual(t, a.Stream("members").Uint64(), a.Stream("links").Uint64())
	assert.NotEqual(t, a.Stream("members").Uint64(), NewEngine(8).Stream("members").Uint64())
}

// troubled is a day with a bit of everything.
func troubled(seed uint64) Scenario {
	s := Platform(seed, 3, 12, 0.5, 40*second)
	s.Troubles = []Trouble{{At: 5 * second, For: 10 * second, Kind: Hang, Part: 0.2}, {At: 12 * second, For: 6 * second, Kind: Stop, Part: 0.2},
		{At: 8 * second, For: 20 * second, Kind: Pause, Part: 0.3}, {At: 20 * second, For: 8 * second, Kind: Drain, Part: 0.2},
		{At: 25 * second, For: 9 * second, Kind: Restart, Part: 1}}
	return s
}

// The same scenario is the same run, and the decision module keeps the rules in it.
func TestTheSameSeedIsTheSameRun(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(6) {
		a, err := Play(troubled(seed))
		require.NoError(t, err)
		b, err := Play(troubled(seed))
		require.NoError(t, err)
		assert.Equal(t, a, b)
		assert.False(t, seen[a.Digest])
		seen[a.Digest] = true
		assert.Greater(t, a.Share(), 0.7, "seed %d", seed)
		assert.Equal(t, a.Tries, a.Served+a.Refused+a.Failed+a.Lost)
		assert.NotZero(t, a.Lost) // what the gateways that were killed had taken
		assert.Less(t, a.PeakCold, 4.0)
	}
}

func TestCalmDayIsServed(t *testing.T) {
	r, err := Play(Platform(1, 3, 12, 0.4, 20*second))
	require.NoError(t, err)
	assert.Greater(t, r.Share(), 0.97)
	assert.Len(t, r.Seconds, 20)
	assert.Zero(t, r.Lost)
	empty := Platform(1, 3, 12, 0.4, 20*second)
	empty.Troubles = []Trouble{{At: 0, For: 30 * second, Kind: Stop, Part: 1}}
	r, err = Play(empty)
	require.NoError(t, err)
	assert.Zero(t, r.InTime)
}

// A size that sockets on one machine don't reach.
func TestManyGateways(t *testing.T) {
	s := Platform(1, 40, 200, 0.5, 4*second)
	s.Troubles = []Trouble{{At: second, For: 5 * second, Kind: Hang, Part: 0.1}}
	r, err := Play(s)
	require.NoError(t, err)
	assert.Greater(t, r.Tries, 4000)
	assert.Greater(t, r.Share(), 0.6)
}

// Each rule is found out by the run itself, with the request's story, whatever the module says.
func TestBrokenRulesAreFound(t *testing.T) {
	for rule, do := range map[string]func(r *run, g *gateway, q *request){
		"two final answers": func(r *run, _ *gateway, q *request) { r.answered(q, "served"); r.answered(q, "refused") },
		"an answer after the deadline": func(r *run, _ *gateway, q *request) {
			r.e.now = q.deadline + second
			r.answered(q, "failed")
		},
		"no final answer": func(r *run, _ *gateway, q *request) { r.all[q.ID] = q; r.over() },
		"an unsafe request reached members twice": func(r *run, g *gateway, q *request) {
			q.effect = policy.Unsafe
			r.arrives(g, r.members[0], q)
			r.arrives(g, r.members[1], q)
		},
		"new work to a member that drains or is gone": func(r *run, g *gateway, q *request) {
			g.told[1] = r.e.now - second
			r.arrives(g, r.members[0], q)
		},
		"an account's hard ceiling is passed": func(r *run, _ *gateway, q *request) {
			r.Settings.Plans[0].CeilingRate, r.Settings.Plans[0].CeilingBurst = 1, 5
			q.Units = 6
			r.draws(q)
		},
		"a cold member was sent more than it can bear": func(r *run, g *gateway, q *request) {
			r.members[0].start()
			for range 40 {
				r.arrives(g, r.members[0], q)
			}
		},
	} {
		s := Platform(5, 1, 2, 0.1, second)
		r := &run{Scenario: s, e: NewEngine(5), all: map[policy.RequestID]*request{}, cut: -1, stores: map[policy.CustomerID]*store{}}
		for i := range 2 {
			r.members = append(r.members, &member{e: r.e, spec: s.Spec, id: policy.ServerID(i + 1), up: true, rng: r.e.Stream("m")})
		}
		q := &request{Request: policy.Request{ID: 1}, at: r.e.now, deadline: r.e.now + second}
		q.note(r.e.now, "taken")
		do(r, &gateway{r: r, told: map[policy.ServerID]Time{}}, q)
		require.NotNil(t, r.broken, rule)
		assert.Equal(t, rule, r.broken.Rule)
		assert.ErrorContains(t, r.broken, "seed 5")
	}
}

func TestMembers(t *testing.T) {
	e := NewEngine(1)
	spec := MemberSpec{Cores: 1, Speed: 1, Queue: 1, Work: 100 * time.Millisecond, ColdFrom: 0.25, WarmWithin: 10 * second}
	m := &member{e: e, spec: spec, id: 1, up: true, rng: e.Stream("m")}
	var ends []policy.Ending
	var at []time.Duration
	ask := func() { m.take(1, func(how policy.Ending) { ends, at = append(ends, how), append(at, e.now-Origin) }) }
	ask()
	ask()
	ask() // one at work, one waits, one too many
	e.Run(Origin + second)
	assert.Equal(t, []policy.Ending{policy.TurnedAway, policy.Served, policy.Served}, ends)
	assert.Equal(t, []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond}, at)
	m.start() // cold: four times as long
	ask()
	e.Run(Origin + 2*second)
	assert.Equal(t, 1400*time.Millisecond, at[3])
	m.started = 0
	ask()
	e.Run(Origin + 2*second + 50*time.Millisecond)
	m.paused = e.now + 200*time.Millisecond
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

func TestScenariosThatCannotBe(t *testing.T) {
	for key, spoil := range map[string]func(*Scenario){"gateways": func(s *Scenario) { s.Gateways = 0 }, "members": func(s *Scenario) { s.Members = 0 },
		"spec": func(s *Scenario) { s.Spec.Cores = 0 }, "load": func(s *Scenario) { s.Load = 0 }, "accounts": func(s *Scenario) { s.Accounts = 0 },
		"length": func(s *Scenario) { s.Length = 0 }, "classes": func(s *Scenario) { s.Settings.Classes = nil },
		"troubles[0]": func(s *Scenario) { s.Troubles = []Trouble{{Kind: "flood", Part: 1}} }} {
		s := Platform(1, 1, 1, 0.5, second)
		s.Settings.Gateways = 1
		spoil(&s)
		_, err := Play(s)
		assert.ErrorContains(t, err, key)
	}
}
