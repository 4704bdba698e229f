package slots_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/slots"
)

// TestCopy copies a store, wipes the original and checks that the copy still holds the records. It also checks
// that a copy over the maximum size writes nothing.
func TestCopy(t *testing.T) {
	Convey("A copy holds the contents of the store, and its size is bounded", t, func() {
		fs := slots.Directory(t.TempDir())
		store, _, err := slots.Open(fs, slots.Options{})
		So(err, ShouldBeNil)
		So(store.Append([]byte("record")), ShouldBeNil)
		So(store.Close(), ShouldBeNil)
		So(slots.Copy(fs, slots.Options{}, "kept-", 10), ShouldWrap, slots.ErrTooLarge)
		found, err := slots.Verify(fs, slots.Options{Prefix: "kept-"})
		So(err, ShouldBeNil)
		So(found.Found, ShouldBeFalse)
		So(slots.Copy(fs, slots.Options{}, "kept-", 1<<20), ShouldBeNil)
		So(slots.Wipe(fs, slots.Options{}), ShouldBeNil)
		found, err = slots.Verify(fs, slots.Options{Prefix: "kept-"})
		So(err, ShouldBeNil)
		So(found.Records, ShouldResemble, [][]byte{[]byte("record")})
		found, err = slots.Verify(fs, slots.Options{})
		So(err, ShouldBeNil)
		So(found.Found, ShouldBeFalse)
	})
}
