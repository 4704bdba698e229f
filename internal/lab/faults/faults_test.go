package faults

import (
	"context"
	"encoding/binary"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/daemon/store"
	"sprucelane.example/sprucelane/internal/daemon/store/balances"
	"sprucelane.example/sprucelane/internal/emulator"
	"sprucelane.example/sprucelane/internal/fake/poolmember"
	"sprucelane.example/sprucelane/internal/lab/load"
	"sprucelane.example/sprucelane/internal/lab/programs"
	"sprucelane.example/sprucelane/internal/lab/referee"
	"sprucelane.example/sprucelane/policy"
)

var program string // the gateway

// The stories of this package run real gateways.
func TestMain(m *testing.M) {
	os.Exit(programs.Run(m, func(folder string) { program = filepath.Join(folder, "sprucelane") }, "sprucelane"))
}

// small is a site that a busy machine can bear: four gateways, six members, some thirty tries a second.
func small(t *testing.T, length time.Duration, script string) Plan {
	p := Default()
	p.Binary, p.Gateways, p.Members, p.Load, p.Length, p.Slack = program, 4, 6, 0.35, length, time.Second
	p.Spec.WarmWithin, p.Spec.ColdFrom = 4*time.Second, 0.3
	if script != "" {
		var err error
		p.Script, err = Parse(script)
		require.NoError(t, err)
	}
	return p
}

// Whatever is cut, stopped or killed between real processes, the rules are kept and the fleet serves again after it. What is
// served is held to generous bounds: the machine may be busy.
func TestScriptsOnProcesses(t *testing.T) {
	for name, c := range map[string]struct {
		script string
		length time.Duration
		during float64 // least share in the seconds in which the faults are, but for the first
		after  float64 // and in the last three seconds
	}{
		"power cut":            {"kill:2s:300ms:1 stop:2s:300ms:1", 10 * time.Second, 0, 0.6},
		"seven in ten killed":  {"kill:2s:300ms:0.7", 7 * time.Second, 0, 0.6},
		"killed twice":         {"kill:2s:300ms:0.25 kill:3s:300ms:0.25", 7 * time.Second, 0.3, 0.6},
		"half stand still":     {"stall:2s:3s:0.5", 10 * time.Second, 0.1, 0.6},
		"woken to cold":        {"stall:2s:3s:1 stop:4s:500ms:0.67", 10 * time.Second, 0, 0.5},
		"discovery refuses":    {"refuses:2s:3s:1 stop:2500ms:300ms:0.17", 8 * time.Second, 0.2, 0.6},
		"clients split":        {"shut:2s:3s:0.5 halves:2s:3s:0.5", 8 * time.Second, 0.2, 0.6},
		"two halves":           {"halves:2s:4s:0.5", 9 * time.Second, 0.4, 0.6},
		"one way deaf":         {"oneway:2s:4s:0.5 loss:2s:4s:1:0.3", 9 * time.Second, 0.4, 0.6},
		"links to members cut": {"cut:2s:3s:0.5:0.34", 8 * time.Second, 0.2, 0.6},
		"drain unheard of":     {"silent:2s:3s:1 drain:2.5s:3s:0.34 hang:2s:2s:0.17", 9 * time.Second, 0.2, 0.6},
		"upgrade in a split":   {"halves:2s:5s:0.5 upgrade:3s:0s:0.5", 9 * time.Second, 0.4, 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := small(t, c.length, c.script)
			p.Dir = t.TempDir()
			e, err := Play(t.Context(), p)
			require.NoError(t, err)
			assert.Empty(t, e.Broken)
			t.Logf("%.2f %v peaks %v", e.Seconds, e.Ends, e.Peaks)
			n := len(e.Seconds)
			assert.GreaterOrEqual(t, mean(e.Seconds[n-3:]), c.after)
			assert.GreaterOrEqual(t, mean(e.Seconds[3:int(Over(p.Script)/time.Second)+1]), c.during)
			assert.NotZero(t, e.Peaks["datagrams"])
			assert.NotZero(t, e.Peaks["dials"])
			assert.NotZero(t, e.Peaks["calls"])
			if strings.Contains(c.script, "stall") {
				woke := 0
				for n := range p.Gateways {
					woke += strings.Count(p.Log(n), "event=woke stood_still_ms=3")
				}
				assert.NotZero(t, woke, "a process that stood still says so")
			}
		})
	}
}

func mean(list []float64) (m float64) {
	for _, x := range list {
		m += x / float64(len(list))
	}
	return m
}

// A run that is interrupted, while a gateway stands still and another is down, leaves no process behind; a fault that would
// outlast the run ends with it.
func TestInterruptedRun(t *testing.T) {
	t.Parallel()
	p := small(t, time.Minute, "stall:500ms:50s:0.5 kill:500ms:50s:0.25 halves:500ms:50s:0.5")
	p.Dir = t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	began := time.Now()
	_, err := Play(ctx, p)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Less(t, time.Since(began), 20*time.Second)
	out, _ := exec.Command("pgrep", "-f", p.Dir).Output()
	assert.Empty(t, strings.TrimSpace(string(out)))
}

// The model plays the same scripts: what the power cut of a whole site leaves is there too, and both sides agree by some points.
func TestScriptsInTheModel(t *testing.T) {
	for _, s := range Scripts {
		p := Default()
		p.Length = 22 * time.Second
		var err error
		p.Script, err = Find(s.Name)
		require.NoError(t, err)
		if _, err := Emulated(p); err != nil {
			assert.ErrorContains(t, err, "not for the emulator")
			continue
		}
		e, err := Emulate(p)
		require.NoError(t, err)
		assert.Empty(t, e.Broken, s.Name)
		assert.Len(t, e.Seconds, 22)
	}
}

// After a power cut of the whole site the fleet serves, from the third second on, most of what cold members can do, on
// several seeds. It once served next to nothing until members were warm: nobody knew what cold ones can do, and what was held
// meanwhile was sent when it was too late.
func TestPowerCut(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		p := Default()
		p.Seed, p.Length = seed, 20*time.Second
		p.Script, _ = Find("power-cut")
		e, err := Emulate(p)
		require.NoError(t, err)
		require.Empty(t, e.Broken)
		t.Logf("%.2f", e.Seconds)
		assert.Greater(t, mean(e.Seconds[10:13]), 0.3, "seed %d", seed)
		assert.Greater(t, mean(e.Seconds[14:18]), 0.6, "seed %d", seed)
	}
}

// accounts are all that were asked for.
func (r *rig) accounts() map[policy.CustomerID]bool {
	list := map[policy.CustomerID]bool{}
	for _, q := range r.requests {
		list[q.Customer] = true
	}
	return list
}

// keepName gives the part of an account's name in messages that follows from the account.
func keepName(c policy.CustomerID) uint64 { return uint64(c) * 0x9e3779b97f4a7c15 >> 48 << 32 }

// A plan or a script that can't be is told by its key.
func TestPlansThatCannotBe(t *testing.T) {
	for key, spoil := range map[string]func(*Plan){"gateways": func(p *Plan) { p.Gateways = 0 }, "members": func(p *Plan) { p.Members = 99999 },
		"load": func(p *Plan) { p.Load = 0 }, "for": func(p *Plan) { p.Length = 0 }, "spread": func(p *Plan) { p.Spread = 9 },
		"script[1]": func(p *Plan) { p.Script = []Trouble{{Kind: Upgrade, Share: 1}, {Kind: "flood", Share: 1}} }} {
		p := Default()
		spoil(&p)
		_, err := Play(context.Background(), p)
		assert.ErrorContains(t, err, key)
		_, err = Emulate(p)
		assert.Error(t, err, key)
	}
	for _, text := range []string{"", "# nothing", "kill:1s", "kill:1s:2s:0", "flood:1s:1s:1", "kill:x:1s:1", "/no/such/file"} {
		_, err := Find(text)
		assert.Error(t, err, text)
	}
	file := filepath.Join(t.TempDir(), "script")
	require.NoError(t, os.WriteFile(file, []byte("# a night\nkill:1s:2s:0.5   loss:1s:1s:1:0.25 # both\nupgrade:3s:0s:1\n"), 0o600))
	list, err := Find(file)
	require.NoError(t, err)
	assert.Equal(t, "kill:1s:2s:0.5 loss:1s:1s:1:0.25 upgrade:3s:0s:1", Words(list))
	again, err := Parse(Words(list))
	require.NoError(t, err)
	assert.Equal(t, list, again)
	assert.Equal(t, 3*time.Second, Over(list))
}

// bare is a rig in which nothing runs.
func bare(t *testing.T) *rig {
	p := Default()
	set, err := Settings(p)
	require.NoError(t, err)
	r := &rig{Plan: p, set: set, requests: map[string]*seen{}, members: map[*poolmember.Member]*referee.Member{}, counts: map[string]map[int]int{},
		troubled: map[int][]span{}, ways: map[int]func(int, int) Way{}, began: time.Now()}
	r.referee = referee.New(set, 1, 0)
	return r
}

// What clients and members saw comes to the referee as what it was: an answer that nobody gave, one that never came though its
// gateway ran, one that a killed gateway took along, a work-order that ran twice, a second copy that is still out.
func TestPlantedFaults(t *testing.T) {
	ask := func(r *rig, id string, class int) {
		r.Asked(load.Asked{ID: id, Door: 1, Class: class, Units: 1, Patience: time.Second})
	}
	for rule, plant := range map[string]func(r *rig){
		referee.NoAnswer: func(r *rig) { ask(r, "a", 0); r.Ended("a", 1, load.GivenUp) },
		referee.Invented: func(r *rig) { ask(r, "a", 0); r.Ended("a", 1, load.Spoilt) },
		referee.UnsafeTwice: func(r *rig) {
			ask(r, "a", 1)
			r.Ran("a")
			r.Ran("a")
		},
		referee.TwoAtOnce: func(r *rig) {
			ask(r, "a", 1)
			r.requests["a"].out = map[int]int{0: 0, 1: 1}
			r.stillTwo(r.requests["a"])
		},
		referee.LateAnswer: func(r *rig) {
			ask(r, "a", 0)
			r.requests["a"].Deadline = r.now() - time.Second
			r.Ended("a", 1, load.Failed)
		},
		"": func(r *rig) { // a gateway that was killed, one that stood still, and what ended before another was
			ask(r, "a", 0)
			over := r.trouble(1)
			r.Ended("a", 1, load.Broken)
			over()
			ask(r, "b", 0)
			r.Ended("b", 1, load.GivenUp)
			ask(r, "c", 1)
			r.Ran("c")
			r.Ended("c", 1, load.Served)
		},
	} {
		r := bare(t)
		plant(r)
		if rule == "" {
			assert.NoError(t, r.referee.Err())
			continue
		}
		require.Len(t, r.referee.Broken, 1, rule)
		assert.Equal(t, rule, r.referee.Broken[0].Rule)
	}
	r := bare(t)
	r.trouble(1)() // it was over long before
	r.troubled[1][0].to = time.Now().Add(-time.Minute)
	ask(r, "a", 0)
	r.Ended("a", 1, load.Broken)
	assert.ErrorContains(t, r.referee.Err(), referee.NoAnswer)
	var _ policy.Settings = r.set
}

// The report holds each run, its faults and what was broken, and nothing that a script could smuggle in.
func TestReport(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report.html")
	script, _ := Parse("kill:1s:1s:0.5")
	e := End{On: "processes", Seed: 3, Share: 0.5, Seconds: []float64{1, 0, 1}, Ends: map[string]int{"refused": 7}, Broken: []string{"rule broken: <b>"}}
	require.NoError(t, WriteReport(path, []Shown{{Name: "<script>", Script: script, Ends: []End{e}, Calm: []End{{On: "processes", Seed: 3, Seconds: []float64{1, 1, 1}}}}}))
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, want := range []string{"106.7,0.0 320.0,120.0 533.3,0.0", "&lt;script&gt;", "rule broken: &lt;b&gt;", "kill:1s:1s:0.5", "50.0"} {
		assert.Contains(t, string(text), want)
	}
	assert.NotContains(t, string(text), "<script>")
}

// Back is when a run is as an undisturbed one is again.
func TestBack(t *testing.T) {
	calm := End{Seconds: []float64{1, 1, 1, 1, 1, 1, 1, 1}}
	e := End{Seconds: []float64{1, 1, 0, 0.2, 0.95, 1, 0.8, 1}}
	assert.Equal(t, 2*time.Second, e.Back(calm, 2*time.Second, 0.1))
	assert.Equal(t, -time.Nanosecond, End{Seconds: []float64{1, 0, 0}}.Back(calm, time.Second, 0.1))
	script, _ := Parse("kill:3s:1s:1")
	assert.Equal(t, 0.2, e.Worst(script))
}

// A search in the model finds what does harm and keeps it small.
func TestSearchFindsHarm(t *testing.T) {
	p := Default()
	p.Gateways, p.Members, p.Length, p.Binary = 3, 6, 10*time.Second, program
	calm := p
	without, err := Emulate(calm)
	require.NoError(t, err)
	script, err := Parse("loss:3s:1s:0.1:0.1 kill:3s:2s:1 drain:4s:1s:0.1")
	require.NoError(t, err)
	f, err := emulated(p, 1, script, without)
	require.NoError(t, err)
	small := smaller(p, f, without)
	assert.Equal(t, "kill:3s:2s:1", Words(small.Script))
	assert.Greater(t, small.Lost, 0.1)
}

// A gateway under load is killed again and again. What its folder holds after each kill is held against what the members were sent,
// account by account: never less left than there is, as the members count it, and never more by what was drawn in the moment that
// buffered writes may lose. The next life recalls it.
func TestUseOutlastsKills(t *testing.T) {
	t.Parallel()
	p := small(t, 9*time.Second, "kill:1500ms:300ms:1 kill:3s:300ms:1 kill:4530ms:300ms:1 kill:6117ms:300ms:1 kill:7640ms:300ms:1")
	p.Gateways, p.Store, p.Dir, p.Heavy = 1, true, t.TempDir(), 0.3
	kills, accounts := 0, 0
	end, err := play(t.Context(), p, func(r *rig, n int) {
		fs, err := store.OpenDir(r.folder(n))
		require.NoError(t, err)
		s, err := store.Open(fs, store.Options{})
		require.NoError(t, err, "kill %d", kills)
		defer s.Close()
		kills++
		r.mu.Lock()
		defer r.mu.Unlock()
		lost := 0.0
		require.NoError(t, s.Each([]byte("a"), func(k, v []byte) bool {
			w := balances.Describe(k, v)
			at := time.UnixMilli(w["at_ms"].(int64)).Sub(r.began) + emulator.Origin
			now := r.now()
			plan := r.set.Plans[binary.BigEndian.Uint64(k[1:])>>24&255]
			kept := min(plan.Burst, w["left"].(float64)+(now-at).Seconds()*plan.Rate)
			for c := range r.accounts() {
				if keepName(c)>>32 == binary.BigEndian.Uint64(k[1:])>>32 {
					left := r.referee.Left(c, now)
					if math.IsNaN(left) { // it was asked for, and nothing has come to a member
						left = plan.Burst
					}
					lost += max(0, kept-left)
					accounts++
					assert.GreaterOrEqual(t, kept, left-float64(8*kills), "at each kill two requests at most were drawn and had not arrived")
				}
			}
			return true
		}))
		rate := 2.5 * p.Load * float64(p.Members) * p.Spec.Capacity() // units a second
		assert.Less(t, lost, rate*(0.15+p.Slack.Seconds()), "kill %d", kills)
	})
	require.NoError(t, err)
	assert.Empty(t, end.Broken)
	assert.Equal(t, 5, kills)
	assert.Greater(t, accounts, 50)
	assert.Contains(t, p.Log(0), "from=store")
}
