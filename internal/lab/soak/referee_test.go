package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/transport/partition"
	"sprucelane.example/sprucelane/internal/fake/modelserver"
	"sprucelane.example/sprucelane/internal/lab/system"
)

// result gives a whole result of an item, as the stand-in servers put it out.
func result(item string) system.BatchResult {
	const events = 10
	return system.BatchResult{ID: item, State: "completed", Text: modelserver.Text(item, events)}
}

func results(from, total int, items ...string) system.Results {
	told := system.Results{Total: total, NextToken: from + len(items)}
	for _, item := range items {
		told.Results = append(told.Results, result(item))
	}
	return told
}

func TestPositions(t *testing.T) {
	Convey("Given a batch job of three items of which two were read", t, func() {
		one := newJobSet().add("job-1", 3)
		So(one.checkResults(0, results(0, 3, "a", "b")), ShouldBeEmpty)
		Convey("The same again and the rest are right", func() {
			So(one.checkResults(1, results(1, 3, "b", "c")), ShouldBeEmpty)
			So(one.complete(), ShouldBeTrue)
		})
		Convey("Another item at a position is wrong", func() {
			So(one.checkResults(0, results(0, 3, "c")), ShouldNotBeEmpty)
		})
		Convey("An item at a second position is wrong", func() {
			So(one.checkResults(2, results(2, 3, "a")), ShouldNotBeEmpty)
		})
		Convey("Another total, another next position and a part of an item are wrong", func() {
			So(one.checkResults(2, results(2, 4, "c")), ShouldNotBeEmpty)
			told := results(2, 3, "c")
			told.NextToken = 2
			So(one.checkResults(2, told), ShouldNotBeEmpty)
			told = results(2, 3, "c")
			told.Results[0].Text = told.Results[0].Text[1:]
			So(one.checkResults(2, told), ShouldNotBeEmpty)
		})
	})
}

func TestRefusals(t *testing.T) {
	Convey("A promise is counted on only where no answer was unsure", t, func() {
		one, other := newJobSet().add("job-1", 1), newJobSet().add("job-2", 1)
		So(one.giveUp(), ShouldBeTrue)
		other.indeterminate = true
		So(other.giveUp(), ShouldBeFalse)
	})
}

func TestBudget(t *testing.T) {
	Convey("No more disks are wiped than may be lost, until the system has recovered from the last", t, func() {
		b := newDiskBudget(2)
		So(b.acquire(1), ShouldEqual, 1)
		So(b.acquire(2), ShouldEqual, 1)
		So(b.acquire(1), ShouldEqual, 0)
		b.reset()
		So(b.acquire(3), ShouldEqual, 2)
		So(b.wiped(), ShouldEqual, 4)
	})
}

func TestTimeline(t *testing.T) {
	Convey("A process is disturbed from the beginning of a trouble to its end", t, func() {
		line := newTimeline()
		before := time.Now()
		over := line.disturb("gateway")
		So(line.disturbed("gateway", time.Now()), ShouldBeTrue)
		So(line.disturbed("other", before), ShouldBeFalse)
		over()
		So(line.disturbed("gateway", before), ShouldBeTrue)
		So(line.disturbed("gateway", time.Now()), ShouldBeFalse)
		Convey("When the machine stood still all were", func() {
			line.hostStalled(before)
			So(line.disturbed("other", before), ShouldBeTrue)
		})
	})
	Convey("A violation is told with the troubles before it, once for those that follow each other", t, func() {
		line := newTimeline()
		over := line.add(KindPause, "store-1")
		referee := newChecker(line, io.Discard)
		referee.violated(RuleAnswer, "none from %s", "gateway-1")
		over()
		referee.violated(RuleAnswer, "none")
		kept, more := referee.violations()
		So(kept, ShouldHaveLength, 2)
		So(more, ShouldEqual, 0)
		So(kept[0].Timeline, ShouldContainSubstring, "pause store-1")
		So(kept[1].Timeline, ShouldBeEmpty)
		So(line.countKinds()[KindPause], ShouldEqual, 1)
	})
	Convey("Nothing is judged once the run is interrupted", t, func() {
		referee := newChecker(newTimeline(), io.Discard)
		ctx, cancel := context.WithCancel(context.Background())
		referee.checkDuring(ctx)
		referee.violated(RuleAnswer, "none")
		cancel()
		referee.violated(RuleAnswer, "none")
		kept, _ := referee.violations()
		So(kept, ShouldHaveLength, 1)
	})
}

func TestStoreLogs(t *testing.T) {
	Convey("Given two stores that log their state", t, func() {
		folder := t.TempDir()
		units := []*target{{machine: system.Machine{Name: "a"}, role: "batch"}, {machine: system.Machine{Name: "b"}, role: "batch"}}
		w := newLogWatcher(folder, units, nil)
		tell := func(name, text string) {
			file, err := os.OpenFile(filepath.Join(folder, name+"-batch.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			So(err, ShouldBeNil)
			_, err = file.WriteString(text)
			So(err, ShouldBeNil)
			So(file.Close(), ShouldBeNil)
			w.poll()
		}
		state := func(epoch, settled int) string {
			return fmt.Sprintf(`{"event":"state","epoch":%d,"settled":%d}`+"\n", epoch, settled)
		}
		began := time.Now()
		tell("a", state(3, 3))
		So(w.reconciled(began), ShouldBeFalse)
		tell("b", state(3, 3))
		So(w.reconciled(began), ShouldBeTrue)
		So(w.reconciled(time.Now()), ShouldBeFalse)
		Convey("A newer view that isn't settled counts at once", func() {
			tell("a", `{"event":"store_view","epoch":4}`+"\n")
			So(w.reconciled(began), ShouldBeFalse)
			tell("a", state(4, 4))
			So(w.reconciled(began), ShouldBeFalse)
			tell("b", state(4, 4))
			So(w.reconciled(began), ShouldBeTrue)
		})
		Convey("An invariant that doesn't hold is told once", func() {
			So(w.takeViolations(), ShouldBeEmpty)
			tell("b", `{"event":"invariant_violated","invariant":"two views differ","count":2}`+"\n")
			So(w.takeViolations(), ShouldResemble, map[string][]string{"b-batch": {"two views differ"}})
			So(w.takeViolations(), ShouldBeEmpty)
		})
		Convey("What was told before a start counts no more, and half a line not yet", func() {
			tell("b", `{"event":"serving"}`+"\n")
			So(w.reconciled(began), ShouldBeFalse)
			line := state(3, 3)
			tell("b", line[:10])
			So(w.reconciled(began), ShouldBeFalse)
			tell("b", line[10:])
			So(w.reconciled(began), ShouldBeTrue)
		})
	})
}

func TestChainLogs(t *testing.T) {
	Convey("The chain is whole once the newest view holds all control processes", t, func() {
		folder := t.TempDir()
		units := []*target{{machine: system.Machine{Name: "a"}, role: "control"}, {machine: system.Machine{Name: "b"}, role: "control"}}
		w := newLogWatcher(folder, nil, units)
		So(w.chainComplete(), ShouldBeFalse)
		tell := func(name, text string) {
			So(os.WriteFile(filepath.Join(folder, name+"-control.log"), []byte(text), 0o600), ShouldBeNil)
			w.poll()
		}
		tell("a", `{"event":"view","epoch":2,"chain":"a>b"}`+"\n")
		So(w.chainComplete(), ShouldBeTrue)
		tell("b", `{"event":"view","epoch":3,"chain":"b"}`+"\n")
		So(w.chainComplete(), ShouldBeFalse)
	})
}

func TestNetwork(t *testing.T) {
	Convey("The file holds the ways of all cuts that stand", t, func() {
		path := filepath.Join(t.TempDir(), "cuts")
		n, err := newPartitionSet(path)
		So(err, ShouldBeNil)
		a, b := system.Machine{IP: "1"}, system.Machine{IP: "2"}
		heal, err := n.add(linksBetween([]system.Machine{a}, []system.Machine{a, b}, true))
		So(err, ShouldBeNil)
		_, err = n.add(linksBetween([]system.Machine{a}, []system.Machine{b}, false))
		So(err, ShouldBeNil)
		So(partition.Watch(t.Context(), path).Partitioned(partition.Link{From: "2", To: "1"}), ShouldBeTrue)
		heal()
		cuts := partition.Watch(t.Context(), path)
		So(cuts.Partitioned(partition.Link{From: "2", To: "1"}), ShouldBeFalse)
		So(cuts.Partitioned(partition.Link{From: "1", To: "2"}), ShouldBeTrue)
		So(n.healAll(), ShouldBeNil)
		So(partition.Watch(t.Context(), path).Partitioned(partition.Link{From: "1", To: "2"}), ShouldBeFalse)
	})
}
