package server

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestIncarnation(t *testing.T) {
	Convey("A disk keeps its incarnation, each start is counted, and an empty disk begins a new one", t, func() {
		directory := t.TempDir()
		first, err := openIncarnation(directory)
		So(err, ShouldBeNil)
		second, err := openIncarnation(directory)
		So(err, ShouldBeNil)
		So(second.id, ShouldEqual, first.id)
		So(second.starts, ShouldEqual, first.starts+1)
		other, err := openIncarnation(t.TempDir())
		So(err, ShouldBeNil)
		So(other.id, ShouldNotEqual, first.id)
		So(second.unreadable || other.unreadable, ShouldBeFalse)
		_, err = openIncarnation("")
		So(err, ShouldEqual, errNoDataDir)
	})
}
