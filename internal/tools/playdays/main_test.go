package main

import (
	"encoding/json"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/tools/benchrun"
)

func TestSummarize(t *testing.T) {
	Convey("A day without violations is ok", t, func() {
		line, ok := summarize("bench/days/calm.toml", &benchrun.Report{Score: 0.9, Served: 0.98}, nil)
		So(ok, ShouldBeTrue)
		So(line, ShouldStartWith, "calm ")
		So(line, ShouldEndWith, "worth 0.900 served 0.980")
	})
	Convey("Violated rules, a fault and a day that wasn't played are not", t, func() {
		violations := map[string]json.RawMessage{"TWICE": []byte("2"), "LOST": []byte("1")}
		line, ok := summarize("a.toml", &benchrun.Report{RuleViolations: violations}, nil)
		So(ok, ShouldBeFalse)
		So(line, ShouldEndWith, "broken: LOST 1, TWICE 2")
		_, ok = summarize("a.toml", &benchrun.Report{Fault: "no request is served"}, nil)
		So(ok, ShouldBeFalse)
		_, ok = summarize("a.toml", nil, errors.New("it doesn't build"))
		So(ok, ShouldBeFalse)
	})
}
