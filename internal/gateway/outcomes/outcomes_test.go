package outcomes

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestClassify(t *testing.T) {
	Convey("A late response is classified by the cause of the delay", t, func() {
		late := Attempt{Latency: 500 * time.Millisecond, Target: 300 * time.Millisecond}
		So(Classify(Attempt{Latency: 200 * time.Millisecond, Target: 300 * time.Millisecond}), ShouldEqual, InTime)
		So(Classify(Attempt{Latency: time.Hour}), ShouldEqual, InTime)
		So(Classify(late), ShouldEqual, LateServer)
		retried, prefill, queued, waiting := late, late, late, late
		retried.EarlierAttempts = 1
		prefill.PrefillTokens = 30_000
		queued.InFlight, queued.Slots = 12, 12
		waiting.InFlight, waiting.Slots, waiting.Queued = 3, 12, 1
		So(Classify(retried), ShouldEqual, LateRetried)
		So(Classify(prefill), ShouldEqual, LatePrefill)
		So(Classify(queued), ShouldEqual, LateQueued)
		So(Classify(waiting), ShouldEqual, LateQueued)
	})
}

func TestCounts(t *testing.T) {
	Convey("Totals accumulate, and Delta returns each count once", t, func() {
		c := New()
		c.Add("a", InTime)
		c.Add("a", InTime)
		c.Add("b", Lost)
		So(c.Delta(), ShouldResemble, []RouteCount{{"a", InTime, 2}, {"b", Lost, 1}})
		c.Add("b", Lost)
		So(c.Delta(), ShouldResemble, []RouteCount{{"b", Lost, 1}})
		So(c.Delta(), ShouldBeEmpty)
		So(c.Totals(), ShouldResemble, []RouteCount{{"a", InTime, 2}, {"b", Lost, 2}})
	})
	Convey("The number of keys is bounded", t, func() {
		c := New()
		for i := range 3 * maxKeys {
			c.Add(strings.Repeat("r", i%97)+string(rune('a'+i/97)), InTime)
		}
		So(len(c.Totals()), ShouldBeLessThanOrEqualTo, maxKeys+1)
	})
}

func TestLatencies(t *testing.T) {
	Convey("Latencies are counted by route, in the bucket with the lowest bound that isn't below them", t, func() {
		c := New()
		So(len(Latencies{}.Buckets), ShouldEqual, len(LatencyBounds)+1)
		c.AddLatency("a", 25*time.Millisecond)
		c.AddLatency("a", 26*time.Millisecond)
		c.AddLatency("a", time.Hour)
		found := c.RouteLatencies()["a"]
		So(found.Buckets, ShouldResemble, [12]uint64{0: 1, 1: 1, 11: 1})
		So(found.Sum, ShouldAlmostEqual, 3600.051)
	})
	Convey("The number of routes is bounded", t, func() {
		c := New()
		for i := range 3 * maxRoutes {
			c.AddLatency(strings.Repeat("r", i), time.Second)
		}
		So(len(c.RouteLatencies()), ShouldBeLessThanOrEqualTo, maxRoutes+1)
		total := uint64(0)
		for _, histogram := range c.RouteLatencies() {
			total += histogram.Buckets[7]
		}
		So(total, ShouldEqual, 3*maxRoutes)
	})
}
