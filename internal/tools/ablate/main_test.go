package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTable(t *testing.T) {
	Convey("Each row has the change of the score without a mechanism, over seeds", t, func() {
		o := options{days: []string{"busy", "calm"}, seeds: []string{"1", "2"}, mechanisms: []string{"affinity"}}
		results := []result{
			{run: run{day: "busy", seed: "1"}, score: 0.8},
			{run: run{day: "busy", seed: "2"}, score: 0.6},
			{run: run{day: "calm", seed: "1"}, score: 0.9},
			{run: run{day: "calm", seed: "2"}, score: 0.9},
			{
				run:   run{off: "affinity", day: "busy", seed: "1"},
				score: 0.7,
			},
			{run: run{off: "affinity", day: "busy", seed: "2"}, score: 0.4, ruleViolated: true},
			{run: run{off: "affinity", day: "calm", seed: "1"}, err: errors.New("it doesn't build")},
		}
		So(table(o, results), ShouldEqual, "| switched off | busy | calm |\n|---|---|---|\n"+
			"| nothing (worth) | 0.700 ± 0.100 | 0.900 ± 0.000 |\n| affinity | -0.150 ± 0.050, broken | not played |\n")
	})
}

func TestSwitchOff(t *testing.T) {
	Convey("The deploy file's build line gets the tag and the mechanism", t, func() {
		path := filepath.Join(t.TempDir(), "system.toml")
		So(os.WriteFile(path, []byte("build = \"go build -ldflags=-linkmode=external ./x\"\n"), 0o600), ShouldBeNil)
		So(switchOff(path, "silence"), ShouldBeNil)
		text, _ := os.ReadFile(path)
		So(string(text), ShouldEqual, "build = \"go build -tags ablation -ldflags='-linkmode=external "+
			"-X sprucelane.example/sprucelane/internal/ablation.off=silence' ./x\"\n")
		So(switchOff(path, "silence"), ShouldNotBeNil)
	})
	Convey("A name that is not the name of a mechanism is reported", t, func() {
		o := &options{mechanisms: []string{"affinity", "afinity"}}
		So(o.unknownMechanisms(), ShouldResemble, []string{"afinity"})
	})
}
