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

// Two models check the package, with its real Acceptor, Proposal, ChooseSource and, in the second, Planner.
// Each explores all states that are reached from some start, breadth first and up to a bound, and checks
// every one of them; a table of injected bugs shows that it finds what it is for.
//
//   - The model of the agreement (agreement_*_test.go) delivers each message by itself, so that proposers,
//     restarts and lost disks meet in every order.
//   - The model of the membership (membership_*_test.go) is coarser. An attempt on a view is one step, with
//     any majority of responders and any voters that accept. So it reaches several changes of the membership,
//     with the loss of a disk at every step. What a step may assume of the machines besides their disks (who
//     is alive, links, restarts) isn't kept in the state: a machine that takes no part is unreachable.
//
// Comments that name coord/replica mark the rules of its core that the models repeat.

// modelSeeds are the addresses of the founders in both models.
var modelSeeds = []string{"a", "b", "c"}

// modelCommand is a command in the log of a model: the epoch of its head, and a name.
type modelCommand struct {
	epoch uint64
	name  byte
}

// modelAction is one thing that may happen next in a state of a model. It changes the state that it is given.
type modelAction[S any] struct {
	name func() string
	run  func(S)
}

// modelState is what the states of both models have in common.
type modelState[S any] interface {
	actions() []modelAction[S]    // all that may happen next
	step(action modelAction[S]) S // the state after an action
	history() *modelStep          // the last step of the trace
}

// modelStep is the last step of a trace. Names are only made when a trace is printed.
type modelStep struct {
	name     func() string
	previous *modelStep
}

// String returns the names of all steps of the trace, the first first, one a line.
func (s *modelStep) String() string {
	var names []string
	for ; s != nil; s = s.previous {
		names = append(names, s.name())
	}
	slices.Reverse(names)
	return strings.Join(names, "\n")
}

// play runs the first actions whose names begin with some texts, one for each text.
func play[S modelState[S]](t testing.TB, state S, names ...string) S {
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
			t.Fatalf("no action %q in the state after\n%s", name, state.history())
		}
	}
	return state
}

// modelEffort multiplies the bounds; MODEL=N in the environment sets it.
func modelEffort() int {
	if effort, err := strconv.Atoi(os.Getenv("MODEL")); err == nil && effort > 0 {
		return effort
	}
	return 1
}

// modelHash is the hash of the keys of visited states.
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

// viewText describes a view in traces.
func viewText(v *View) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%d %v %v %s %d", v.Epoch, v.Voters, v.Chain, v.Source.ID(), v.SourceEpoch)
}
