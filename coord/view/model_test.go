package view

import (
	"fmt"
	"hash/maphash"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// Two models check the package. Both run the real Acceptor, Proposal and ChooseSource; the second also runs the
// real Planner. Each model explores the states that are reachable from a start state, breadth first and up to a
// bound, and checks every state; a table of injected bugs shows that the checks find the faults that they are
// meant to find.
//
//   - The agreement model (agreement_*_test.go) delivers each message as a separate step, so that proposers,
//     restarts and lost disks interleave in every order.
//   - The membership model (membership_*_test.go) is coarser. An attempt on a view is one step, with any
//     majority of responders and any voters that accept. So it reaches several membership changes, with the
//     loss of a disk at every step. What a step assumes of the machines besides their disks (which machines are
//     alive, links, restarts) isn't kept in the state: a machine that doesn't take part in a step is
//     unreachable.
//
// Comments that name coord/replica mark rules of coord/replica's core that the models repeat.

// modelSeeds are the addresses of the founders in both models.
var modelSeeds = []string{"a", "b", "c"}

// modelCommand is a command in the log of a model, with the epoch in which the head appended it.
type modelCommand struct {
	epoch uint64
	name  byte
}

// modelAction is one possible transition from a state of a model. run changes the state that is passed to it.
type modelAction[S any] struct {
	name func() string
	run  func(S)
}

// modelState is the common interface of the states of both models.
type modelState[S any] interface {
	actions() []modelAction[S]    // all possible transitions
	step(action modelAction[S]) S // the state after an action
	lastStep() *modelStep         // the last step of the trace
}

// modelStep is a step of a trace, linked to the step before it. Names are formatted only when a trace is
// printed.
type modelStep struct {
	name     func() string
	previous *modelStep
}

// String returns the names of all steps of the trace in order, one per line.
func (s *modelStep) String() string {
	var names []string
	for ; s != nil; s = s.previous {
		names = append(names, s.name())
	}
	slices.Reverse(names)
	return strings.Join(names, "\n")
}

// runNamedActions runs, for each of names in turn, the first possible action whose name begins with it, and
// returns the resulting state.
func runNamedActions[S modelState[S]](t testing.TB, state S, names ...string) S {
	t.Helper()
	for _, name := range names {
		found := false
		for _, action := range state.actions() {
			if found = strings.HasPrefix(action.name(), name); found {
				state = state.step(action)
				break
			}
		}
		if !found {
			t.Fatalf("no action with the prefix %q in the state after\n%s", name, state.lastStep())
		}
	}
	return state
}

// modelEffort returns the factor by which the bounds of the explorations are multiplied: N if MODEL=N is set in
// the environment, 1 by default.
func modelEffort() int {
	if effort, err := strconv.Atoi(os.Getenv("MODEL")); err == nil && effort > 0 {
		return effort
	}
	return 1
}

// modelHash is the seed of the hash by which visited states are recognised.
var modelHash = maphash.MakeSeed()

func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

func appendMember(text []byte, m Member) []byte {
	if m.IsZero() {
		return append(text, 0)
	}
	return append(text, m.Address[0], m.Incarnation[0], m.Incarnation[len(m.Incarnation)-1])
}

func appendNumber(text []byte, b ProposalNumber) []byte {
	text = append(text, byte(b.Round))
	if b.Member != "" {
		text = append(text, b.Member[0], b.Member[len(b.Member)-1])
	}
	return text
}

func appendView(text []byte, v *View) []byte {
	if v == nil {
		return append(text, 0)
	}
	text = append(text, byte(v.Epoch), byte(v.SourceEpoch), byte(len(v.Voters)), byte(len(v.Chain)))
	text = appendMember(text, v.Source)
	for _, m := range v.Voters {
		text = appendMember(text, m)
	}
	for _, m := range v.Chain {
		text = appendMember(text, m)
	}
	for _, term := range v.Terms {
		text = append(text, byte(term.Epoch), byte(len(term.Chain)))
	}
	return text
}

func appendCommands(text []byte, commands []modelCommand) []byte {
	text = append(text, byte(len(commands)))
	for _, command := range commands {
		text = append(text, byte(command.epoch), command.name)
	}
	return text
}

// viewText returns the text that describes a view in traces.
func viewText(v *View) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%d %v %v %s %d", v.Epoch, v.Voters, v.Chain, v.Source.ID(), v.SourceEpoch)
}
