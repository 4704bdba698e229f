package quotaservice

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/quota"
)

// fakeLeadership is a Leadership whose results are set by the test.
type fakeLeadership struct {
	until              time.Time
	isHead, holdsLease bool
}

func (f *fakeLeadership) HeadLease() (time.Time, bool) { return f.until, f.isHead }
func (f *fakeLeadership) LeaderLease() (uint64, time.Time, bool) {
	return 1, f.until, f.isHead && f.holdsLease
}

// fakeChain is a chain with a single state machine, to which changes are applied immediately, and a fixed
// configuration.
type fakeChain struct {
	*statemachine.StateMachine
	index   uint64
	version *configuration.Version
}

func (c *fakeChain) Configuration() *configuration.Version { return c.version }

func (c *fakeChain) applyNextChange(s *Service) *statemachine.GrantsOutcome {
	change := s.NextChange()
	if change == nil {
		return nil
	}
	outcome := c.apply(change)
	s.ChangeDone(change, outcome)
	return outcome
}

func (c *fakeChain) apply(change *statemachine.GrantsChange) *statemachine.GrantsOutcome {
	raw, err := statemachine.Command{Lending: change}.Encode()
	So(err, ShouldBeNil)
	c.index++
	outcome, err := statemachine.DecodeOutcome(c.Apply(c.index, raw))
	So(err, ShouldBeNil)
	return outcome.Lending
}

func TestService(t *testing.T) {
	bounds := node.Bounds{QuotaWindow: 5 * time.Second, QuotaOvershoot: 0.1, QuotaSlack: 20}
	const document = `{"generation":1,"routes":[],"backends":[],"tenants":[{"name":"a","api-keys":["k"],"rate-per-s":100,"burst":100}]}`
	version, err := configuration.ParseDocument([]byte(document), 1)
	if err != nil {
		t.Fatal(err)
	}
	sequence := uint64(0)
	request := func(s *Service, want int) (protocol.QuotaReply, error) {
		sequence++
		return s.Request(protocol.QuotaRequest{
			Sequence: sequence,
			Process:  protocol.Process{Node: "front-1", Incarnation: "x"},
			Demands:  []protocol.QuotaDemand{{Tenant: "a", Rate: 5, Want: want}},
		})
	}
	mustReject := func(s *Service) {
		_, err := request(s, 1)
		So(transport.CodeOf(err), ShouldEqual, CodeNotLeader)
	}

	Convey("Given the first process of a new system", t, func() {
		state := &fakeChain{StateMachine: statemachine.New(), version: version}
		leadership := &fakeLeadership{isHead: true, until: time.Now().Add(time.Minute)}
		service := New(Options{
			Bounds:     bounds,
			Leadership: leadership,
			Record:     state,
			Self:       statemachine.Grantor{Member: "m1", Process: "p1"},
			Wake:       func() {},
		})
		mustReject(service)
		So(state.applyNextChange(service).Taken, ShouldBeTrue)

		Convey("it acts immediately, with full pools, and grants leases once the gateway is on record", func() {
			reply, err := request(service, 50)
			So(err, ShouldBeNil)
			So(reply.Grants[0].Tokens, ShouldEqual, 50)
			So(reply.Grants[0].Change, ShouldBeFalse)
			So(reply.Term, ShouldNotEqual, 0)
			term := reply.Term
			So(state.applyNextChange(service).Nodes, ShouldResemble, []string{"front-1"})
			reply, err = request(service, 0)
			So(err, ShouldBeNil)
			So(reply.Grants[0].Change, ShouldBeTrue)
			So(reply.Term, ShouldEqual, term)
			So(state.applyNextChange(service), ShouldBeNil)
		})
		Convey("it acts only while it is the head of the chain", func() {
			leadership.until = time.Now().Add(-time.Millisecond)
			mustReject(service)
			leadership.until, leadership.isHead = time.Now().Add(time.Minute), false
			mustReject(service)
			So(service.NextChange(), ShouldBeNil)
		})
		Convey("its next incarnation acts immediately", func() {
			before, err := request(service, 1)
			So(err, ShouldBeNil)
			leadership.holdsLease = false
			next := New(Options{
				Bounds:     bounds,
				Leadership: leadership,
				Record:     state,
				Self:       statemachine.Grantor{Member: "m1", Process: "p2"},
				Wake:       func() {},
			})
			So(state.applyNextChange(next).Taken, ShouldBeTrue)
			after, err := request(next, 1)
			So(err, ShouldBeNil)
			So(after.Term, ShouldNotEqual, before.Term)
			mustReject(service)
		})
		Convey("after a release it grants nothing, and another process begins immediately", func() {
			leadership.holdsLease = false
			end := service.Release()
			So(end, ShouldNotBeNil)
			mustReject(service)
			So(state.apply(end).Taken, ShouldBeTrue)
			So(state.applyNextChange(service), ShouldBeNil)
			next := New(Options{
				Bounds:     bounds,
				Leadership: leadership,
				Record:     state,
				Self:       statemachine.Grantor{Member: "m2", Process: "p3"},
				Wake:       func() {},
			})
			So(state.applyNextChange(next).Taken, ShouldBeTrue)
			_, err := request(next, 1)
			So(err, ShouldBeNil)
			So(state.apply(end).Taken, ShouldBeFalse)
			So(state.Grantor(), ShouldResemble, next.self)
		})
		Convey("another process waits until the leader lease of the previous head has ended, and then ends this process's term", func() {
			leadership.holdsLease = false
			next := New(Options{
				Bounds:     bounds,
				Leadership: leadership,
				Record:     state,
				Self:       statemachine.Grantor{Member: "m2", Process: "p3"},
				Wake:       func() {},
			})
			So(next.NextChange(), ShouldBeNil)
			mustReject(next)
			leadership.holdsLease = true
			So(state.applyNextChange(next).Taken, ShouldBeTrue)
			_, err := request(next, 1)
			So(err, ShouldBeNil)
			mustReject(service)
			Convey("and a delayed change proposed by this process has no effect", func() {
				So(
					state.apply(
						&statemachine.GrantsChange{Lender: service.self, Number: 9, Add: []string{"late"}},
					).Taken,
					ShouldBeFalse,
				)
				So(state.apply(&statemachine.GrantsChange{Lender: service.self, Begin: true}).Taken, ShouldBeFalse)
				So(state.Grantor(), ShouldResemble, next.self)
			})
			Convey("and a delayed change has no effect after this process has become the grantor again", func() {
				_, err := request(service, 1)
				So(err, ShouldNotBeNil)
				service.lastChange = 9
				late := &statemachine.GrantsChange{
					Lender: service.self,
					Number: 9,
					Remove: []string{"front-1"},
					Floors: []quota.Floor{{Tenant: "a", Tokens: 9}},
				}
				So(state.applyNextChange(service).Taken, ShouldBeTrue)
				So(state.Grantor(), ShouldResemble, service.self)
				So(state.apply(late).Taken, ShouldBeFalse)
				_, err = request(service, 1)
				So(err, ShouldBeNil)
				So(state.applyNextChange(service).Taken, ShouldBeTrue)
			})
		})
	})
}
