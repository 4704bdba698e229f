package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/lab/system"
)

func TestStoreLogs(t *testing.T) {
	Convey("Given two stores that log their state", t, func() {
		folder := t.TempDir()
		targets := []*target{
			{machine: system.Machine{Name: "a"}, role: "batch"},
			{machine: system.Machine{Name: "b"}, role: "batch"},
		}
		w := newLogWatcher(folder, targets, nil)
		write := func(name, text string) {
			file, err := os.OpenFile(filepath.Join(folder, name+"-batch.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY,
				0o600)
			So(err, ShouldBeNil)
			_, err = file.WriteString(text)
			So(err, ShouldBeNil)
			So(file.Close(), ShouldBeNil)
			w.poll()
		}
		state := func(epoch, settled int) string {
			return fmt.Sprintf(`{"event":"state","epoch":%d,"reconciled_epoch":%d}`+"\n", epoch, settled)
		}
		began := time.Now()
		write("a", state(3, 3))
		So(w.reconciled(began), ShouldBeFalse)
		write("b", state(3, 3))
		So(w.reconciled(began), ShouldBeTrue)
		So(w.reconciled(time.Now()), ShouldBeFalse)
		Convey("A newer view that isn't reconciled counts at once", func() {
			write("a", `{"event":"store_view","epoch":4}`+"\n")
			So(w.reconciled(began), ShouldBeFalse)
			write("a", state(4, 4))
			So(w.reconciled(began), ShouldBeFalse)
			write("b", state(4, 4))
			So(w.reconciled(began), ShouldBeTrue)
		})
		Convey("A violated invariant is reported once", func() {
			So(w.takeViolations(), ShouldBeEmpty)
			write("b", `{"event":"invariant_violated","invariant":"two views differ","count":2}`+"\n")
			So(w.takeViolations(), ShouldResemble, map[string][]string{"b-batch": {"two views differ"}})
			So(w.takeViolations(), ShouldBeEmpty)
		})
		Convey("What was logged before a start no longer counts, and half a line not yet", func() {
			write("b", `{"event":"serving"}`+"\n")
			So(w.reconciled(began), ShouldBeFalse)
			line := state(3, 3)
			write("b", line[:10])
			So(w.reconciled(began), ShouldBeFalse)
			write("b", line[10:])
			So(w.reconciled(began), ShouldBeTrue)
		})
	})
}

func TestChainLogs(t *testing.T) {
	Convey("The chain is complete once the newest view holds all control processes", t, func() {
		folder := t.TempDir()
		targets := []*target{
			{machine: system.Machine{Name: "a"}, role: "control"},
			{machine: system.Machine{Name: "b"}, role: "control"},
		}
		w := newLogWatcher(folder, nil, targets)
		So(w.chainComplete(len(targets)), ShouldBeTrue) // the first chain isn't logged; it has all
		write := func(name, text string) {
			So(os.WriteFile(filepath.Join(folder, name+"-control.log"), []byte(text), 0o600), ShouldBeNil)
			w.poll()
		}
		write("a", `{"event":"view_adopted","epoch":1,"chain":"a"}`+"\n")
		So(w.chainComplete(len(targets)), ShouldBeFalse)
		write("a", `{"event":"view_adopted","epoch":1,"chain":"a"}`+"\n"+`{"event":"view_adopted","epoch":2,"chain":"a>b"}`+"\n")
		So(w.chainComplete(len(targets)), ShouldBeTrue)
		write("b", `{"event":"view_adopted","epoch":3,"chain":"b"}`+"\n")
		So(w.chainComplete(len(targets)), ShouldBeFalse)
	})
}
