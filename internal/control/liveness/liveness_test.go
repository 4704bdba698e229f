package liveness

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/protocol"
)

// store returns an incarnation of a batch process.
func store(node, incarnation string) protocol.Process {
	return protocol.Process{Node: node, Role: protocol.RoleBatch, IP: "10.0.0." + node, Incarnation: incarnation}
}

func viewOf(epoch uint64, members ...protocol.StoreMember) protocol.StoreView {
	return protocol.StoreView{Epoch: epoch, Members: members}
}

const second = time.Second

func TestStores(t *testing.T) {
	member := protocol.StoreMember{Process: store("1", "a")}
	Convey("Joins returns a batch process that polls, on the leader only", t, func() {
		table := New()
		So(table.Observe(Contact{Process: store("1", "a"), At: second}), ShouldBeTrue)
		So(table.Observe(Contact{Process: store("1", "a"), At: second + 1}), ShouldBeFalse)
		So(table.Joins(second, viewOf(0), admitAll), ShouldBeEmpty)
		table.SetLeadership(second, 1, true)
		So(table.Joins(second, viewOf(0), admitAll), ShouldResemble, []protocol.Process{store("1", "a")})
		So(table.Joins(second, viewOf(1, member), admitAll), ShouldBeEmpty)
		So(table.Observe(Contact{Process: store("1", "b"), At: 2 * second}), ShouldBeTrue)
		So(table.Joins(2*second, viewOf(1, member), admitAll), ShouldResemble, []protocol.Process{store("1", "b")})
		So(table.Joins(5*second, viewOf(1, member), admitAll), ShouldBeEmpty)
	})
	Convey("A timed-out member is evicted once a new leader has waited for EvictAfter and all control processes report", t, func() {
		table := New()
		table.Observe(Contact{Process: store("1", "a"), At: 0})
		table.SetLeadership(10*second, 1, true)
		table.ReportReceived("c2", 12*second)
		So(table.Evictions(12*second, viewOf(1, member), []string{"c2"}), ShouldBeEmpty)
		So(table.Evictions(10*second+EvictAfter, viewOf(1, member), []string{"c2"}), ShouldHaveLength, 1)
		So(table.Evictions(10*second+EvictAfter, viewOf(1, member), []string{"c2", "c3"}), ShouldBeEmpty)
		So(table.Evictions(14*second, viewOf(1, member), []string{"c2"}), ShouldBeEmpty)
		table.Observe(Contact{Process: store("1", "a"), At: 12 * second})
		So(table.Evictions(13*second, viewOf(1, member), nil), ShouldBeEmpty)
		So(table.Evictions(12*second+EvictAfter, viewOf(1, member), nil), ShouldHaveLength, 1)
	})
	Convey("A member isn't evicted before the end of a lease that a control process outside the new view may have granted", t, func() {
		table := New()
		table.SetLeadership(0, 1, true)
		// The member then polls c3, which can't report to this process.
		table.Observe(Contact{Process: store("1", "a"), At: 10 * second})
		table.ReportReceived("c2", 13*second)
		So(table.Evictions(13*second, viewOf(1, member), []string{"c2", "c3"}), ShouldBeEmpty)
		table.SetLeadership(12*second, 2, true) // without c3, whose leader lease ended just now
		So(table.Evictions(13*second, viewOf(1, member), []string{"c2"}), ShouldBeEmpty)
		So(table.Evictions(12*second+StoreLease, viewOf(1, member), []string{"c2"}), ShouldBeEmpty)
		table.ReportReceived("c2", 12*second+EvictAfter)
		So(table.Evictions(12*second+EvictAfter, viewOf(1, member), []string{"c2"}), ShouldHaveLength, 1)
	})
	Convey("A timed-out member is suspected until it polls, and the suspicion expires after the length of a lease", t, func() {
		table := New()
		table.SetLeadership(0, 1, true)
		table.Observe(Contact{Process: store("1", "a"), At: 10 * second})
		table.ReportReceived("c2", 10*second+SuspectAfter)
		free, suspected := []Suspicion{{Member: member}}, []Suspicion{{Member: member, Number: 4}}
		timedOut, returned := table.Suspects(10*second+SuspectAfter-1, free, []string{"c2"})
		So(timedOut, ShouldBeEmpty)
		So(returned, ShouldBeEmpty)
		timedOut, _ = table.Suspects(10*second+SuspectAfter, free, []string{"c2", "c3"})
		So(timedOut, ShouldBeEmpty) // the member may be polling c3
		timedOut, _ = table.Suspects(10*second+SuspectAfter, free, []string{"c2"})
		So(timedOut, ShouldHaveLength, 1)
		timedOut, returned = table.Suspects(10*second+SuspectAfter, suspected, []string{"c2"})
		So(timedOut, ShouldBeEmpty)
		So(returned, ShouldBeEmpty)
		So(table.SuspicionExpired(11*second, 0), ShouldBeFalse)
		So(table.SuspicionExpired(11*second, 4), ShouldBeFalse)
		So(table.SuspicionExpired(11*second+StoreLease-1, 4), ShouldBeFalse)
		So(table.SuspicionExpired(11*second+StoreLease, 4), ShouldBeTrue)
		So(table.SuspicionExpired(11*second+StoreLease, 5), ShouldBeFalse)
		table.Observe(Contact{Process: store("1", "a"), At: 12 * second})
		_, returned = table.Suspects(12*second, suspected, nil)
		So(returned, ShouldHaveLength, 1)
		table.SetLeadership(13*second, 2, true)
		// A new leader counts from its first call with the suspicion.
		So(table.SuspicionExpired(13*second, 4), ShouldBeFalse)
	})
	Convey("A poll of a later incarnation doesn't count as a poll of the former one", t, func() {
		table := New()
		table.SetLeadership(0, 1, true)
		table.Observe(Contact{Process: store("1", "b"), At: 3 * second})
		So(table.Evictions(3*second, viewOf(1, member), nil), ShouldHaveLength, 1)
	})
	Convey("A retiring member is drained once it reports that and all active members are reconciled", t, func() {
		table := New()
		table.SetLeadership(0, 1, true)
		retiring := protocol.StoreMember{Process: store("1", "a"), State: protocol.StoreRetiring}
		active := protocol.StoreMember{Process: store("2", "a")}
		view := viewOf(7, retiring, active)
		observe := func(node string, report protocol.BatchReport) {
			table.Observe(Contact{Process: store(node, "a"), Batch: &report, At: second})
		}
		observe("1", protocol.BatchReport{Epoch: 7, DrainedDown: true})
		So(table.Drained(second, view), ShouldBeEmpty)
		observe("2", protocol.BatchReport{Epoch: 7, Settled: 6})
		So(table.Drained(second, view), ShouldBeEmpty)
		observe("2", protocol.BatchReport{Epoch: 7, Settled: 7})
		So(table.Drained(second, view), ShouldHaveLength, 1)
		So(table.Drained(second, viewOf(8, retiring, active)), ShouldBeEmpty)
		So(table.Drained(5*second, view), ShouldBeEmpty)
		observe("1", protocol.BatchReport{Epoch: 6, DrainedDown: true})
		So(table.Drained(second, view), ShouldBeEmpty)
	})
}

// admitAll lets every process join.
func admitAll(protocol.Process) Admission { return Admitted }

func TestRejoin(t *testing.T) {
	Convey("A machine whose retirement was completed joins only after it has polled for RejoinAfter", t, func() {
		table := New()
		table.SetLeadership(0, 1, true)
		admit := func(process protocol.Process) Admission {
			switch process.Node {
			case store("1", "b").Node:
				return AdmittedAfterDelay
			case store("3", "a").Node:
				return NotAdmitted
			}
			return Admitted
		}
		for at := time.Duration(0); at < RejoinAfter; at += second {
			table.Observe(Contact{Process: store("1", "b"), At: at})
			table.Observe(Contact{Process: store("2", "a"), At: at})
			table.Observe(Contact{Process: store("3", "a"), At: at}) // may never join
			So(table.Joins(at, viewOf(3), admit), ShouldResemble, []protocol.Process{store("2", "a")})
		}
		table.Observe(Contact{Process: store("1", "b"), At: RejoinAfter})
		So(table.Joins(RejoinAfter, viewOf(3), admit), ShouldHaveLength, 2)
		table.Observe(Contact{Process: store("1", "c"), At: RejoinAfter + second}) // a new incarnation, with another disk
		So(table.Joins(RejoinAfter+second, viewOf(3), admit), ShouldBeEmpty)
	})
}

func TestReconciled(t *testing.T) {
	Convey("The members are reconciled once each reports that for the newest epoch, with at most tolerance machines missing", t, func() {
		table := New()
		table.SetLeadership(0, 1, true)
		retiring := protocol.StoreMember{Process: store("1", "a"), State: protocol.StoreRetiring}
		retired := protocol.StoreMember{Process: store("2", "a"), State: protocol.StoreRetired}
		view := viewOf(7, retiring, retired, protocol.StoreMember{Process: store("3", "a")})
		observe := func(node, incarnation string, report protocol.BatchReport) {
			table.Observe(Contact{Process: store(node, incarnation), Batch: &report, At: second})
		}
		observe("1", "a", protocol.BatchReport{Settled: 7})
		So(table.Reconciled(second, view, 1), ShouldBeFalse) // store 3 has not reported
		observe("3", "a", protocol.BatchReport{Settled: 6})
		So(table.Reconciled(second, view, 1), ShouldBeFalse)
		observe("3", "a", protocol.BatchReport{Settled: 7, Missing: 2})
		So(table.Reconciled(second, view, 1), ShouldBeFalse)
		So(table.Reconciled(second, view, 2), ShouldBeTrue)
		observe("3", "a", protocol.BatchReport{Settled: 7, Missing: 1})
		So(table.Reconciled(second, view, 1), ShouldBeTrue)
		So(table.Reconciled(5*second, view, 1), ShouldBeFalse) // the reports are too old
		So(table.Reconciled(second, viewOf(8, view.Members...), 1), ShouldBeFalse)
		view.Settled = true
		So(table.Reconciled(second, view, 1), ShouldBeFalse) // the reconciliation is already committed
		view.Settled = false
		table.SetLeadership(second, 1, false)
		So(table.Reconciled(second, view, 1), ShouldBeFalse)
		table.SetLeadership(second, 2, true)
		observe("3", "b", protocol.BatchReport{Settled: 7})
		So(table.Reconciled(second, view, 1), ShouldBeFalse) // store 3 has a new incarnation, with another disk
	})
	Convey("An empty membership is never reconciled", t, func() {
		table := New()
		table.SetLeadership(0, 1, true)
		So(table.Reconciled(second, viewOf(0), 1), ShouldBeFalse)
	})
}

func TestGateways(t *testing.T) {
	Convey("Gateways that polled within GatewayTimeout are listed, sorted by name", t, func() {
		table := New()
		for i, name := range []string{"b", "a", "c"} {
			table.Observe(Contact{
				Process: protocol.Process{Node: name, Role: protocol.RoleGateway},
				At:      time.Duration(i) * second,
			})
		}
		names := []string{}
		for _, one := range table.Gateways(4 * second) {
			names = append(names, one.Node)
		}
		So(names, ShouldResemble, []string{"a", "c"})
		table.Expire(31500 * time.Millisecond)
		So(table.PolledSince(0), ShouldHaveLength, 1)
	})
}
