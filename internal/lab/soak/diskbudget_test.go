package soak

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBudget(t *testing.T) {
	Convey("No more disks are wiped than may be lost, until the system has recovered from the last", t, func() {
		b := newDiskBudget(2)
		So(b.acquire(1), ShouldEqual, 1)
		So(b.acquire(2), ShouldEqual, 1)
		So(b.acquire(1), ShouldEqual, 0)
		b.reset()
		So(b.acquire(3), ShouldEqual, 2)
		So(b.wiped(), ShouldEqual, 4)
	})
}
