package subscription

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/protocol"
)

func TestHomes(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("A listed one of the own zone goes first, and one that failed rests", t, func() {
		h := NewHomes("front-a-1", "a")
		So(h.Next(now), ShouldBeEmpty)
		h.Seed([]string{"1", "2", "3"})
		So(h.Next(now), ShouldNotBeEmpty)
		h.Learn([]protocol.ControlMember{{IP: "2", Zone: "a"}, {IP: "4", Zone: "b"}})
		So(h.Next(now), ShouldEqual, "2")
		h.Failed("2", now)
		So(h.Next(now), ShouldEqual, "4")
		h.Failed("4", now.Add(time.Millisecond))
		So(h.Next(now.Add(time.Millisecond)), ShouldBeIn, "1", "3")
		h.Failed("1", now.Add(2*time.Millisecond))
		h.Failed("3", now.Add(3*time.Millisecond))
		So(h.Next(now.Add(4*time.Millisecond)), ShouldEqual, "2")
		h.Learn(nil)
		So(h.Next(now.Add(time.Minute)), ShouldEqual, "2")
	})
	Convey("Gateways are spread over the homes that are as good for them", t, func() {
		chosen := map[string]int{}
		for _, node := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
			h := NewHomes(node, "z")
			h.Seed([]string{"1", "2", "3"})
			chosen[h.Next(now)]++
		}
		So(chosen, ShouldHaveLength, 3)
	})
}

func TestLease(t *testing.T) {
	now := time.Now()
	Convey("A lease counts from when the poll was sent, and only rises", t, func() {
		l := NewLease(true, 5*time.Second, now)
		So(l.Holds(now), ShouldBeFalse)
		l.Renew(now, time.Second)
		So(l.Holds(now.Add(3599*time.Millisecond)), ShouldBeTrue)
		So(l.Holds(now.Add(3600*time.Millisecond)), ShouldBeFalse)
		l.Renew(now.Add(-time.Second), 0)
		So(l.Holds(now.Add(3599*time.Millisecond)), ShouldBeTrue)
		l.Renew(now.Add(time.Second), 0)
		So(l.Holds(now.Add(5599*time.Millisecond)), ShouldBeTrue)
		So(l.Holds(now.Add(5600*time.Millisecond)), ShouldBeFalse)
	})
	Convey("Where keys don't end by lease it always holds", t, func() {
		So(NewLease(false, time.Second, now).Holds(now.Add(time.Hour)), ShouldBeTrue)
	})
}
