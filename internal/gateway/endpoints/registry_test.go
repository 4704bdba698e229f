package endpoints

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/policy"
)

type recorder struct {
	members map[policy.ServerID]pool.Change
}

func (r *recorder) Apply(changes []pool.Change) {
	for _, change := range changes {
		r.members[change.ID] = change
	}
}

func TestRegistry(t *testing.T) {
	Convey("A list is replaced as a whole, and each change is reported to the pool", t, func() {
		members := &recorder{members: map[policy.ServerID]pool.Change{}}
		r := NewRegistry(members)
		So(r.Current(), ShouldBeNil)
		r.Apply(&protocol.ServerList{Version: 1, Servers: []protocol.Server{
			{ID: "b", Backend: "x", Address: "1:1"}, {ID: "a", Backend: "x", Address: "2:2"}, {ID: "c", Backend: "y", Address: "3:3"}}})
		first := r.Current()
		So(first.ForBackend("x"), ShouldHaveLength, 2)
		So(first.ForBackend("x")[0].ID, ShouldEqual, "a")
		b := first.ForBackend("x")[1].Number
		r.Apply(&protocol.ServerList{Version: 2, Servers: []protocol.Server{
			{ID: "b", Backend: "x", Address: "1:1", Draining: true}, {ID: "a", Backend: "x", Address: "2:2"}}})
		So(first.ForBackend("x"), ShouldHaveLength, 2)
		So(r.Current().ForBackend("x"), ShouldHaveLength, 1)
		So(r.Current().ForBackend("y"), ShouldBeEmpty)
		So(members.members[b].State, ShouldEqual, policy.Draining)
		c := first.ForBackend("y")[0].Number
		So(members.members[c].State, ShouldEqual, policy.Departed)
		So(r.Current().ByNumber(b), ShouldBeNil)
	})
	Convey("A server that gets the address of another one has another number", t, func() {
		members := &recorder{members: map[policy.ServerID]pool.Change{}}
		r := NewRegistry(members)
		r.Apply(&protocol.ServerList{Servers: []protocol.Server{{ID: "a", Backend: "x", Address: "1:1"}}})
		r.Apply(&protocol.ServerList{Servers: []protocol.Server{{ID: "z", Backend: "y", Address: "1:1"}}})
		So(members.members, ShouldHaveLength, 2)
		So(r.Current().ForBackend("x"), ShouldBeEmpty)
		So(r.Current().ForBackend("y"), ShouldHaveLength, 1)
	})
}
