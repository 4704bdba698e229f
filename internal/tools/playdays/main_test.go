package main

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDescribe(t *testing.T) {
	Convey("A day that broke nothing is fine", t, func() {
		line, fine := describe("bench/days/calm.toml", &report{Worth: 0.9, Served: 0.98}, nil)
		So(fine, ShouldBeTrue)
		So(line, ShouldStartWith, "calm ")
		So(line, ShouldEndWith, "worth 0.900 served 0.980")
	})
	Convey("Broken rules, a fault and a day that wasn't played are not", t, func() {
		line, fine := describe("a.toml", &report{Breaks: map[string]json.RawMessage{"TWICE": []byte("2"), "LOST": []byte("1")}}, nil)
		So(fine, ShouldBeFalse)
		So(line, ShouldEndWith, "broken: LOST 1, TWICE 2")
		_, fine = describe("a.toml", &report{Fault: "no request is served"}, nil)
		So(fine, ShouldBeFalse)
		_, fine = describe("a.toml", nil, errors.New("it doesn't build"))
		So(fine, ShouldBeFalse)
	})
}

func TestPlay(t *testing.T) {
	folder := t.TempDir()
	bench := func(script string) options {
		path := filepath.Join(folder, "bench")
		if err := os.WriteFile(path, []byte("#!/bin/sh\n"+script), 0o700); err != nil {
			t.Fatal(err)
		}
		return options{bench: path, site: "site.toml", jobs: 1}
	}
	Convey("The report is read", t, func() {
		result, err := play(bench(`echo '{"G":0.5,"served":0.6,"fault":null,"breaks":{"ORDER":3}}' > "$7"`), "day.toml")
		So(err, ShouldBeNil)
		line, fine := describe("day.toml", result, err)
		So(fine, ShouldBeFalse)
		So(line, ShouldContainSubstring, "ORDER 3")
	})
	Convey("Without a report the last line that the bench said is given", t, func() {
		_, err := play(bench("echo no such site; exit 2"), "day.toml")
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "no such site")
	})
}
