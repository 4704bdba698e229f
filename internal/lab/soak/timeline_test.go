package soak

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTimeline(t *testing.T) {
	Convey("A process is disturbed from the beginning of a fault to its end", t, func() {
		line := newTimeline()
		before := time.Now()
		end := line.disturb("gateway")
		So(line.disturbed("gateway", time.Now()), ShouldBeTrue)
		So(line.disturbed("other", before), ShouldBeFalse)
		end()
		So(line.disturbed("gateway", before), ShouldBeTrue)
		So(line.disturbed("gateway", time.Now()), ShouldBeFalse)
		Convey("A stall of the machine disturbs all processes", func() {
			line.hostStalled(before)
			So(line.disturbed("other", before), ShouldBeTrue)
		})
	})
}

func TestGracefulExit(t *testing.T) {
	Convey("A process that exits as it was asked to owes responses to what began before its exit", t, func() {
		timeline := newTimeline()
		before := time.Now()
		started := timeline.exitGracefully("gateway")
		So(timeline.disturbed("gateway", before), ShouldBeFalse)
		So(timeline.disturbed("gateway", time.Now()), ShouldBeTrue)
		started()
		So(timeline.disturbed("gateway", time.Now()), ShouldBeFalse)
		So(timeline.disturbed("gateway", before), ShouldBeFalse)
		timeline.disturb("gateway")()
		So(timeline.disturbed("gateway", before), ShouldBeTrue)
	})
}
