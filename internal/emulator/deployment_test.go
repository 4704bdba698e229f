package emulator

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/policy"
)

func deployment(t *testing.T, name string) string {
	text, err := os.ReadFile("../../deploy/deployments/" + name + ".json")
	require.NoError(t, err)
	return string(text)
}

// With the figures of both deployments that the gateway serves, the value is served where there are no faults, and no
// rule is broken under the faults that the deployments' operators have seen.
func TestDeploymentsOfBothOperators(t *testing.T) {
	for _, name := range []string{"lakeshore", "fraser-valley"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := ReadDeployment([]byte(deployment(t, name)), 1, 12*second)
			require.NoError(t, err)
			calm, err := Simulate(s)
			require.NoError(t, err)
			t.Logf("calm %.3f, refused %d of %d", calm.Share(), calm.Refused, calm.Tries)
			assert.Greater(t, calm.Share(), 0.9)
			for _, fault := range []Fault{{At: 2 * second, For: 6 * second, Kind: Slow, Share: 1, Size: 2.4}, {At: 2 * second, For: 9 * second, Kind: Shrink, Share: 0.4},
				{At: 2 * second, For: 3 * second, Kind: Stop, Share: 0.3}, {At: 2 * second, For: 6 * second, Kind: Drain, Share: 0.2}, {At: 2 * second, For: 6 * second, Kind: Restart, Share: 1}} {
				s.Faults = []Fault{fault}
				_, err := Simulate(s)
				require.NoError(t, err)
			}
		})
	}
}

// The error of an invalid file names the key.
func TestInvalidDeploymentFiles(t *testing.T) {
	good := deployment(t, "fraser-valley")
	for want, change := range map[string][2]string{
		"spread_out":           {`"spread"`, `"spread_out"`},
		"services[2].effect":   {`"guarded"`, `"guardd"`},
		"world.classes":        {`{ "share": 0.29, "work": 0.53 },`, ``},
		"units":                {`"units": 6`, `"units": 7`},
		"classes[1]":           {`"share": 0.29, "work": 0.53`, `"share": 0.29, "work": -1`},
		"plans[0]":             {`"accounts": 113`, `"accounts": 0`},
		"settings: missing":    {`"settings"`, `"unset"`},
		"must not be below 0":  {`"13s"`, `"-13s"`},
		"gateways":             {`"gateways": 3`, `"gateways": 0`},
		"allowed.max_attempts": {`"max_attempts": 4`, `"max_attempts": 0`},
	} {
		bad := strings.Replace(good, change[0], change[1], 1)
		require.NotEqual(t, good, bad, want)
		if want == "settings: missing" {
			bad = `{"world":{}}`
		}
		_, err := ReadDeployment([]byte(bad), 1, second)
		assert.ErrorContains(t, err, want)
	}
}

// Where members warm up by work as well as by time, a member without requests warms up by time alone.
func TestMembersWarmByWork(t *testing.T) {
	e := NewEngine(1)
	m := &member{engine: e, id: 1, rng: e.Stream("m"), spec: MemberSpec{Cores: 1, Speed: 1, Queue: 9, Work: 100 * time.Millisecond, ColdFrom: 0.5,
		WarmWithin: 10 * second, WarmWork: second}}
	m.start()
	for range 5 {
		m.accept(1, func(policy.Ending) {})
	}
	e.Run(Origin + 900*time.Millisecond)
	assert.InDelta(t, 0.75, m.warmth(), 0.01)
	m.start()
	assert.Equal(t, 0.5, m.warmth(), "a new incarnation is cold")
	e.Run(Origin + 5900*time.Millisecond)
	assert.InDelta(t, 0.75, m.warmth(), 0.01)
}

// A load report is used only after Report.Delay.
func TestLoadReportsAreDelayed(t *testing.T) {
	s := Platform(1, 1, 1, 0.1, second)
	s.Settings.LoadReportFields, s.Report = []string{"inflight"}, Report{Every: 100 * time.Millisecond, Delay: 50 * time.Millisecond}
	r := &run{Scenario: s, engine: NewEngine(1)}
	m := r.addMember(r.engine.Stream("members"))
	m.busy = 2
	assert.Empty(t, r.reportedLoad(m))
	r.engine.Run(Origin + 200*time.Millisecond)
	m.busy = 0
	assert.Equal(t, []float32{2}, r.reportedLoad(m))
	r.engine.Run(Origin + 400*time.Millisecond)
	assert.Equal(t, []float32{0}, r.reportedLoad(m))
}

// Minimise leaves only what a scenario needs to fail.
func TestMinimise(t *testing.T) {
	s := RandomScenario(1, 6)
	hang := Fault{At: second, For: second, Kind: Hang, Share: 0.1}
	s.Gateways, s.Spread, s.Faults = 6, []int{2}, []Fault{{Kind: Pause, Share: 1}, hang, {Kind: Drain, Share: 1}}
	plays := 0
	small := Minimise(s, 200, func(s Scenario) bool {
		plays++
		for _, t := range s.Faults {
			if t == hang && s.Members >= 3 {
				return true
			}
		}
		return false
	})
	assert.Equal(t, []Fault{hang}, small.Faults)
	assert.Equal(t, 2, small.Gateways, "sets of two need two gateways")
	assert.Less(t, small.Members, 6)
	assert.LessOrEqual(t, plays, 200)
	assert.Contains(t, small.Brief(), "trouble=hang:1s:1s:0.10")
	assert.Equal(t, s, Minimise(s, 9, func(Scenario) bool { return false }))
}
