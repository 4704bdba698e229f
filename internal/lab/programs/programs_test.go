package programs

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// tests stands for the tests of a package.
type tests func() int

func (t tests) Run() int { return t() }

func TestRun(t *testing.T) {
	Convey("Tests run with the programs built, whose folder goes with them", t, func() {
		folder := ""
		run := tests(func() int {
			_, err := os.Stat(filepath.Join(folder, "sprucelanectl"))
			So(err, ShouldBeNil)
			return 7
		})
		So(Run(run, func(told string) { folder = told }, "sprucelanectl", FaultInjection), ShouldEqual, 7)
		_, err := os.Stat(folder)
		So(os.IsNotExist(err), ShouldBeTrue)
	})
	Convey("Where a program can't be built no test runs", t, func() {
		run := tests(func() int { panic("run") })
		So(Run(run, func(string) {}, "no-such-program"), ShouldEqual, 1)
	})
}
