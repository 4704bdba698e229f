package view

import (
	"math/rand/v2"
	"testing"
)

// agreementSearch is the result of an exploration.
type agreementSearch struct {
	broken  *agreementState // first state that violates a property, nil if none was found
	problem string          // the violation in broken
	states  int             // number of states visited
	depth   int             // depth to which all states were visited, or depth of broken
}

// exploreAgreement visits the states within a depth of start, breadth first. It stops once it has visited more
// than limit states, or at the first state that violates a property.
func exploreAgreement(start *agreementState, depth, limit int) agreementSearch {
	visited := map[uint64]struct{}{start.key(): {}}
	level := []*agreementState{start}
	reached := 0
	for ; reached < depth && len(level) > 0; reached++ {
		var next []*agreementState
		for _, s := range level {
			for _, action := range s.actions() {
				after := s.step(action)
				if problem := after.check(); problem != "" {
					return agreementSearch{broken: after, problem: problem, states: len(visited), depth: reached + 1}
				}
				key := after.key()
				if _, known := visited[key]; known {
					continue
				}
				visited[key] = struct{}{}
				next = append(next, after)
			}
			if len(visited) > limit {
				return agreementSearch{states: len(visited), depth: reached}
			}
		}
		level = next
	}
	return agreementSearch{states: len(visited), depth: reached}
}

// walkAgreement takes a number of random walks of up to length steps from start. It returns the first state that
// violates a property, and the violation.
func walkAgreement(start *agreementState, seed uint64, walks, length int) (broken *agreementState, problem string) {
	random := rand.New(rand.NewPCG(seed, 5))
	for i := 0; i < walks; i++ {
		s := start
		for j := 0; j < length; j++ {
			actions := s.actions()
			if len(actions) == 0 {
				break
			}
			s = s.step(actions[random.IntN(len(actions))])
			if problem := s.check(); problem != "" {
				return s, problem
			}
		}
	}
	return nil, ""
}

// agreementScenario describes a state from which the model is explored: the state that steps lead to.
type agreementScenario struct {
	name   string
	config agreementConfig
	steps  []string
	depth  int
}

func agreementScenarios() []agreementScenario {
	committed := []string{"a#genesis appends", "a#genesis forwards", "deliver b#genesis", "b#genesis forwards",
		"deliver c#genesis", "c#genesis commits"}
	return []agreementScenario{
		{
			name: "two proposers and a restart",
			config: agreementConfig{
				maxRound: 2, maxEpoch: 2, restarts: 1, starts: 2, proposers: "ac", agreementOnly: true,
			},
			depth: 15,
		},
		{
			name: "a lost disk and two proposers",
			config: agreementConfig{
				maxRound: 2, maxEpoch: 2, wipes: 1, starts: 2, proposers: "ac", agreementOnly: true,
			},
			depth: 15,
		},
		{
			name: "commands while a view changes",
			config: agreementConfig{
				maxRound: 1, maxEpoch: 2, commands: 1, starts: 1, shortChain: true, proposers: "ac",
			},
			depth: 14,
		},
		{
			name: "a head that hands over with commands in flight",
			config: agreementConfig{
				maxRound: 1, maxEpoch: 3, commands: 3, starts: 2, shortChain: true, avoidedSource: "a",
			},
			steps: append(committed[:6:6], "a#genesis appends", "a#genesis forwards", "a#genesis proposes"),
			depth: 11,
		},
		{
			name:   "a view after a committed command, with a lost disk",
			config: agreementConfig{maxRound: 1, maxEpoch: 2, commands: 1, wipes: 1, starts: 1},
			steps:  committed,
			depth:  13,
		},
		{
			name:   "a source that is lost before its prefix is copied",
			config: agreementConfig{maxRound: 1, maxEpoch: 3, commands: 2, wipes: 1, starts: 2, shortChain: true},
			steps: append(committed[:6:6], "a#genesis appends", "a#genesis proposes", "deliver b#genesis prepare",
				"deliver a#genesis response to prepare b", "a#genesis chooses a short chain",
				"deliver b#genesis accept",
				"deliver a#genesis response to accept"),
			depth: 12,
		},
		{
			name:   "an older log that is longer",
			config: agreementConfig{maxRound: 1, maxEpoch: 3, commands: 4, starts: 2, shortChain: true},
			steps: append(committed[:6:6], "a#genesis appends", "a#genesis appends", "b#genesis proposes",
				"deliver c#genesis prepare", "deliver b#genesis response to prepare c",
				"b#genesis chooses a short chain",
				"deliver c#genesis accept", "deliver b#genesis response to accept", "deliver c#genesis decided",
				"b#genesis copies to c", "deliver c#genesis copy", "b#genesis appends",
				"b#genesis forwards", "deliver c#genesis append", "c#genesis commits"),
			depth: 11,
		},
	}
}

// start returns the state after the steps of the scenario, with an injected bug.
func (s agreementScenario) start(t testing.TB, inject func(*agreementConfig)) *agreementState {
	config := s.config
	inject(&config)
	return runNamedActions(t, newAgreementState(&config), s.steps...)
}

// TestAgreementModel checks view changes under every order of messages, restarts and lost disks, up to bounds,
// and then takes random walks with wider bounds. MODEL=N in the environment explores N times as many states.
func TestAgreementModel(t *testing.T) {
	for _, scenario := range agreementScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			start := scenario.start(t, func(*agreementConfig) {})
			depth, limit := scenario.depth, 25_000*modelEffort()
			if modelEffort() > 1 {
				depth *= 3
			}
			search := exploreAgreement(start, depth, limit)
			if search.problem != "" {
				t.Fatalf("%s after\n%s", search.problem, search.broken.trace)
			}
			t.Logf("%d states, all to depth %d", search.states, search.depth)
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

// TestAgreementModelFindsInjectedBugs checks that the exploration detects each injected bug.
func TestAgreementModelFindsInjectedBugs(t *testing.T) {
	bugs := []struct {
		name     string
		scenario string
		inject   func(*agreementConfig)
	}{
		{
			"votes are forgotten at a restart",
			"two proposers and a restart",
			func(r *agreementConfig) { r.forgetVotes = true },
		},
		{
			"a proposer ignores accepted values",
			"two proposers and a restart",
			func(r *agreementConfig) { r.ignoreAccepted = true },
		},
		{"a view serves before the prefix is copied", "a view after a committed command, with a lost disk",
			func(r *agreementConfig) { r.serveEarly = true }},
		{
			"a lost disk keeps its vote",
			"a lost disk and two proposers",
			func(r *agreementConfig) { r.wipedVotes = true },
		},
		{"the source is the member with the longest log", "an older log that is longer",
			func(r *agreementConfig) { r.longestLog = true }},
	}
	for _, injected := range bugs {
		t.Run(injected.name, func(t *testing.T) {
			for _, scenario := range agreementScenarios() {
				if scenario.name != injected.scenario {
					continue
				}
				start := scenario.start(t, injected.inject)
				search := exploreAgreement(start, scenario.depth, 100_000)
				if search.problem == "" {
					t.Fatalf("injected bug not found in %d states", search.states)
				}
				t.Logf("found after %d states: %s\n%s", search.states, search.problem, search.broken.trace)
			}
		})
	}
}
