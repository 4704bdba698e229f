package simulation

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// pingPong runs two machines that answer each other's messages over a lossy link, and returns a trace of the
// messages that arrived.
func pingPong(seed uint64) []string {
	s := New(seed)
	s.Links.Default = Link{Delay: time.Millisecond, Jitter: 5 * time.Millisecond, Loss: 0.05}
	var trace []string
	var ping func(from, to string, round int)
	ping = func(from, to string, round int) {
		s.Send(from, to, round, func() {
			trace = append(trace, fmt.Sprint(s.Elapsed(), to, round))
			ping(to, from, round+1)
		})
	}
	for start := range 5 {
		ping("a", "b", start*1000)
	}
	s.Run(time.Second)
	return trace
}

func TestSimulation(t *testing.T) {
	Convey("The same seed gives the same run, another seed another one", t, func() {
		So(pingPong(1), ShouldResemble, pingPong(1))
		So(pingPong(1), ShouldNotResemble, pingPong(2))
	})

	Convey("Given a simulation", t, func() {
		s := New(1)
		var order []string
		note := func(text string) func() { return func() { order = append(order, text) } }

		Convey("events run by time, then in the order of scheduling", func() {
			s.After(2*time.Second, note("c"))
			s.After(time.Second, note("a"))
			s.After(time.Second, note("b"))
			s.After(time.Second, note("canceled")).Cancel()
			s.Run(2 * time.Second)
			So(order, ShouldResemble, []string{"a", "b", "c"})
			So(s.Elapsed(), ShouldEqual, 2*time.Second)
		})

		Convey("a stopped machine runs no timers of its old incarnation and gets no messages", func() {
			s.AfterOn("m", time.Second, note("old timer"))
			s.Send("x", "m", nil, note("lost"))
			s.Stop("m")
			s.Run(100 * time.Millisecond)
			s.Start("m")
			s.Send("x", "m", nil, note("message"))
			s.AfterOn("m", time.Second, note("timer"))
			s.Run(5 * time.Second)
			So(order, ShouldResemble, []string{"message", "timer"})
		})

		Convey("messages and timers of a paused machine wait in order", func() {
			s.Pause("m")
			s.AfterOn("m", time.Second, note("timer"))
			s.Send("x", "m", nil, note("message"))
			s.Run(5 * time.Second)
			So(order, ShouldBeEmpty)
			s.Resume("m")
			s.Run(0)
			So(order, ShouldResemble, []string{"message", "timer"})
		})

		Convey("a partition drops messages in its direction only", func() {
			s.Links.Partition("a", "b")
			So(s.Send("a", "b", nil, note("there")), ShouldBeFalse)
			So(s.Send("b", "a", nil, note("back")), ShouldBeTrue)
			s.Links.Heal("a", "b")
			So(s.Send("a", "b", nil, note("again")), ShouldBeTrue)
			s.Links.PartitionGroups([]string{"a"}, []string{"b", "c"})
			So(s.Links.Partitioned("c", "a"), ShouldBeTrue)
			So(s.Links.Partitioned("b", "c"), ShouldBeFalse)
		})

		Convey("an ordered link lets no message overtake", func() {
			s.Links.Default = Link{Jitter: time.Second, Ordered: true}
			var got []int
			for i := range 50 {
				s.Send("a", "b", i, func() { got = append(got, i) })
			}
			s.Run(2 * time.Second)
			for i := range 50 {
				if got[i] != i {
					t.Fatal(got)
				}
			}
		})
	})
}
