package soak

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/fake/modelserver"
	"sprucelane.example/sprucelane/internal/lab/system"
)

// result returns the complete result of an item, as the fake model servers generate it.
func result(item string) system.BatchResult {
	const events = 10
	return system.BatchResult{ID: item, State: "completed", Text: modelserver.Text(item, events)}
}

func results(from, total int, items ...string) system.Results {
	read := system.Results{Total: total, NextToken: from + len(items)}
	for _, item := range items {
		read.Results = append(read.Results, result(item))
	}
	return read
}

func TestPositions(t *testing.T) {
	Convey("Given a batch job of three items of which two were read", t, func() {
		j := newJobSet().add("job-1", 3)
		So(j.checkResults(0, results(0, 3, "a", "b")), ShouldBeEmpty)
		Convey("The same again and the rest are accepted", func() {
			So(j.checkResults(1, results(1, 3, "b", "c")), ShouldBeEmpty)
			So(j.complete(), ShouldBeTrue)
		})
		Convey("Another item at a position is a problem", func() {
			So(j.checkResults(0, results(0, 3, "c")), ShouldNotBeEmpty)
		})
		Convey("An item at a second position is a problem", func() {
			So(j.checkResults(2, results(2, 3, "a")), ShouldNotBeEmpty)
		})
		Convey("Another total, another next position and a part of an item are problems", func() {
			So(j.checkResults(2, results(2, 4, "c")), ShouldNotBeEmpty)
			read := results(2, 3, "c")
			read.NextToken = 2
			So(j.checkResults(2, read), ShouldNotBeEmpty)
			read = results(2, 3, "c")
			read.Results[0].Text = read.Results[0].Text[1:]
			So(j.checkResults(2, read), ShouldNotBeEmpty)
		})
	})
}

func TestRejections(t *testing.T) {
	Convey("A rejection is relied on only where no submission was indeterminate", t, func() {
		j, other := newJobSet().add("job-1", 1), newJobSet().add("job-2", 1)
		So(j.giveUp(), ShouldBeTrue)
		other.indeterminate = true
		So(other.giveUp(), ShouldBeFalse)
	})
}
