package main

import (
	"encoding/json"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/tools/benchrun"
)

func TestDescribe(t *testing.T) {
	Convey("A day that broke nothing is fine", t, func() {
		line, fine := summarize("bench/days/calm.toml", &benchrun.Report{Score: 0.9, Served: 0.98}, nil)
		So(fine, ShouldBeTrue)
		So(line, ShouldStartWith, "calm ")
		So(line, ShouldEndWith, "worth 0.900 served 0.980")
	})
	Convey("Broken rules, a fault and a day that wasn't played are not", t, func() {
		line, fine := summarize("a.toml", &benchrun.Report{RuleViolations: map[string]json.RawMessage{"TWICE": []byte("2"), "LOST": []byte("1")}}, nil)
		So(fine, ShouldBeFalse)
		So(line, ShouldEndWith, "broken: LOST 1, TWICE 2")
		_, fine = summarize("a.toml", &benchrun.Report{Fault: "no request is served"}, nil)
		So(fine, ShouldBeFalse)
		_, fine = summarize("a.toml", nil, errors.New("it doesn't build"))
		So(fine, ShouldBeFalse)
	})
}
