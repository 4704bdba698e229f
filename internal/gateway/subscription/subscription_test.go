package subscription

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/protocol"
)

func TestControlSelector(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("A listed control process of the same zone is chosen first, and one that failed backs off", t, func() {
		selector := NewControlSelector("front-a-1", "a")
		So(selector.Next(now), ShouldBeEmpty)
		selector.Seed([]string{"1", "2", "3"})
		So(selector.Next(now), ShouldNotBeEmpty)
		selector.Update([]protocol.ControlMember{{IP: "2", Zone: "a"}, {IP: "4", Zone: "b"}})
		So(selector.Next(now), ShouldEqual, "2")
		selector.MarkFailed("2", now)
		So(selector.Next(now), ShouldEqual, "4")
		selector.MarkFailed("4", now.Add(time.Millisecond))
		So(selector.Next(now.Add(time.Millisecond)), ShouldBeIn, "1", "3")
		selector.MarkFailed("1", now.Add(2*time.Millisecond))
		selector.MarkFailed("3", now.Add(3*time.Millisecond))
		So(selector.Next(now.Add(4*time.Millisecond)), ShouldEqual, "2")
		selector.Update(nil)
		So(selector.Next(now.Add(time.Minute)), ShouldEqual, "2")
	})
	Convey("Gateways are spread over equally good control processes", t, func() {
		chosen := map[string]int{}
		for _, node := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
			selector := NewControlSelector(node, "z")
			selector.Seed([]string{"1", "2", "3"})
			chosen[selector.Next(now)]++
		}
		So(chosen, ShouldHaveLength, 3)
	})
}

func TestKeyLease(t *testing.T) {
	now := time.Now()
	Convey("A lease counts from when the poll was sent, and is never shortened", t, func() {
		l := NewKeyLease(true, 5*time.Second, now)
		So(l.Valid(now), ShouldBeFalse)
		l.Renew(now, time.Second)
		So(l.Valid(now.Add(3599*time.Millisecond)), ShouldBeTrue)
		So(l.Valid(now.Add(3600*time.Millisecond)), ShouldBeFalse)
		l.Renew(now.Add(-time.Second), 0)
		So(l.Valid(now.Add(3599*time.Millisecond)), ShouldBeTrue)
		l.Renew(now.Add(time.Second), 0)
		So(l.Valid(now.Add(5599*time.Millisecond)), ShouldBeTrue)
		So(l.Valid(now.Add(5600*time.Millisecond)), ShouldBeFalse)
	})
	Convey("If keys don't expire by lease the lease is always valid", t, func() {
		So(NewKeyLease(false, time.Second, now).Valid(now.Add(time.Hour)), ShouldBeTrue)
	})
}

// unused is a pool without connections.
type unused struct{}

func (unused) Apply([]pool.Change) {}

func testSubscription(now time.Time) *Subscription {
	settings := &node.Settings{Bounds: node.Bounds{Closed: true, Revoke: 5 * time.Second}}
	return newAt(Options{Settings: settings, Servers: endpoints.NewRegistry(unused{}), Ready: func() bool { return false }}, now)
}

func document(index uint64, routes string) *protocol.ConfigurationUpdate {
	return &protocol.ConfigurationUpdate{Index: index, Whole: []byte(`{"generation":` + fmt.Sprint(index) + `,"routes":[` + routes + `],"backends":[],"tenants":[]}`)}
}

func TestFirstConfiguration(t *testing.T) {
	now := time.Now()
	Convey("Given a new process and a control process that doesn't confirm its state", t, func() {
		s := testSubscription(now)
		polling := newPollState(now)
		unconfirmed := &protocol.Update{Sequence: 1, Configuration: document(3, "")}
		s.handleUpdate(unconfirmed, now)
		_, stays := s.handlePollAnswer(&polling, now, now, unconfirmed)
		So(stays, ShouldBeTrue)

		Convey("the process has no configuration in force, and leaves that control process", func() {
			So(s.Configuration(), ShouldBeNil)
			So(s.buildPoll(2).Configuration, ShouldEqual, 3)
			later := now.Add(maxUnconfirmed + time.Millisecond)
			_, stays := s.handlePollAnswer(&polling, later, later, &protocol.Update{Sequence: 2})
			So(stays, ShouldBeFalse)
		})
		Convey("the configuration takes effect once it is confirmed", func() {
			s.handlePollAnswer(&polling, now, now, &protocol.Update{Sequence: 2, Fresh: true})
			So(s.Configuration().Index, ShouldEqual, 3)
			So(s.KeyLeaseValid(now), ShouldBeTrue)
			Convey("and later ones at once", func() {
				s.handleUpdate(&protocol.Update{Configuration: document(4, "")}, now)
				So(s.Configuration().Index, ShouldEqual, 4)
			})
		})
	})
}

func TestServerList(t *testing.T) {
	now := time.Now()
	list := func(source string, version uint64) *protocol.ServerList {
		return &protocol.ServerList{Version: version, Source: source, Servers: []protocol.Server{{ID: source}}}
	}
	Convey("Given a list that was a second old when a poll was answered", t, func() {
		var l serverListState
		l.reconnected(now.Add(-time.Minute))
		_, err := l.apply(&protocol.Update{Servers: list("a", 7), ListRead: true, ListAge: time.Second}, now)
		So(err, ShouldBeNil)
		l.observeAnswer(now, &protocol.Update{ListRead: true, ListAge: time.Second})

		Convey("an older list of another control process isn't applied, and a complete list is requested", func() {
			_, err := l.apply(&protocol.Update{Servers: list("b", 9), ListRead: true, ListAge: 20 * time.Second}, now.Add(time.Second))
			So(err, ShouldEqual, errStaleList)
			So(l.current.Source, ShouldEqual, "a")
			So(l.incomplete, ShouldBeTrue)
			Convey("answers of that control process don't change the age of the current list", func() {
				l.observeAnswer(now.Add(time.Minute), &protocol.Update{ListRead: true})
				So(l.asOf, ShouldEqual, now.Add(-time.Second))
			})
			Convey("its list is applied once it has read the platform again", func() {
				_, err := l.apply(&protocol.Update{Servers: list("b", 10), ListRead: true}, now.Add(2*time.Second))
				So(err, ShouldBeNil)
				So(l.incomplete, ShouldBeFalse)
			})
		})
		Convey("a list pushed before any answer is at most as old as its age at the beginning of the connection", func() {
			l.reconnected(now.Add(time.Second))
			_, err := l.apply(&protocol.Update{Servers: list("b", 9), ListRead: true, ListAge: time.Second}, now.Add(5*time.Second))
			So(err, ShouldBeNil)
			So(l.asOf, ShouldEqual, now)
		})
		Convey("a list that may be as new is applied", func() {
			_, err := l.apply(&protocol.Update{Servers: list("b", 9), ListRead: true, ListAge: 3 * time.Second}, now.Add(2*time.Second))
			So(err, ShouldBeNil)
		})
		Convey("a list of a control process that doesn't state its age is applied", func() {
			_, err := l.apply(&protocol.Update{Servers: list("b", 9)}, now.Add(time.Second))
			So(err, ShouldBeNil)
		})
	})
}

// TestMembers checks that only confirmed lists of processes are applied.
func TestMembers(t *testing.T) {
	set := func(epoch uint64, settled bool) protocol.StoreView {
		return protocol.StoreView{Epoch: epoch, Settled: settled}
	}
	Convey("Only a confirmed list takes effect, and the set of batch processes never goes back", t, func() {
		s := New(Options{Settings: &node.Settings{}, Ready: func() bool { return true }})
		s.applyMembers(&protocol.MemberList{Version: 4, Stores: set(9, false), Control: []protocol.ControlMember{{IP: "127.0.0.9", Zone: "z"}}})
		So(s.Members(), ShouldBeNil)
		So(s.control.Next(time.Now()), ShouldEqual, "127.0.0.9") // it may be subscribed to nevertheless
		s.applyMembers(&protocol.MemberList{Version: 1, Vouched: true, Stores: set(5, true), QuotaAddress: "a"})
		So(s.Members().Stores, ShouldResemble, set(5, true))
		s.applyMembers(&protocol.MemberList{Version: 7, Stores: set(6, false)})
		So(s.Members().QuotaAddress, ShouldEqual, "a")
		for _, older := range []protocol.StoreView{set(4, true), set(5, false), {}} {
			s.applyMembers(&protocol.MemberList{Version: 1, Vouched: true, Stores: older, QuotaAddress: "b"})
			So(s.Members().Stores, ShouldResemble, set(5, true))
			So(s.Members().QuotaAddress, ShouldEqual, "b")
		}
		s.applyMembers(&protocol.MemberList{Version: 2, Vouched: true, Stores: set(6, false)})
		So(s.Members().Stores, ShouldResemble, set(6, false))
	})
}
