package main

import (
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestKnownList(t *testing.T) {
	Convey("The error for a malformed line has its number", t, func() {
		for _, line := range []string{
			"b TestRed",
			"b TestRed | cause",
			"TestRed | cause | 1",
			"b TestRed/sub | cause | 1",
			"b TestRed | | 1",
		} {
			_, err := parseKnownFailures("list", "b TestFine | cause | 1\n"+line)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldStartWith, "list:2:")
		}
	})
	Convey("An absent list is an empty one", t, func() {
		list, err := readKnownFailures(filepath.Join(t.TempDir(), knownFailuresFile))
		So(err, ShouldBeNil)
		So(list, ShouldBeEmpty)
	})
}
