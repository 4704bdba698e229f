package view

import (
	"hash/maphash"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
)

// membershipSearch explores states and keeps the results of the exploration.
type membershipSearch struct {
	states        map[uint64]struct{}
	lossesChecked map[uint64]struct{} // hashes of the durable states whose next losses were checked
	depth         int                 // depth to which all states were visited
	exhausted     bool                // all reachable states were visited
	last          *membershipState    // last state of a walk
}

// problem returns a violation in a state, or a permitted loss after which the state can't recover, or an empty
// string.
func (s *membershipSearch) problem(state *membershipState) string {
	if problem := state.check(); problem != "" {
		return problem
	}
	key := maphash.Bytes(modelHash, append(state.appendDurable(make([]byte, 0, 512)), byte(state.lossesPermitted)))
	if _, known := s.lossesChecked[key]; known {
		return ""
	}
	s.lossesChecked[key] = struct{}{}
	return state.unrecoverableLoss()
}

// run visits the states that are reachable from start, breadth first, until it has visited more than limit. It
// returns the first state with a problem.
func (s *membershipSearch) run(start *membershipState, limit int) (broken *membershipState, problem string) {
	s.states = map[uint64]struct{}{start.key(): {}}
	s.lossesChecked = map[uint64]struct{}{}
	level := []*membershipState{start}
	for ; len(level) > 0; s.depth++ {
		var next []*membershipState
		for _, state := range level {
			for _, action := range state.actions() {
				after := state.step(action)
				key := after.key()
				if _, known := s.states[key]; known {
					continue
				}
				s.states[key] = struct{}{}
				if problem := s.problem(after); problem != "" {
					return after, problem
				}
				next = append(next, after)
			}
			if len(s.states) > limit {
				return nil, ""
			}
		}
		level = next
	}
	s.exhausted = true
	return nil, ""
}

// attemptEvery is the mean number of steps of a walk per attempt on a view.
const attemptEvery = 20

// walk takes up to the given number of random steps from start and returns the first state with a problem.
func (s *membershipSearch) walk(
	start *membershipState, seed uint64, steps int,
) (broken *membershipState, problem string) {
	random := rand.New(rand.NewPCG(seed, 11))
	s.lossesChecked = map[uint64]struct{}{}
	state := start
	for range steps {
		actions := state.steps()
		if len(actions) == 0 || random.IntN(attemptEvery) == 0 {
			actions = state.addAttempts(nil, random)
		}
		if len(actions) == 0 {
			break
		}
		state = state.step(oneOrAll(actions, random)[0])
		s.last = state
		if problem := s.problem(state); problem != "" {
			return state, problem
		}
	}
	return nil, ""
}

// membershipScenario describes a state from which the model is explored: the state that steps lead to.
type membershipScenario struct {
	name   string
	config membershipConfig
	steps  []string
	limit  int // number of states after which the exploration stops; if it isn't reached, all are visited
}

// committedInGenesis are steps by which the founders acknowledge a command in the genesis view.
var committedInGenesis = []string{"a#genesis appends", "a#genesis forwards", "b#genesis forwards", "c#genesis commits"}

func membershipScenarios() []membershipScenario {
	return []membershipScenario{
		{
			name:   "two changes and a loss",
			config: membershipConfig{tolerance: 1, machines: 3, maxEpoch: 3, commands: 1, losses: 1},
			limit:  100_000,
		},
		{
			name: "attempts that aren't decided, a loss and a loss of power",
			config: membershipConfig{
				tolerance: 1, machines: 3, maxEpoch: 2, commands: 1, losses: 1, undecided: 1, powerCuts: 1,
			},
			limit: 40_000,
		},
		{
			name:   "a spare and two losses",
			config: membershipConfig{tolerance: 1, machines: 4, maxEpoch: 2, commands: 1, losses: 2},
			limit:  80_000,
		},
		{
			name: "copies in pieces, messages lost, late and twice",
			config: membershipConfig{
				tolerance: 1, machines: 3, maxEpoch: 2, commands: 1, losses: 1, restarts: 1, inFlight: 2,
				copiesInPieces: true,
			},
			limit: 50_000,
		},
		{
			name: "losses one after the other",
			config: membershipConfig{
				tolerance: 1, machines: 3, maxEpoch: 4, commands: 1, losses: 2, newAddresses: true,
				copiesInPieces: true,
			},
			steps: append(committedInGenesis[:4:4], "c#genesis loses its disk", "c#2 learns of epoch 1"),
			limit: 15_000,
		},
		{
			name:   "an older log that is longer",
			config: membershipConfig{tolerance: 1, machines: 3, maxEpoch: 4, commands: 4, losses: 1},
			steps: []string{"a#genesis appends", "a#genesis appends",
				"b#genesis c#genesis decide 2 [{ a genesis} { b genesis} { c genesis}] [{ b genesis} { c genesis}]",
				"b#genesis learns", "c#genesis learns", "b#genesis copies to c", "b#genesis appends",
				"b#genesis forwards"},
			limit: 10_000,
		},
		{
			name: "a planned leave",
			config: membershipConfig{
				tolerance: 1, machines: 3, maxEpoch: 3, commands: 2, losses: 2, leaves: 1, undecided: 1,
			},
			steps: append(committedInGenesis[:4:4], "b#genesis is leaving"),
			limit: 15_000,
		},
		{
			name:   "a spare and three changes",
			config: membershipConfig{tolerance: 1, machines: 4, maxEpoch: 4, commands: 1, losses: 2},
			steps:  append(committedInGenesis[:4:4], "d#1 learns of epoch 1"),
			limit:  10_000,
		},
		{
			name:   "two spares",
			config: membershipConfig{tolerance: 1, machines: 5, maxEpoch: 3, commands: 1, losses: 1},
			steps:  append(committedInGenesis[:4:4], "d#1 learns of epoch 1", "e#1 learns of epoch 1"),
			limit:  5_000,
		},
		{
			name:   "founders that tolerate two losses",
			config: membershipConfig{tolerance: 2, machines: 5, maxEpoch: 4, commands: 1},
			steps: []string{
				"a#genesis b#genesis decide 2 [{ a genesis} { b genesis} { c genesis}] [{ a genesis} { b genesis}]",
				"a#genesis learns", "b#genesis learns", "a#genesis copies to b"},
			limit: 5_000,
		},
		{
			name:   "five machines that tolerate two losses",
			config: membershipConfig{tolerance: 2, machines: 5, maxEpoch: 4, commands: 1, losses: 2},
			steps: []string{"d#1 learns of epoch 1", "e#1 learns of epoch 1",
				"a#genesis b#genesis c#genesis decide 2 [{ a genesis} { b genesis} { c genesis} {d d 1} {e e 1}] " +
					"[{ a genesis} { b genesis} { c genesis} {d d 1} {e e 1}]",
				"a#genesis learns", "b#genesis learns", "c#genesis learns", "a#genesis copies to b",
				"a#genesis copies to c"},
			limit: 5_000,
		},
	}
}

// start returns the state after the steps of the scenario, with injected bugs.
func (s membershipScenario) start(t testing.TB, bugs membershipBugs) *membershipState {
	config := s.config
	config.membershipBugs = bugs
	return runNamedActions(t, newMembershipState(&config), s.steps...)
}

// TestMembershipModel checks membership changes with the loss of a disk at every step, in every order, up to
// bounds. MODEL=N in the environment explores N times as many states.
func TestMembershipModel(t *testing.T) {
	for _, scenario := range membershipScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			search := &membershipSearch{}
			broken, problem := search.run(scenario.start(t, membershipBugs{}), scenario.limit*modelEffort())
			if problem != "" {
				t.Fatalf("%s after\n%s", problem, broken.trace)
			}
			t.Logf("%d states, all to depth %d (no more: %v), losses checked in %d", len(search.states), search.depth,
				search.exhausted, len(search.lossesChecked))
		})
	}
}

// walkConfig returns a configuration whose bounds allow several losses and repairs.
func walkConfig(tolerance, machines int) *membershipConfig {
	return &membershipConfig{
		tolerance: tolerance, machines: machines, maxEpoch: 20, commands: 12, losses: 8, undecided: 4, restarts: 4,
		powerCuts: 2, leaves: 3, inFlight: 3, copiesInPieces: true, newAddresses: true,
	}
}

// TestMembershipModelWalks takes random walks with three to eight machines. SEEDS=N in the environment takes N
// walks with each number of machines, and FIRST=S starts at seed S.
func TestMembershipModelWalks(t *testing.T) {
	seeds, first := 200, uint64(0)
	if number, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = number
	}
	if number, err := strconv.ParseUint(os.Getenv("FIRST"), 10, 64); err == nil {
		first = number
	}
	for _, sizes := range [][2]int{{1, 3}, {1, 4}, {1, 5}, {2, 5}, {2, 6}, {2, 8}} {
		changes, losses := 0, 0
		for seed := first; seed < first+uint64(seeds); seed++ {
			search := &membershipSearch{}
			start := newMembershipState(walkConfig(sizes[0], sizes[1]))
			broken, problem := search.walk(start, seed, 400)
			if problem != "" {
				t.Errorf("tolerance %d, %d machines, FIRST=%d SEEDS=1: %s after\n%s", sizes[0], sizes[1], seed, problem,
					broken.trace)
				continue
			}
			changes += search.last.changes()
			losses += search.last.losses
		}
		t.Logf("tolerance %d, %d machines: %d views, %d losses", sizes[0], sizes[1], changes, losses)
	}
}

// changes returns the number of views after the genesis view.
func (s *membershipState) changes() int { return len(s.decided) - 1 }

// TestMembershipModelFindsInjectedBugs checks that the exploration detects each injected bug.
func TestMembershipModelFindsInjectedBugs(t *testing.T) {
	bugs := []struct {
		name     string
		scenario string
		bugs     membershipBugs
	}{
		{
			"a lost disk keeps its vote",
			"attempts that aren't decided, a loss and a loss of power",
			membershipBugs{wipedVotes: true},
		},
		{
			"a leaving member's disk goes before the view is decided",
			"a planned leave",
			membershipBugs{removesDiskEarly: true},
		},
		{"a leaving member loses its vote", "a planned leave", membershipBugs{leaverNoVote: true}},
		{
			"a chain of as many as may be lost acknowledges",
			"founders that tolerate two losses",
			membershipBugs{shortAcks: true},
		},
		{"a chain of as many as may be lost is made", "two changes and a loss", membershipBugs{shortChains: true}},
		{
			"the source is the member with the longest log",
			"an older log that is longer",
			membershipBugs{longestLog: true},
		},
		{"one epoch in doubt is remembered", "two changes and a loss", membershipBugs{oneTerm: true}},
		{"a new member is synced before the copy", "losses one after the other", membershipBugs{syncedEarly: true}},
		{
			"an unreachable voter is replaced that is needed",
			"a spare and three changes",
			membershipBugs{replacesNeeded: true},
		},
		{"two voters are replaced at once", "two spares", membershipBugs{replacesSeveral: true}},
	}
	for _, injected := range bugs {
		t.Run(injected.name, func(t *testing.T) {
			for _, scenario := range membershipScenarios() {
				if scenario.name != injected.scenario {
					continue
				}
				search := &membershipSearch{}
				broken, problem := search.run(scenario.start(t, injected.bugs), scenario.limit)
				if problem == "" {
					t.Fatalf("injected bug not found in %d states", len(search.states))
				}
				t.Logf("found after %d states: %s\n%s", len(search.states), problem, broken.trace)
			}
		})
	}
}
