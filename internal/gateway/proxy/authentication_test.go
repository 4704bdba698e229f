package proxy

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// leaseRenewedAfterLookup is a ControlState whose key lease is renewed right after the configuration was
// loaded.
type leaseRenewedAfterLookup struct {
	*fakeControl
	configurationCalls int
}

func (r *leaseRenewedAfterLookup) Configuration() *configuration.Snapshot {
	held := r.fakeControl.Configuration()
	if r.configurationCalls++; r.configurationCalls == 2 { // the first call only checks whether there is a configuration
		r.fakeControl.leaseExpired.Store(false)
	}
	return held
}

func TestKeyLeaseBeforeConfiguration(t *testing.T) {
	Convey("A lease that is renewed after the configuration was loaded doesn't cover that configuration", t, func() {
		r := startGateway(t, 1, good)
		r.control.leaseExpired.Store(true)
		r.proxy.Control = &leaseRenewedAfterLookup{fakeControl: r.control}
		So(r.ask("POST", "/unsafe/x").status, ShouldEqual, 503)
		So(r.seen(), ShouldBeEmpty)
		So(r.ask("POST", "/unsafe/x").status, ShouldEqual, 200)
	})
}

// A tenant's name is written into the head of requests, so that a line end in it would add headers for servers, and a
// space at its end would make them take it for another tenant.
func TestTenantNamesThatCannotBeSent(t *testing.T) {
	Convey("No request of a tenant reaches a server unless its name arrives there unchanged", t, func() {
		r := startGateway(t, 1, good)
		for _, name := range []string{"a\r\nX-Tenant: one", "a\nb", "one ", "\tone", "a\x00"} {
			document := testDocument()
			document.Tenants[0].Name = name
			r.control.configuration.Store(configuration.NewSnapshot(document, 1))
			So(r.ask("POST", "/unsafe/x").status, ShouldEqual, 503)
			So(r.ask("POST", "/lots/x").status, ShouldEqual, 503)
		}
		So(r.seen(), ShouldBeEmpty)
		So(r.batch.calls, ShouldBeEmpty)
		r.batch.answer = protocol.BatchAnswer{Status: 200}
		So(r.ask("GET", "/lots/7c41").status, ShouldEqual, 200)
		document := testDocument()
		document.Tenants[0].Name = "one, or the other é"
		r.control.configuration.Store(configuration.NewSnapshot(document, 1))
		So(r.ask("POST", "/unsafe/x").status, ShouldEqual, 200)
	})
}
