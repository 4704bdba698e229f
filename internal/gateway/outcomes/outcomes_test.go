package outcomes

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestClassify(t *testing.T) {
	Convey("A late response is classified by what it waited for", t, func() {
		late := Attempt{Latency: 500 * time.Millisecond, Target: 300 * time.Millisecond}
		So(Classify(Attempt{Latency: 200 * time.Millisecond, Target: 300 * time.Millisecond}), ShouldEqual, InTime)
		So(Classify(Attempt{Latency: time.Hour}), ShouldEqual, InTime)
		So(Classify(late), ShouldEqual, LateServer)
		retried, reading, queued, waiting := late, late, late, late
		retried.EarlierAttempts = 1
		reading.PrefillTokens = 30_000
		queued.InFlight, queued.Slots = 12, 12
		waiting.InFlight, waiting.Slots, waiting.Queued = 3, 12, 1
		So(Classify(retried), ShouldEqual, LateRetried)
		So(Classify(reading), ShouldEqual, LatePrefill)
		So(Classify(queued), ShouldEqual, LateQueued)
		So(Classify(waiting), ShouldEqual, LateQueued)
	})
}

func TestCounts(t *testing.T) {
	Convey("Totals stay, and Delta returns what is new once", t, func() {
		c := New()
		c.Add("a", InTime)
		c.Add("a", InTime)
		c.Add("b", Lost)
		So(c.Delta(), ShouldResemble, []RouteCount{{"a", InTime, 2}, {"b", Lost, 1}})
		c.Add("b", Lost)
		So(c.Delta(), ShouldResemble, []RouteCount{{"b", Lost, 1}})
		So(c.Delta(), ShouldBeEmpty)
		var text strings.Builder
		So(c.WritePrometheus(&text), ShouldBeNil)
		So(text.String(), ShouldContainSubstring, "sprucelane_requests_total{route=\"b\",outcome=\"lost\"} 2\n")
	})
	Convey("The number of keys is bounded", t, func() {
		c := New()
		for i := range 3 * maxKeys {
			c.Add(strings.Repeat("r", i%97)+string(rune('a'+i/97)), InTime)
		}
		So(len(c.Totals()), ShouldBeLessThanOrEqualTo, maxKeys+1)
	})
}
