package proxy

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/configuration"
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
