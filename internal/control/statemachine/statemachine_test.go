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

// drawCommand draws a command, some of which no longer fit the state.
func drawCommand(t *rapid.T, m *StateMachine) Command {
	one := process(rapid.IntRange(0, 3).Draw(t, "node"), rapid.IntRange(0, 2).Draw(t, "incarnation"))
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 8:
		return Command{Settle: &Settle{Epoch: m.Stores().Epoch - rapid.Uint64Range(0, 1).Draw(t, "before")}}
	case 6:
		return Command{
			Suspect: &Suspect{Node: one.Node, Incarnation: one.Incarnation, Over: rapid.Bool().Draw(t, "over")},
		}
	case 7:
		number := m.Suspicion(one.Node, one.Incarnation)
		return Command{
			Evict: &Evict{
				Node:        one.Node,
				Incarnation: one.Incarnation,
				Suspicion:   number + rapid.Uint64Range(0, 1).Draw(t, "stale"),
			},
		}
	case 0, 1:
		return Command{
			Join: &Join{Processes: []protocol.Process{one, process(rapid.IntRange(0, 3).Draw(t, "other"), 0)}},
		}
	case 2:
		return Command{Evict: &Evict{Node: one.Node, Incarnation: one.Incarnation}}
	case 3:
		return Command{Retire: &Retire{Node: one.Node, Remain: 2}}
	case 4:
		return Command{
			Retired: &Retired{
				Node:        one.Node,
				Incarnation: one.Incarnation,
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

// checkInvariants checks what must hold between the views before and after any command.
func checkInvariants(t *rapid.T, before, after protocol.StoreView, outcome Outcome) {
	nodes, addresses := map[string]bool{}, map[string]bool{}
	for _, member := range after.Members {
		if nodes[member.Node] || addresses[member.IP] {
			t.Fatalf("%s is a member twice", member.Node)
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
		t.Fatal("a change isn't newer than what was before")
	}
	checkDeparted(t, before, after)
}

// checkDeparted checks that the departed processes are those that were members, are not now, and were not
// drained first.
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
			t.Fatalf("%v counts as departed: %v after %v", process, after, before)
		}
		got[process] = true
	}
	for process, left := range want {
		if left && !got[process] && !after.Settled {
			t.Fatalf("%v departed, and isn't listed: %v after %v", process, after, before)
		}
	}
}

// TestReplicas applies the same random commands to two replicas, one of which is restored from a snapshot now
// and then.
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
				t.Fatal("the replicas give different outcomes")
			}
			outcome, err := DecodeOutcome(result)
			if err != nil {
				t.Fatal(err)
			}
			checkInvariants(t, before, first.Stores(), outcome)
			if command.Retire != nil && outcome.Store == StoreChanged {
				if first.Retirement(command.Retire.Node) != RetirementActive {
					t.Fatalf(
						"%s is retiring, and its retirement is in state %d",
						command.Retire.Node,
						first.Retirement(command.Retire.Node),
					)
				}
				// A machine of that name that joined after the one that was drained.
				delete(completed, command.Retire.Node)
			}
			for node := range completed {
				if first.Retirement(node) != RetirementCompleted {
					t.Fatalf("the retirement of %s was completed, and isn't any longer", node)
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
				t.Fatal("the replicas differ")
			}
			for i := range 12 {
				one := process(i%4, i/4)
				number := first.Suspicion(one.Node, one.Incarnation)
				if number != second.Suspicion(one.Node, one.Incarnation) {
					t.Fatal("the replicas differ in whom they suspect")
				}
				if number != 0 &&
					!slices.ContainsFunc(first.Stores().Members, func(member protocol.StoreMember) bool {
						return member.Process == one
					}) {
					t.Fatalf("%s/%s is under suspicion and no member", one.Node, one.Incarnation)
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
	Convey("An incarnation with an empty disk replaces the former one at once", t, func() {
		m := New()
		join(m, process(1, 0), process(2, 0))
		So(m.Stores().Epoch, ShouldEqual, 1)
		join(m, process(1, 1))
		So(m.Stores().Members, ShouldHaveLength, 2)
		So(m.Stores().Epoch, ShouldEqual, 2)
		So(join(m, process(1, 1)).Store, ShouldEqual, StoreUnchanged)
		So(apply(m, Command{Evict: &Evict{Node: "s1", Incarnation: "0"}}).Store, ShouldEqual, StoreUnchanged)
	})
	Convey("A retirement survives the loss of the disk, and a completed one the departure of the machine", t, func() {
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
	Convey("A retirement of a machine that was lost is completed once all others have reconciled without it", t, func() {
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
		Convey("but goes on if it comes back before, with its disk or another", func() {
			for incarnation := range 2 {
				join(m, process(1, incarnation))
				So(m.Retirement("s1"), ShouldEqual, RetirementActive)
				So(m.Stores().Members[len(m.Stores().Members)-1].State, ShouldEqual, protocol.StoreRetiring)
				So(apply(m, Command{Settle: &Settle{Epoch: m.Stores().Epoch}}).Store, ShouldEqual, StoreChanged)
				So(m.Retirement("s1"), ShouldEqual, RetirementActive)
			}
		})
	})
	Convey("A machine that replaced one that was retired can be retired in its turn", t, func() {
		m := New()
		retire := Command{Retire: &Retire{Node: "s1", Remain: 2}}
		join(m, process(1, 0), process(2, 0), process(3, 0))
		apply(m, retire)
		apply(m, Command{Retired: &Retired{Node: "s1", Incarnation: "0", Epoch: m.Stores().Epoch}})
		So(apply(m, retire).Store, ShouldEqual, StoreUnchanged) // repeated
		So(m.Retirement("s1"), ShouldEqual, RetirementCompleted)
		// Its machine is about to be taken away, with its disk.
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
	Convey("A member is evicted under its present suspicion, and no other", t, func() {
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
		suspect(false) // it is recorded already
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
	Convey("What can't be decoded changes nothing", t, func() {
		m := New()
		So(m.Apply(1, []byte("?")), ShouldBeNil)
		So(m.Restore([]byte("?")), ShouldNotBeNil)
		So(m.Stores().Epoch, ShouldEqual, 0)
	})
}

// TestDeparted checks when a process enters the list of departed processes, and when it leaves it.
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
	Convey("Epochs continue from the highest that a joining process acted in", t, func() {
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
	Convey("A join that was decided in an earlier epoch brings no process back", t, func() {
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
