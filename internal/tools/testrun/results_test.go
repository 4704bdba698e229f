package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const passing = `{"Action":"run","Package":"a","Test":"TestGood"}
{"Action":"pass","Package":"a","Test":"TestGood"}
{"Action":"output","Package":"a","Output":"ok a\n"}
{"Action":"pass","Package":"a"}
`

const failing = `{"Action":"run","Package":"b","Test":"TestRed"}
{"Action":"output","Package":"b","Test":"TestRed/sub","Output":"    here it broke\n"}
{"Action":"fail","Package":"b","Test":"TestRed/sub"}
{"Action":"fail","Package":"b","Test":"TestRed"}
{"Action":"output","Package":"b","Output":"FAIL\n"}
{"Action":"output","Package":"b","Output":"FAIL\tb\t0.1s\n"}
{"Action":"fail","Package":"b"}
`

const panicking = `{"Action":"run","Package":"b","Test":"TestRed"}
{"Action":"fail","Package":"b","Test":"TestRed"}
{"Action":"output","Package":"b","Output":"FAIL\tb\t0.1s\n"}
{"Action":"fail","Package":"b"}
`

const unbuilt = `{"ImportPath":"c","Action":"build-output","Output":"c.go:1: no\n"}
{"ImportPath":"c","Action":"build-fail"}
{"Action":"fail","Package":"c","FailedBuild":"c"}
`

func judged(events, list string, failed bool) (string, error) {
	known, err := parseKnownFailures("list", list)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	r := newResults()
	if failed {
		r.failedRuns++
	}
	if err := r.read(strings.NewReader(events), &out); err != nil {
		return "", err
	}
	err = r.judge(known, &out)
	return out.String(), err
}

func TestJudge(t *testing.T) {
	Convey("A run without failures passes", t, func() {
		_, err := judged(passing, "", false)
		So(err, ShouldBeNil)
	})
	Convey("A failed test fails the run, and its output is shown", t, func() {
		out, err := judged(passing+failing, "", true)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "red: b TestRed")
		So(out, ShouldContainSubstring, "here it broke")
	})
	Convey("A listed test that fails is tolerated and printed", t, func() {
		out, err := judged(passing+failing, "b TestRed | late timer | 12\n\n", true)
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "known red: b TestRed | late timer | 12")
	})
	Convey("Another failed test beside a listed one fails the run", t, func() {
		other := strings.ReplaceAll(failing, "TestRed", "TestOther")
		_, err := judged(failing+strings.ReplaceAll(other, `"b"`, `"d"`), "b TestRed | late timer | 12", true)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "red: d TestOther")
	})
	Convey("A listed test that panics may leave others out, which fails the run", t, func() {
		_, err := judged(panicking, "b TestRed | late timer | 12", true)
		So(err, ShouldNotBeNil)
	})
	Convey("A package that doesn't build fails the run", t, func() {
		out, err := judged(passing+unbuilt, "", true)
		So(err, ShouldNotBeNil)
		So(out, ShouldContainSubstring, "c.go:1: no")
	})
	Convey("A listed test that passes is reported", t, func() {
		out, err := judged(passing, "a TestGood | was late | 12", false)
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "a TestGood passes")
	})
	Convey("A listed test that didn't run fails the run", t, func() {
		_, err := judged(passing, "a TestGone | was late | 12", false)
		So(err, ShouldNotBeNil)
	})
	Convey("A run without packages fails, and so does a failure of go test without a failed package", t, func() {
		_, err := judged("", "", false)
		So(err, ShouldNotBeNil)
		_, err = judged(passing, "", true)
		So(err, ShouldNotBeNil)
	})
	Convey("Output that isn't in the format of events is an error", t, func() {
		_, err := judged("flag provided but not defined", "", true)
		So(err, ShouldNotBeNil)
	})
}

// TestRealRun runs go test on a module with one test that passes and one that fails.
func TestRealRun(t *testing.T) {
	folder := t.TempDir()
	write(t, folder, "go.mod", "module example\n\ngo 1.26\n")
	write(t, folder, "x_test.go", "package x\n\nimport \"testing\"\n\n"+
		"func TestGreen(t *testing.T) {}\nfunc TestRed(t *testing.T)   { t.Error(\"red\") }\n")
	t.Chdir(folder)
	t.Setenv("GOFLAGS", "-mod=mod")
	Convey("An unlisted failure fails the run, a listed one doesn't", t, func() {
		So(run(nil, []string{"./..."}), ShouldNotBeNil)
		list, err := parseKnownFailures("list", "example TestRed | made red | 1")
		So(err, ShouldBeNil)
		So(run(list, []string{"./..."}), ShouldBeNil)
	})
	Convey("Packages that are tested alone count like the others", t, func() {
		So(os.Mkdir(filepath.Join(folder, "y"), 0o700), ShouldBeNil)
		write(t, folder, "y/y_test.go",
			"package y\n\nimport \"testing\"\n\nfunc TestAlone(t *testing.T) { t.Error(\"red\") }\n")
		list, err := parseKnownFailures("list", "example TestRed | made red | 1\n")
		So(err, ShouldBeNil)
		err = run(list, []string{"-alone", "./y", "./...", "-count=1"})
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldEqual, "red: example/y TestAlone")
	})
	Convey("A pattern is needed", t, func() {
		So(run(nil, []string{"-race"}), ShouldEqual, errUsage)
		So(run(nil, nil), ShouldEqual, errUsage)
	})
}

func write(t *testing.T, folder, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
