package batchproxy

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/protocol"
)

func TestLeastBacklogFirst(t *testing.T) {
	active := func(node, zone string) protocol.StoreMember {
		return protocol.StoreMember{Process: protocol.Process{Node: node, IP: node, Zone: zone}, State: protocol.StoreActive}
	}
	members := []protocol.StoreMember{active("busy", "z"), active("free", "z"), active("far", "y")}
	members = append(members, protocol.StoreMember{Process: protocol.Process{Node: "leaving", IP: "leaving", Zone: "z"}, State: protocol.StoreRetiring})
	order := []string{"busy", "free", "far", "leaving"}
	firsts := func(c *Caller) map[string]int {
		count := map[string]int{}
		for range 300 {
			list := c.leastBacklogFirst(order, members)
			if len(list) != len(order) {
				t.Fatal("the order lacks a store or has one twice")
			}
			count[list[0]]++
		}
		return count
	}
	Convey("The order stays if no backlog is known", t, func() {
		c, _ := caller()
		So(firsts(c), ShouldResemble, map[string]int{"busy": 300})
	})
	Convey("Of two stores that are drawn, the one with the shorter backlog is asked first; another zone adds to the backlog", t, func() {
		c, _ := caller()
		c.backlogs.ReportBacklog("busy", 900_000)
		c.backlogs.ReportBacklog("free", 50_000)
		count := firsts(c)
		So(count["busy"], ShouldEqual, 0)
		So(count["leaving"], ShouldEqual, 0)
		So(count["free"], ShouldBeGreaterThan, 150)
		So(count["far"], ShouldBeGreaterThan, 50)
		c.avoid("free")
		So(firsts(c), ShouldResemble, map[string]int{"far": 300})
	})
}
