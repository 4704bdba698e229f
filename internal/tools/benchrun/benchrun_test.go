package benchrun

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRun(t *testing.T) {
	folder := t.TempDir()
	program := func(script string) string {
		path := filepath.Join(folder, "bench")
		if err := os.WriteFile(path, []byte("#!/bin/sh\n"+script), 0o700); err != nil {
			t.Fatal(err)
		}
		return path
	}
	Convey("The report is read, and further arguments are passed on", t, func() {
		bench := program(`[ "$6" = --jobs ] && pwd > where &&
			echo '{"G":0.5,"served":0.6,"fault":null,"breaks":{"ORDER":3}}' > "$5"`)
		report, err := Run(bench, folder, "site.toml", "day.toml", "--jobs", "1")
		So(err, ShouldBeNil)
		So(report.Score, ShouldEqual, 0.5)
		So(string(report.RuleViolations["ORDER"]), ShouldEqual, "3")
		_, err = os.Stat(filepath.Join(folder, "where"))
		So(err, ShouldBeNil)
	})
	Convey("Without a report the error has the last line of the output", t, func() {
		_, err := Run(program("echo no such site; exit 2"), "", "site.toml", "day.toml")
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "no such site")
	})
}
