package statemachine

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

func process(node, incarnation int) protocol.Process {
	return protocol.Process{
		Node:        fmt.Sprint("s", node),
		Role:        protocol.RoleBatch,
		IP:          fmt.Sprint("10.0.0.", node),
		Incarnation: fmt.Sprint(incarnation),
	}
}

// drawCommand draws a random command. Some of the commands no longer fit the state.
func drawCommand(t *rapid.T, m *StateMachine) Command {
	candidate := process(rapid.IntRange(0, 3).Draw(t, "node"), rapid.IntRange(0, 2).Draw(t, "incarnation"))
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 8:
		return Command{Settle: &Settle{Epoch: m.Stores().Epoch - rapid.Uint64Range(0, 1).Draw(t, "before")}}
	case 6:
		return Command{
			Suspect: &Suspect{Node: candidate.Node, Incarnation: candidate.Incarnation, Over: rapid.Bool().Draw(t, "over")},
		}
	case 7:
		number := m.Suspicion(candidate.Node, candidate.Incarnation)
		return Command{
			Evict: &Evict{
				Node:        candidate.Node,
				Incarnation: candidate.Incarnation,
				Suspicion:   number + rapid.Uint64Range(0, 1).Draw(t, "stale"),
			},
		}
	case 0, 1:
		return Command{
			Join: &Join{Processes: []protocol.Process{candidate, process(rapid.IntRange(0, 3).Draw(t, "other"), 0)}},
		}
	case 2:
		return Command{Evict: &Evict{Node: candidate.Node, Incarnation: candidate.Incarnation}}
	case 3:
		return Command{Retire: &Retire{Node: candidate.Node, Remain: 2}}
	case 4:
		return Command{
			Retired: &Retired{
				Node:        candidate.Node,
				Incarnation: candidate.Incarnation,
				Epoch:       m.Stores().Epoch - rapid.Uint64Range(0, 1).Draw(t, "behind"),
			},
		}
	}
	generation := m.Configuration().Generation
	body := fmt.Sprintf(
		`{"generation":%d,"routes":[],"backends":[]}`,
		generation+rapid.Uint64Range(0, 2).Draw(t, "rise"),
	)
	return Command{Configuration: &configuration.ChangeRequest{IfMatch: generation, Body: []byte(body)}}
}

// checkInvariants checks the invariants that hold between the views before and after any command.
func checkInvariants(t *rapid.T, before, after protocol.StoreView, outcome Outcome) {
	nodes, addresses := map[string]bool{}, map[string]bool{}
	for _, member := range after.Members {
		if nodes[member.Node] || addresses[member.IP] {
			t.Fatalf("%s occurs twice among the members", member.Node)
		}
		nodes[member.Node], addresses[member.IP] = true, true
	}
	changed := !reflect.DeepEqual(before.Members, after.Members)
	if changed != (after.Epoch == before.Epoch+1) || !changed && after.Epoch != before.Epoch {
		t.Fatalf("epoch %d to %d, members changed: %t", before.Epoch, after.Epoch, changed)
	}
	settles := after.Settled && !before.Settled
	if (changed || settles) != (outcome.Store == StoreChanged) {
		t.Fatalf("outcome %d, members changed: %t, settles: %t", outcome.Store, changed, settles)
	}
	if changed && after.Settled || !changed && before.Settled && !after.Settled {
		t.Fatalf("settled %t to %t, members changed: %t", before.Settled, after.Settled, changed)
	}
	if outcome.Store == StoreChanged && !after.Newer(before) {
		t.Fatal("the view after a change is not newer than the view before it")
	}
	checkDeparted(t, before, after)
}

// checkDeparted checks that the departed processes are exactly those that left the membership without having been
// drained. After a Settle the list may be empty.
func checkDeparted(t *rapid.T, before, after protocol.StoreView) {
	want := map[protocol.Process]bool{}
	for _, process := range before.Departed {
		want[process] = true
	}
	for _, member := range before.Members {
		want[member.Process] = member.State != protocol.StoreRetired
	}
	for _, member := range after.Members {
		delete(want, member.Process)
	}
	got := map[protocol.Process]bool{}
	for _, process := range after.Departed {
		if got[process] || !want[process] {
			t.Fatalf("%v is listed as departed and should not be: %v after %v", process, after, before)
		}
		got[process] = true
	}
	for process, left := range want {
		if left && !got[process] && !after.Settled {
			t.Fatalf("%v departed and is not listed: %v after %v", process, after, before)
		}
	}
}

// TestReplicas applies the same random commands to two replicas, one of which is occasionally restored from a
// snapshot of the other. It checks the invariants after each command, and that the replicas have equal outcomes,
// epochs, numbers of members and suspicions.
func TestReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := New(), New()
		completed := map[string]bool{}
		for index := uint64(1); index < 20; index++ {
			before := first.Stores()
			command := drawCommand(t, first)
			raw, err := command.Encode()
			if err != nil {
				t.Fatal(err)
			}
			result := first.Apply(index, raw)
			if !bytes.Equal(result, second.Apply(index, raw)) {
				t.Fatal("the replicas return different outcomes")
			}
			outcome, err := DecodeOutcome(result)
			if err != nil {
				t.Fatal(err)
			}
			checkInvariants(t, before, first.Stores(), outcome)
			if command.Retire != nil && outcome.Store == StoreChanged {
				if first.Retirement(command.Retire.Node) != RetirementActive {
					t.Fatalf(
						"%s was told to retire, but its retirement is in state %d",
						command.Retire.Node,
						first.Retirement(command.Retire.Node),
					)
				}
				// If a machine of that name was drained before, this is another one that joined after it.
				delete(completed, command.Retire.Node)
			}
			for node := range completed {
				if first.Retirement(node) != RetirementCompleted {
					t.Fatalf("the retirement of %s was completed and is no longer recorded as completed", node)
				}
			}
			for i := range 4 {
				if name := fmt.Sprint("s", i); first.Retirement(name) == RetirementCompleted {
					completed[name] = true
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				second = New()
				if err := second.Restore(first.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			if !reflect.DeepEqual(first.Stores().Epoch, second.Stores().Epoch) ||
				len(first.Stores().Members) != len(second.Stores().Members) {
				t.Fatal("the replicas have different epochs or numbers of members")
			}
			for i := range 12 {
				candidate := process(i%4, i/4)
				number := first.Suspicion(candidate.Node, candidate.Incarnation)
				if number != second.Suspicion(candidate.Node, candidate.Incarnation) {
					t.Fatal("the replicas have different suspicions")
				}
				if number != 0 &&
					!slices.ContainsFunc(first.Stores().Members, func(member protocol.StoreMember) bool {
						return member.Process == candidate
					}) {
					t.Fatalf("%s/%s is under suspicion but not a member", candidate.Node, candidate.Incarnation)
				}
			}
		}
	})
}

func TestMembers(t *testing.T) {
	apply := func(m *StateMachine, command Command) Outcome {
		raw, err := command.Encode()
		So(err, ShouldBeNil)
		outcome, err := DecodeOutcome(m.Apply(1, raw))
		So(err, ShouldBeNil)
		return outcome
	}
	join := func(m *StateMachine, list ...protocol.Process) Outcome {
		return apply(m, Command{Join: &Join{Processes: list}})
	}
	Convey("An incarnation with an empty disk replaces the previous one immediately", t, func() {
		m := New()
		join(m, process(1, 0), process(2, 0))
		So(m.Stores().Epoch, ShouldEqual, 1)
		join(m, process(1, 1))
		So(m.Stores().Members, ShouldHaveLength, 2)
		So(m.Stores().Epoch, ShouldEqual, 2)
		So(join(m, process(1, 1)).Store, ShouldEqual, StoreUnchanged)
		So(apply(m, Command{Evict: &Evict{Node: "s1", Incarnation: "0"}}).Store, ShouldEqual, StoreUnchanged)
	})
	Convey("A retirement survives the loss of the disk, and a completed one is kept after the machine has left", t, func() {
		m := New()
		join(m, process(1, 0), process(2, 0), process(3, 0))
		So(apply(m, Command{Retire: &Retire{Node: "s1", Remain: 2}}).Store, ShouldEqual, StoreChanged)
		join(m, process(1, 1))
		So(m.Stores().Members[2].State, ShouldEqual, protocol.StoreRetiring)
		So(
			apply(m, Command{Retired: &Retired{Node: "s1", Incarnation: "0", Epoch: m.Stores().Epoch}}).Store,
			ShouldEqual,
			StoreUnchanged,
		)
		So(
			apply(m, Command{Retired: &Retired{Node: "s1", Incarnation: "1", Epoch: m.Stores().Epoch}}).Store,
			ShouldEqual,
			StoreChanged,
		)
		So(apply(m, Command{Evict: &Evict{Node: "s1", Incarnation: "1"}}).Store, ShouldEqual, StoreChanged)
		So(m.Retirement("s1"), ShouldEqual, RetirementCompleted)
		So(join(m, process(1, 1)).Store, ShouldEqual, StoreUnchanged)
		So(join(m, process(1, 2)).Store, ShouldEqual, StoreChanged)
	})
	Convey("The retirement of a lost machine is completed once all other members have reconciled without it", t, func() {
		m := New()
		join(m, process(1, 0), process(2, 0), process(3, 0))
		retire := Command{Retire: &Retire{Node: "s1", Remain: 2}}
		So(apply(m, retire).Store, ShouldEqual, StoreChanged)
		So(apply(m, Command{Evict: &Evict{Node: "s1", Incarnation: "0"}}).Store, ShouldEqual, StoreChanged)
		So(m.Retirement("s1"), ShouldEqual, RetirementActive)

		Convey("and the lost disk doesn't join again", func() {
			So(apply(m, Command{Settle: &Settle{Epoch: m.Stores().Epoch}}).Store, ShouldEqual, StoreChanged)
			So(m.Retirement("s1"), ShouldEqual, RetirementCompleted)
			So(m.MayJoin(process(1, 0)), ShouldBeFalse)
			So(m.MayJoin(process(1, 1)), ShouldBeTrue) // after liveness.RejoinAfter
		})
		Convey("but it continues if the machine returns before that, with its disk or another one", func() {
			for incarnation := range 2 {
				join(m, process(1, incarnation))
				So(m.Retirement("s1"), ShouldEqual, RetirementActive)
				So(m.Stores().Members[len(m.Stores().Members)-1].State, ShouldEqual, protocol.StoreRetiring)
				So(apply(m, Command{Settle: &Settle{Epoch: m.Stores().Epoch}}).Store, ShouldEqual, StoreChanged)
				So(m.Retirement("s1"), ShouldEqual, RetirementActive)
			}
		})
	})
	Convey("A machine that replaced a retired machine can be retired as well", t, func() {
		m := New()
		retire := Command{Retire: &Retire{Node: "s1", Remain: 2}}
		join(m, process(1, 0), process(2, 0), process(3, 0))
		apply(m, retire)
		apply(m, Command{Retired: &Retired{Node: "s1", Incarnation: "0", Epoch: m.Stores().Epoch}})
		So(apply(m, retire).Store, ShouldEqual, StoreUnchanged) // repeated
		So(m.Retirement("s1"), ShouldEqual, RetirementCompleted)
		// The machine is about to be removed, with its disk.
		So(join(m, process(1, 1)).Store, ShouldEqual, StoreUnchanged)
		apply(m, Command{Evict: &Evict{Node: "s1", Incarnation: "0"}})
		So(apply(m, retire).Store, ShouldEqual, StoreUnchanged)
		So(join(m, process(1, 1)).Store, ShouldEqual, StoreChanged)
		So(apply(m, retire).Store, ShouldEqual, StoreChanged)
		So(m.Retirement("s1"), ShouldEqual, RetirementActive)
		So(
			apply(m, Command{Retired: &Retired{Node: "s1", Incarnation: "0", Epoch: m.Stores().Epoch}}).Store,
			ShouldEqual,
			StoreUnchanged,
		)
		So(
			apply(m, Command{Retired: &Retired{Node: "s1", Incarnation: "1", Epoch: m.Stores().Epoch}}).Store,
			ShouldEqual,
			StoreChanged,
		)
		So(m.Retirement("s1"), ShouldEqual, RetirementCompleted)
	})
	Convey("A member is evicted only under its current suspicion", t, func() {
		m := New()
		join(m, process(1, 0), process(2, 0))
		evict := func(number uint64) StoreOutcome {
			return apply(m, Command{Evict: &Evict{Node: "s1", Incarnation: "0", Suspicion: number}}).Store
		}
		suspect := func(over bool) {
			So(
				apply(m, Command{Suspect: &Suspect{Node: "s1", Incarnation: "0", Over: over}}).Store,
				ShouldEqual,
				StoreUnchanged,
			)
		}
		suspect(false)
		So(m.Suspicion("s1", "0"), ShouldEqual, 1)
		suspect(false) // already recorded
		So(m.Suspicion("s1", "0"), ShouldEqual, 1)
		suspect(true)
		So(m.Suspicion("s1", "0"), ShouldEqual, 0)
		So(evict(1), ShouldEqual, StoreUnchanged)
		suspect(false)
		So(evict(1), ShouldEqual, StoreUnchanged)
		So(m.Stores().Epoch, ShouldEqual, 1)
		So(evict(2), ShouldEqual, StoreChanged)
		So(m.Suspicion("s1", "0"), ShouldEqual, 0)
		So(apply(m, Command{Suspect: &Suspect{Node: "s1", Incarnation: "0"}}).Store, ShouldEqual, StoreUnknown)
	})
	Convey("A command or snapshot that can't be decoded changes nothing", t, func() {
		m := New()
		So(m.Apply(1, []byte("?")), ShouldBeNil)
		So(m.Restore([]byte("?")), ShouldNotBeNil)
		So(m.Stores().Epoch, ShouldEqual, 0)
	})
}

// TestDeparted checks when a process is added to the list of departed processes and when it is removed from it.
func TestDeparted(t *testing.T) {
	apply := func(m *StateMachine, command Command) StoreOutcome {
		raw, err := command.Encode()
		So(err, ShouldBeNil)
		outcome, err := DecodeOutcome(m.Apply(1, raw))
		So(err, ShouldBeNil)
		return outcome.Store
	}
	join := func(m *StateMachine, processes ...protocol.Process) {
		So(apply(m, Command{Join: &Join{Processes: processes}}), ShouldEqual, StoreChanged)
	}
	Convey("A process that departs is listed until it returns or all members are reconciled", t, func() {
		m := New()
		join(m, process(1, 0), process(2, 0), process(3, 0))
		So(apply(m, Command{Evict: &Evict{Node: "s1", Incarnation: "0"}}), ShouldEqual, StoreChanged)
		join(m, process(2, 1)) // its disk was lost
		So(m.Stores().Departed, ShouldResemble, []protocol.Process{process(1, 0), process(2, 0)})
		join(m, process(1, 0))
		So(m.Stores().Departed, ShouldResemble, []protocol.Process{process(2, 0)})
		epoch := m.Stores().Epoch
		So(apply(m, Command{Settle: &Settle{Epoch: epoch - 1}}), ShouldEqual, StoreUnchanged)
		So(m.Stores().Settled, ShouldBeFalse)
		So(apply(m, Command{Settle: &Settle{Epoch: epoch}}), ShouldEqual, StoreChanged)
		So(m.Stores().Departed, ShouldBeEmpty)
		So(m.Stores().Settled, ShouldBeTrue)
		So(m.Stores().Epoch, ShouldEqual, epoch)
		So(apply(m, Command{Settle: &Settle{Epoch: epoch}}), ShouldEqual, StoreUnchanged)
		restored := New()
		So(restored.Restore(m.Snapshot()), ShouldBeNil)
		So(restored.Stores(), ShouldResemble, m.Stores())
	})
	Convey("A process that was drained before it departed isn't listed", t, func() {
		m := New()
		join(m, process(1, 0), process(2, 0), process(3, 0))
		So(apply(m, Command{Retire: &Retire{Node: "s1", Remain: 2}}), ShouldEqual, StoreChanged)
		So(
			apply(m, Command{Retired: &Retired{Node: "s1", Incarnation: "0", Epoch: m.Stores().Epoch}}),
			ShouldEqual,
			StoreChanged,
		)
		So(apply(m, Command{Evict: &Evict{Node: "s1", Incarnation: "0"}}), ShouldEqual, StoreChanged)
		So(m.Stores().Departed, ShouldBeEmpty)
	})
	Convey("Epochs continue from the highest epoch that a joining process acted in", t, func() {
		m := New()
		join(m, process(1, 0))
		So(
			apply(m, Command{Join: &Join{Processes: []protocol.Process{process(1, 0)}, ActedIn: 40}}),
			ShouldEqual,
			StoreUnchanged,
		)
		So(m.Stores().Epoch, ShouldEqual, 1)
		So(
			apply(m, Command{Join: &Join{Processes: []protocol.Process{process(2, 0)}, ActedIn: 40}}),
			ShouldEqual,
			StoreChanged,
		)
		So(m.Stores().Epoch, ShouldEqual, 41)
		So(
			apply(m, Command{Join: &Join{Processes: []protocol.Process{process(3, 0)}, ActedIn: 12}}),
			ShouldEqual,
			StoreChanged,
		)
		So(m.Stores().Epoch, ShouldEqual, 42)
	})
	Convey("A join decided in an earlier epoch doesn't bring back a replaced process", t, func() {
		m := New()
		join(m, process(1, 0))
		late := Command{Join: &Join{Processes: []protocol.Process{process(1, 0)}, Epoch: m.Stores().Epoch}}
		join(m, process(1, 1))
		So(apply(m, late), ShouldEqual, StoreUnchanged)
		So(m.Stores().Members[0].Process, ShouldResemble, process(1, 1))
	})
}

func FuzzApply(f *testing.F) {
	raw, err := Command{Join: &Join{Processes: []protocol.Process{process(1, 0)}}}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, command []byte) { New().Apply(1, command) })
}
