package outcomes

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestOf(t *testing.T) {
	Convey("A late answer is told by what it waited for", t, func() {
		late := Attempt{Took: 500 * time.Millisecond, Target: 300 * time.Millisecond}
		So(Of(Attempt{Took: 200 * time.Millisecond, Target: 300 * time.Millisecond}), ShouldEqual, InTime)
		So(Of(Attempt{Took: time.Hour}), ShouldEqual, InTime)
		So(Of(late), ShouldEqual, LateServer)
		retried, reading, queued, waiting := late, late, late, late
		retried.Earlier = 1
		reading.Unread = 30_000
		queued.Present, queued.Places = 12, 12
		waiting.Present, waiting.Places, waiting.Waiting = 3, 12, 1
		So(Of(retried), ShouldEqual, LateRetried)
		So(Of(reading), ShouldEqual, LateReading)
		So(Of(queued), ShouldEqual, LateQueued)
		So(Of(waiting), ShouldEqual, LateQueued)
	})
}

func TestCounts(t *testing.T) {
	Convey("Totals stay, and what is new is told once", t, func() {
		c := New()
		c.Add("a", InTime)
		c.Add("a", InTime)
		c.Add("b", Lost)
		So(c.Since(), ShouldResemble, []Line{{"a", InTime, 2}, {"b", Lost, 1}})
		c.Add("b", Lost)
		So(c.Since(), ShouldResemble, []Line{{"b", Lost, 1}})
		So(c.Since(), ShouldBeEmpty)
		var text strings.Builder
		So(c.Write(&text), ShouldBeNil)
		So(text.String(), ShouldContainSubstring, "sprucelane_requests_total{route=\"b\",outcome=\"lost\"} 2\n")
	})
	Convey("Routes that come and go don't fill the memory", t, func() {
		c := New()
		for i := range 3 * mostKeys {
			c.Add(strings.Repeat("r", i%97)+string(rune('a'+i/97)), InTime)
		}
		So(len(c.Totals()), ShouldBeLessThanOrEqualTo, mostKeys+1)
	})
}
