package programs

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// tests is a TestRunner.
type tests func() int

func (t tests) Run() int { return t() }

func TestRun(t *testing.T) {
	Convey("Tests run with the programs built, and the folder is removed after them", t, func() {
		folder := ""
		run := tests(func() int {
			_, err := os.Stat(filepath.Join(folder, "sprucelanectl"))
			So(err, ShouldBeNil)
			return 7
		})
		So(Run(run, func(path string) { folder = path }, "sprucelanectl", FaultInjection), ShouldEqual, 7)
		_, err := os.Stat(folder)
		So(os.IsNotExist(err), ShouldBeTrue)
	})
	Convey("No test runs where a program can't be built", t, func() {
		run := tests(func() int { panic("run") })
		So(Run(run, func(string) {}, "no-such-program"), ShouldEqual, 1)
	})
}
