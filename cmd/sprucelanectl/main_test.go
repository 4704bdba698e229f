package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/replica"
	"sprucelane.example/sprucelane/coord/slots"
)

const validSettings = `node-name=front-huron-1
role=gateway
machine-class=front
ip=10.1.0.14
zone=huron
port-range=7360,7375
seeds=10.1.0.14:8683,10.2.0.22:8683
`

// result holds the exit code and output of one call of the program.
type result struct {
	code   int
	out    string
	errOut string
}

// call runs the program with a command line.
func call(arguments ...string) result {
	var out, errOut bytes.Buffer
	code := run(arguments, &out, &errOut)
	return result{code, out.String(), errOut.String()}
}

// file writes a temporary file and returns its path.
func file(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCommandLine(t *testing.T) {
	Convey("--help prints the usage and exits with 0", t, func() {
		for _, arguments := range [][]string{{"--help"}, {"settings", "check", "--help"}} {
			got := call(arguments...)
			So(got.code, ShouldEqual, exitOK)
			So(got.out, ShouldContainSubstring, "Usage:")
		}
	})
	Convey("An invalid command line exits with 2", t, func() {
		invalid := [][]string{{}, {"no-such"}, {"settings", "check"}, {"-o", "yaml", "settings", "check", "x"}}
		for _, arguments := range invalid {
			got := call(arguments...)
			So(got.code, ShouldEqual, exitFindings)
			So(got.errOut, ShouldNotBeEmpty)
		}
	})
}

func TestDiskVerify(t *testing.T) {
	folder := t.TempDir()
	Convey("Verifying a folder without a store fails", t, func() {
		So(call("disk", "verify", folder).code, ShouldEqual, exitFailed)
		So(call("disk", "verify", filepath.Join(folder, "none")).code, ShouldEqual, exitFailed)
	})
	Convey("An intact store is reported as such, and each damage is reported with file and offset", t, func() {
		store, _, err := slots.Open(slots.Directory(folder), slots.Options{})
		So(err, ShouldBeNil)
		So(store.Append([]byte("first")), ShouldBeNil)
		So(store.Append([]byte("second")), ShouldBeNil)
		So(store.Close(), ShouldBeNil)
		got := call("disk", "verify", folder)
		So(got.code, ShouldEqual, exitOK)
		So(got.out, ShouldContainSubstring, "2 records")

		for _, name := range []string{"log-0", "log-1"} {
			path := filepath.Join(folder, name)
			text, err := os.ReadFile(path)
			So(err, ShouldBeNil)
			So(os.WriteFile(path, bytes.Replace(text, []byte("first"), []byte("FIRST"), 1), 0o600), ShouldBeNil)
		}
		got = call("-o", "json", "disk", "verify", folder)
		So(got.code, ShouldEqual, exitFindings)
		var result verifyResult
		So(json.Unmarshal([]byte(got.out), &result), ShouldBeNil)
		So(result.Intact, ShouldBeFalse)
		So(result.Findings, ShouldNotBeEmpty)
		So(result.Findings[0].Place, ShouldContainSubstring, "log-")

		So(call("disk", "verify", "--corrupt", folder).code, ShouldEqual, exitFailed) // no corrupt log has been kept yet
		So(slots.Copy(slots.Directory(folder), slots.Options{}, replica.CorruptPrefix, 1<<20), ShouldBeNil)
		So(slots.Wipe(slots.Directory(folder), slots.Options{}), ShouldBeNil)
		So(call("disk", "verify", folder).code, ShouldEqual, exitFailed) // the store is empty
		got = call("disk", "verify", "--corrupt", folder)
		So(got.code, ShouldEqual, exitFindings)
		So(got.out, ShouldContainSubstring, "corrupt-log-")
	})
}

// An error in the JSON syntax is reported with the file and the position, and without the name that the schema check
// uses internally.
func TestConfigCheckInvalidJSON(t *testing.T) {
	Convey("Input that isn't JSON", t, func() {
		path := file(t, "broken.json", "{no json")
		got := call("config", "check", path)
		So(got.code, ShouldEqual, exitFindings)
		So(got.out+got.errOut, ShouldContainSubstring, path+": (line 1, column 2): invalid JSON")
		So(got.out+got.errOut, ShouldNotContainSubstring, "for file")
	})
}

func TestSettingsCheck(t *testing.T) {
	good, bad := file(t, "good.conf", validSettings), file(t, "bad.conf", "ip=here\n")
	Convey("A valid file is reported as valid", t, func() {
		got := call("settings", "check", good)
		So(got.code, ShouldEqual, exitOK)
		So(got.out, ShouldContainSubstring, "valid, of front-huron-1 in the role gateway")
	})
	Convey("All errors are reported, as text and as JSON", t, func() {
		got := call("settings", "check", bad)
		So(got.code, ShouldEqual, exitFindings)
		So(got.out, ShouldContainSubstring, `bad.conf:1: ip: "here" is no IP address`)
		So(got.out, ShouldContainSubstring, "role: is missing")

		got = call("-o", "json", "settings", "check", bad)
		So(got.code, ShouldEqual, exitFindings)
		var result checkResult
		So(json.Unmarshal([]byte(got.out), &result), ShouldBeNil)
		So(result.Valid, ShouldBeFalse)
		So(len(result.Findings), ShouldBeGreaterThan, 1)
	})
}
