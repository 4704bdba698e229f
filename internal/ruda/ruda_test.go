package ruda

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestScore(t *testing.T) {
	Convey("The score is inverse priority times share of resource times inverse share of requests", t, func() {
		So(Score(0.2, 3, 4, 10, 40), ShouldAlmostEqual, 15)
		So(Score(0.5, 0, 0, 0, 0), ShouldEqual, 0)
	})
	Convey("Priorities fall with the rank and sum to 1", t, func() {
		priorities := Priorities([]int{0, 0, 2})
		So(priorities[0], ShouldEqual, priorities[1])
		So(priorities[0], ShouldBeGreaterThan, priorities[2])
		So(priorities[0]+priorities[1]+priorities[2], ShouldAlmostEqual, 1)
	})
}
