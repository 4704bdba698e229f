package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/protocol"
)

// listServers returns servers that alternate between two zones.
func listServers(count, slots int) []protocol.Server {
	var servers []protocol.Server
	for i := range count {
		servers = append(servers, protocol.Server{
			ID: fmt.Sprint("i-", i), Backend: "b", Address: fmt.Sprint("10.0.0.", i, ":1"),
			Zone: fmt.Sprint("z", i%2), Slots: slots,
		})
	}
	return servers
}

func tasks(id string, count int) []Task {
	var all []Task
	for i := range count {
		all = append(all, Task{Job: id, Index: i, Prefix: "p"})
	}
	return all
}

func TestPlanner(t *testing.T) {
	Convey("The job with the earliest deadline starts first, in the planner's zone first, within the limits", t, func() {
		p := New("z0", 1, nil)
		p.SetServers(listServers(4, 8))
		p.Add("late", 20*time.Second, []string{"b"}, tasks("late", 10))
		p.Add("soon", 10*time.Second, []string{"b"}, tasks("soon", 3))
		var order []Assignment
		for {
			a, ok := p.Next(0)
			if !ok {
				break
			}
			order = append(order, a)
		}
		So(order, ShouldHaveLength, 8) // a quarter of the slots of four servers
		for i, a := range order {
			So(a.Job == "soon", ShouldEqual, i < 3)
			So(a.Server.Zone == "z0", ShouldEqual, i < 4)
		}
		waiting, running := p.Counts()
		So(waiting, ShouldEqual, 5)
		So(running, ShouldEqual, 8)
		p.Finished(order[0].Server.ID)
		a, ok := p.Next(0)
		So(ok, ShouldBeTrue)
		So(a.Server.ID, ShouldEqual, order[0].Server.ID)
		p.Remove("late")
		p.Finished(order[1].Server.ID)
		_, ok = p.Next(0)
		So(ok, ShouldBeFalse)
	})
	Convey("Limits grow with prompt first events, and shrink with late ones and rejections", t, func() {
		p := New("z0", 1, nil)
		p.SetServers(listServers(1, 20))
		s := p.servers["i-0"]
		before := s.limit
		for range 400 {
			p.ObserveFirstEvent("i-0", 50*time.Millisecond, time.Second)
		}
		So(s.limit, ShouldBeGreaterThan, before)
		So(s.limit, ShouldBeLessThanOrEqualTo, maxLimitShare*20)
		grown := s.limit
		p.ObserveFirstEvent("i-0", time.Second, 2*time.Second)
		So(s.limit, ShouldBeLessThan, grown)
		for i := range 50 {
			p.Rejected("i-0", time.Duration(3+i)*time.Second, 0)
		}
		So(s.limit, ShouldEqual, minLimit)
		So(s.hasCapacity(52*time.Second), ShouldBeFalse)
		So(s.hasCapacity(53*time.Second), ShouldBeTrue)
	})
	Convey("A requeued task goes to another server, and an unlisted server's state is dropped", t, func() {
		p := New("z0", 1, nil)
		p.SetServers(listServers(2, 8))
		p.Add("job", time.Second, []string{"b"}, tasks("job", 1))
		a, _ := p.Next(0)
		So(a.Server.ID, ShouldEqual, "i-0")
		p.Finished("i-0")
		p.Requeue(a.Task, time.Second, "i-0")
		_, ok := p.Next(0)
		So(ok, ShouldBeFalse)
		a, ok = p.Next(time.Second)
		So(ok, ShouldBeTrue)
		So(a.Server.ID, ShouldEqual, "i-1")
		p.SetServers(listServers(1, 8))
		So(p.HasServer("i-1"), ShouldBeFalse)
		p.Finished("i-1")
		So(p.Waiting("job"), ShouldBeEmpty)
		_, running := p.Counts()
		So(running, ShouldEqual, 0)
	})
}
