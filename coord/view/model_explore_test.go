package view

import (
	"hash/maphash"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

// step returns the state after an action.
func (w *agreementState) step(action agreementAction) *agreementState {
	next := w.clone()
	next.trace = &modelStep{name: action.name, previous: w.trace}
	action.run(next)
	return next
}

// play runs the actions whose names begin with these texts, one each.
func (w *agreementState) play(t testing.TB, names ...string) *agreementState {
	t.Helper()
	for _, name := range names {
		found := false
		for _, action := range w.actions() {
			if strings.HasPrefix(action.name(), name) {
				w = w.step(action)
				found = true
				break
			}
		}
		if !found {
			t.Fatalf("no action %q in state after\n%s", name, w.trace)
		}
	}
	return w
}

var modelHash = maphash.MakeSeed()

// explore visits every state within a depth, breadth first, up to a number of states. It returns the
// first broken state.
func exploreAgreement(start *agreementState, depth, limit int) (broken *agreementState, problem string, states, reached int) {
	seen := map[uint64]struct{}{start.key(): {}}
	level := []*agreementState{start}
	for reached = 0; reached < depth && len(level) > 0; reached++ {
		var next []*agreementState
		for _, w := range level {
			for _, action := range w.actions() {
				after := w.step(action)
				if problem := after.check(); problem != "" {
					return after, problem, len(seen), reached + 1
				}
				key := after.key()
				if _, known := seen[key]; known {
					continue
				}
				seen[key] = struct{}{}
				next = append(next, after)
			}
			if len(seen) > limit {
				return nil, "", len(seen), reached
			}
		}
		level = next
	}
	return nil, "", len(seen), reached
}

// walk takes random steps from a state, many times.
func walkAgreement(start *agreementState, seed uint64, walks, length int) (broken *agreementState, problem string) {
	random := rand.New(rand.NewPCG(seed, 5))
	for i := 0; i < walks; i++ {
		w := start
		for j := 0; j < length; j++ {
			actions := w.actions()
			if len(actions) == 0 {
				break
			}
			w = w.step(actions[random.IntN(len(actions))])
			if problem := w.check(); problem != "" {
				return w, problem
			}
		}
	}
	return nil, ""
}

// modelEffort multiplies the bounds; MODEL=N in the environment sets it.
func modelEffort() int {
	if effort, err := strconv.Atoi(os.Getenv("MODEL")); err == nil && effort > 0 {
		return effort
	}
	return 1
}

type agreementScenario struct {
	name   string
	config agreementConfig
	steps  []string
	depth  int
}

func agreementScenarios() []agreementScenario {
	committed := []string{"a#genesis orders", "a#genesis forwards", "deliver b#genesis", "b#genesis forwards",
		"deliver c#genesis", "c#genesis commits"}
	return []agreementScenario{
		{
			name:   "two proposers and a restart",
			config: agreementConfig{maxRound: 2, maxEpoch: 2, restarts: 1, starts: 2, proposers: "ac", agreementOnly: true},
			depth:  15,
		},
		{
			name:   "a wiped machine and two proposers",
			config: agreementConfig{maxRound: 2, maxEpoch: 2, wipes: 1, starts: 2, proposers: "ac", agreementOnly: true},
			depth:  15,
		},
		{
			name:   "orders while a view changes",
			config: agreementConfig{maxRound: 1, maxEpoch: 2, commands: 1, starts: 1, shortChain: true, proposers: "ac"},
			depth:  14,
		},
		{
			name:   "a head that hands over with orders on their way",
			config: agreementConfig{maxRound: 1, maxEpoch: 3, commands: 3, starts: 2, shortChain: true, disliked: "a"},
			steps:  append(committed[:6:6], "a#genesis orders", "a#genesis forwards", "a#genesis proposes"),
			depth:  11,
		},
		{
			name:   "a view after a committed order, with a wiped machine",
			config: agreementConfig{maxRound: 1, maxEpoch: 2, commands: 1, wipes: 1, starts: 1},
			steps:  committed,
			depth:  13,
		},
		{
			name:   "a source that goes before its prefix is copied",
			config: agreementConfig{maxRound: 1, maxEpoch: 3, commands: 2, wipes: 1, starts: 2, shortChain: true},
			steps: append(committed[:6:6], "a#genesis orders", "a#genesis proposes", "deliver b#genesis prepare",
				"deliver a#genesis response to prepare b", "a#genesis chooses a short chain", "deliver b#genesis accept",
				"deliver a#genesis response to accept"),
			depth: 12,
		},
		{
			name:   "an older log that is longer",
			config: agreementConfig{maxRound: 1, maxEpoch: 3, commands: 4, starts: 2, shortChain: true},
			steps: append(committed[:6:6], "a#genesis orders", "a#genesis orders", "b#genesis proposes",
				"deliver c#genesis prepare", "deliver b#genesis response to prepare c", "b#genesis chooses a short chain",
				"deliver c#genesis accept", "deliver b#genesis response to accept", "deliver c#genesis decided",
				"b#genesis copies to c", "deliver c#genesis copy", "b#genesis orders",
				"b#genesis forwards", "deliver c#genesis append", "c#genesis commits"),
			depth: 11,
		},
	}
}

func (s agreementScenario) start(t testing.TB, plant func(*agreementConfig)) *agreementState {
	rules := s.config
	plant(&rules)
	return newAgreementState(&rules).play(t, s.steps...)
}

// TestModel checks the change of views in every order of messages, restarts and wiped disks, up to
// bounds; MODEL=N explores N times as many states.
func TestAgreementModel(t *testing.T) {
	for _, scenario := range agreementScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			start := scenario.start(t, func(*agreementConfig) {})
			depth, limit := scenario.depth, 25_000*modelEffort()
			if modelEffort() > 1 {
				depth *= 3
			}
			broken, problem, states, reached := exploreAgreement(start, depth, limit)
			if problem != "" {
				t.Fatalf("%s after\n%s", problem, broken.trace)
			}
			t.Logf("%d states, all to depth %d", states, reached)
			wide := *start.config
			wide.maxEpoch, wide.maxRound, wide.starts, wide.commands, wide.restarts = 4, 3, 6, 4, 3
			wide.shortChain, wide.agreementOnly, wide.proposers = true, false, ""
			wide.wipes = min(1, wide.wipes)
			start.config = &wide
			if broken, problem := walkAgreement(start, 1, 300*modelEffort(), 80); problem != "" {
				t.Fatalf("%s after\n%s", problem, broken.trace)
			}
		})
	}
}

// TestModelFindsPlantedBugs checks that the exploration finds what it is for.
func TestAgreementModelFindsInjectedBugs(t *testing.T) {
	plants := []struct {
		name     string
		scenario string
		plant    func(*agreementConfig)
	}{
		{"votes are forgotten at a restart", "two proposers and a restart", func(r *agreementConfig) { r.forgetVotes = true }},
		{"a proposer doesn't repair", "two proposers and a restart", func(r *agreementConfig) { r.ignoreAccepted = true }},
		{"a view serves before the prefix is copied", "a view after a committed order, with a wiped machine",
			func(r *agreementConfig) { r.serveEarly = true }},
		{"a wiped machine votes", "a wiped machine and two proposers", func(r *agreementConfig) { r.wipedVotes = true }},
		{"the source is whoever has the longest log", "an older log that is longer",
			func(r *agreementConfig) { r.longestLog = true }},
	}
	for _, planted := range plants {
		t.Run(planted.name, func(t *testing.T) {
			for _, scenario := range agreementScenarios() {
				if scenario.name != planted.scenario {
					continue
				}
				start := scenario.start(t, planted.plant)
				broken, problem, states, _ := exploreAgreement(start, scenario.depth, 100_000)
				if problem == "" {
					t.Fatalf("not found in %d states", states)
				}
				t.Logf("found after %d states: %s\n%s", states, problem, broken.trace)
			}
		})
	}
}
