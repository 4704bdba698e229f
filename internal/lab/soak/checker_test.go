package soak

import (
	"context"
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestChecker(t *testing.T) {
	Convey("A violation is reported with the faults before it, once for violations that follow each other", t, func() {
		line := newTimeline()
		end := line.add(KindPause, "store-1")
		c := newChecker(line, io.Discard)
		c.violated(RuleAnswer, "none from %s", "gateway-1")
		end()
		c.violated(RuleAnswer, "none")
		recorded, omitted := c.violations()
		So(recorded, ShouldHaveLength, 2)
		So(omitted, ShouldEqual, 0)
		So(recorded[0].Timeline, ShouldContainSubstring, "pause store-1")
		So(recorded[1].Timeline, ShouldBeEmpty)
		So(line.countKinds()[KindPause], ShouldEqual, 1)
	})
	Convey("Nothing counts as a violation once the run is interrupted", t, func() {
		c := newChecker(newTimeline(), io.Discard)
		ctx, cancel := context.WithCancel(context.Background())
		c.checkDuring(ctx)
		c.violated(RuleAnswer, "none")
		cancel()
		c.violated(RuleAnswer, "none")
		recorded, _ := c.violations()
		So(recorded, ShouldHaveLength, 1)
	})
}
