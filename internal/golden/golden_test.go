package golden

import (
	"reflect"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// inner and outer have each kind of field.
type inner struct {
	Number int8
	Flags  []bool
}

type outer struct {
	Inner   *inner
	Names   map[string]uint16
	Digest  [2]byte
	Share   float64
	Message any
	hidden  int
}

func TestFill(t *testing.T) {
	Convey("Fill sets all exported fields, to the same values each time", t, func() {
		var one, other outer
		Fill(&one)
		Fill(&other)
		So(one, ShouldResemble, other)
		So(one.Inner.Number, ShouldNotEqual, 0)
		So(one.Inner.Flags, ShouldResemble, []bool{true, true})
		So(one.Names, ShouldHaveLength, 1)
		So(one.Digest[0], ShouldNotEqual, one.Digest[1])
		So(one.Message, ShouldBeNil)
		So(one.hidden, ShouldEqual, 0)
	})
}

func TestForm(t *testing.T) {
	Convey("Form names the fields that gob encodes", t, func() {
		So(Form(reflect.TypeFor[outer]()), ShouldEqual,
			"{Inner:*{Number:int8 Flags:[]bool} Names:map[string]uint16 Digest:[2]uint8 Share:float64 Message:interface}")
	})
}

// TestRename checks that the form of a type changes when a field is renamed, which gob alone doesn't detect.
func TestRename(t *testing.T) {
	type before struct{ Life uint64 }
	type after struct{ Incarnation uint64 }
	Convey("A type with a renamed field has another form", t, func() {
		So(Form(reflect.TypeFor[before]()), ShouldNotEqual, Form(reflect.TypeFor[after]()))
	})
}
