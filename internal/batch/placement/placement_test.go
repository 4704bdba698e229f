package placement

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/protocol"
)

func view(count int) protocol.StoreView {
	v := protocol.StoreView{Epoch: 1}
	for i := range count {
		v.Members = append(v.Members, protocol.StoreMember{Process: protocol.Process{
			Node: fmt.Sprintf("store-%d", i), Zone: fmt.Sprintf("zone-%d", i%3),
			IP: fmt.Sprintf("10.0.0.%d", i), Incarnation: "1",
		}})
	}
	return v
}

func TestPlacement(t *testing.T) {
	Convey("Replicas are in different zones and only on active stores, and kept replicas stay first", t, func() {
		v := view(12)
		v.Members[4].State = protocol.StoreRetiring
		for i := range 200 {
			id := fmt.Sprint("job", i)
			owner := v.Members[i%3].Process
			replicas := Replicas(id, v, []protocol.Process{owner}, 3)
			So(replicas, ShouldHaveLength, 3)
			So(replicas[0], ShouldResemble, owner)
			So(Contains(replicas, KeyOf(v.Members[4].Process)), ShouldBeFalse)
			zones := map[string]bool{}
			for _, replica := range replicas {
				zones[replica.Zone] = true
			}
			So(zones, ShouldHaveLength, 3)
		}
		So(Replicas("job", view(2), nil, 3), ShouldHaveLength, 2)
	})
	Convey("Removing a store changes only the sets of arbiters that contained it", t, func() {
		v := view(9)
		smaller := protocol.StoreView{Epoch: 2, Members: v.Members[1:]}
		counts := map[Key]int{}
		for i := range 900 {
			id := fmt.Sprint("job", i)
			before, after := Arbiters(id, v, 2), Arbiters(id, smaller, 2)
			So(before, ShouldHaveLength, 3)
			counts[KeyOf(before[0])]++
			if !Contains(before, KeyOf(v.Members[0].Process)) {
				So(after, ShouldResemble, before)
			}
		}
		for _, count := range counts {
			So(count, ShouldBeBetween, 60, 150)
		}
		So(Arbiters("job", protocol.StoreView{}, 2), ShouldBeEmpty)
		So(Arbiters("job", view(2), 2), ShouldHaveLength, 2)
		So([]int{Majority(1), Majority(2), Majority(3), Majority(5)}, ShouldResemble, []int{1, 2, 2, 3})
	})
}
