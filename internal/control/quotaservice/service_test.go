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

// fakeLeadership is a Leadership that the test sets.
type fakeLeadership struct {
	until        time.Time
	heads, alone bool
}

func (f *fakeLeadership) HeadLease() (time.Time, bool) { return f.until, f.heads }
func (f *fakeLeadership) LeaderLease() (uint64, time.Time, bool) {
	return 1, f.until, f.heads && f.alone
}

// fakeChain is one state machine to which changes are applied at once, and a fixed configuration.
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
	ask := func(s *Service, want int) (protocol.QuotaReply, error) {
		sequence++
		return s.Request(protocol.QuotaRequest{
			Sequence: sequence,
			Process:  protocol.Process{Node: "front-1", Incarnation: "x"},
			Demands:  []protocol.QuotaDemand{{Tenant: "a", Rate: 5, Want: want}},
		})
	}
	mustReject := func(s *Service) {
		_, err := ask(s, 1)
		So(transport.CodeOf(err), ShouldEqual, CodeNotLeader)
	}

	Convey("Given the first process of a new system", t, func() {
		state := &fakeChain{StateMachine: statemachine.New(), version: version}
		lead := &fakeLeadership{heads: true, until: time.Now().Add(time.Minute)}
		service := New(Options{
			Bounds:     bounds,
			Leadership: lead,
			Record:     state,
			Self:       statemachine.Grantor{Member: "m1", Process: "p1"},
			Wake:       func() {},
		})
		mustReject(service)
		So(state.applyNextChange(service).Taken, ShouldBeTrue)

		Convey("it acts at once, with full pools, and leases once the gateway is on record", func() {
			reply, err := ask(service, 50)
			So(err, ShouldBeNil)
			So(reply.Grants[0].Tokens, ShouldEqual, 50)
			So(reply.Grants[0].Change, ShouldBeFalse)
			So(reply.Term, ShouldNotEqual, 0)
			term := reply.Term
			So(state.applyNextChange(service).Nodes, ShouldResemble, []string{"front-1"})
			reply, err = ask(service, 0)
			So(err, ShouldBeNil)
			So(reply.Grants[0].Change, ShouldBeTrue)
			So(reply.Term, ShouldEqual, term)
			So(state.applyNextChange(service), ShouldBeNil)
		})
		Convey("it acts only while it heads the chain", func() {
			lead.until = time.Now().Add(-time.Millisecond)
			mustReject(service)
			lead.until, lead.heads = time.Now().Add(time.Minute), false
			mustReject(service)
			So(service.NextChange(), ShouldBeNil)
		})
		Convey("its next incarnation acts at once", func() {
			before, err := ask(service, 1)
			So(err, ShouldBeNil)
			lead.alone = false
			next := New(Options{
				Bounds:     bounds,
				Leadership: lead,
				Record:     state,
				Self:       statemachine.Grantor{Member: "m1", Process: "p2"},
				Wake:       func() {},
			})
			So(state.applyNextChange(next).Taken, ShouldBeTrue)
			anew, err := ask(next, 1)
			So(err, ShouldBeNil)
			So(anew.Term, ShouldNotEqual, before.Term)
			mustReject(service)
		})
		Convey("after a release it grants nothing, and another begins at once", func() {
			lead.alone = false
			end := service.Release()
			So(end, ShouldNotBeNil)
			mustReject(service)
			So(state.apply(end).Taken, ShouldBeTrue)
			So(state.applyNextChange(service), ShouldBeNil)
			next := New(Options{
				Bounds:     bounds,
				Leadership: lead,
				Record:     state,
				Self:       statemachine.Grantor{Member: "m2", Process: "p3"},
				Wake:       func() {},
			})
			So(state.applyNextChange(next).Taken, ShouldBeTrue)
			_, err := ask(next, 1)
			So(err, ShouldBeNil)
			So(state.apply(end).Taken, ShouldBeFalse)
			So(state.Grantor(), ShouldResemble, next.self)
		})
		Convey("another process waits until the leader lease before it has ended, and ends this one's term", func() {
			lead.alone = false
			next := New(Options{
				Bounds:     bounds,
				Leadership: lead,
				Record:     state,
				Self:       statemachine.Grantor{Member: "m2", Process: "p3"},
				Wake:       func() {},
			})
			So(next.NextChange(), ShouldBeNil)
			mustReject(next)
			lead.alone = true
			So(state.applyNextChange(next).Taken, ShouldBeTrue)
			_, err := ask(next, 1)
			So(err, ShouldBeNil)
			mustReject(service)
			Convey("and a late change of this one has no effect", func() {
				So(
					state.apply(
						&statemachine.GrantsChange{Lender: service.self, Number: 9, Add: []string{"late"}},
					).Taken,
					ShouldBeFalse,
				)
				So(state.apply(&statemachine.GrantsChange{Lender: service.self, Begin: true}).Taken, ShouldBeFalse)
				So(state.Grantor(), ShouldResemble, next.self)
			})
			Convey("nor has it if this one is the grantor again meanwhile", func() {
				_, err := ask(service, 1)
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
				_, err = ask(service, 1)
				So(err, ShouldBeNil)
				So(state.applyNextChange(service).Taken, ShouldBeTrue)
			})
		})
	})
}
