package quotas

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// fakeLead is what a test says of the lead.
type fakeLead struct {
	since, until time.Time
	leads        bool
}

func (f *fakeLead) Lead() (uint64, time.Time, bool) { return 1, f.until, f.leads }
func (f *fakeLead) LeadSince() (time.Time, bool)    { return f.since, f.leads }
func (f *fakeLead) extend(duration time.Duration)   { f.until = time.Now().Add(duration) }
func (f *fakeLead) begin(since time.Time)           { f.since, f.leads = since, true }

func TestService(t *testing.T) {
	bounds := node.Bounds{QuotaWindow: 5 * time.Second, QuotaOvershoot: 0.1, QuotaSlack: 20}
	const document = `{"generation":1,"routes":[],"backends":[],"tenants":[{"name":"a","api-keys":["k"],"rate-per-s":100,"burst":100}]}`
	version, err := configuration.ParseDocument([]byte(document), 1)
	if err != nil {
		t.Fatal(err)
	}
	request := protocol.QuotaRequest{
		Process: protocol.Process{Node: "front-1", Incarnation: "x"},
		Demands: []protocol.QuotaDemand{{Tenant: "a", Rate: 5, Want: 1}},
	}
	ask := func(s *Service) (protocol.QuotaReply, error) {
		request.Sequence++
		return s.Request(request)
	}

	Convey("Only the lead answers, and a lead that is begun anew is a new term", t, func() {
		lead := &fakeLead{}
		service := New(bounds, lead, func() *configuration.Version { return version }, false)
		_, err := ask(service)
		So(transport.CodeOf(err), ShouldEqual, CodeNotLead)

		lead.begin(time.Now().Add(-2 * time.Second))
		lead.extend(-time.Millisecond)
		_, err = ask(service)
		So(transport.CodeOf(err), ShouldEqual, CodeNotLead)

		lead.extend(time.Minute)
		first, err := ask(service)
		So(err, ShouldBeNil)
		So(first.Term, ShouldNotEqual, 0)
		So(first.Grants[0].Tokens, ShouldEqual, 1)
		again, err := ask(service)
		So(err, ShouldBeNil)
		So(again.Term, ShouldEqual, first.Term)

		lead.begin(time.Now().Add(-time.Second))
		anew, err := ask(service)
		So(err, ShouldBeNil)
		So(anew.Term, ShouldNotEqual, first.Term)

		founding := New(bounds, lead, func() *configuration.Version { return version }, true)
		request.Demands[0].Want = 50
		lead.begin(time.Now().Add(-time.Millisecond))
		whole, err := ask(founding)
		So(err, ShouldBeNil)
		So(whole.Grants[0].Tokens, ShouldEqual, 50) // its pool is full, as nobody granted before

		lead.begin(time.Now().Add(time.Minute))
		_, err = ask(service)
		So(transport.CodeOf(err), ShouldEqual, CodeNotLead)
	})
}
