package proxy

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/configuration"
)

// leaseRenewedAfterLookup is a control state whose key lease is renewed right after the configuration was
// read.
type leaseRenewedAfterLookup struct {
	*fakeControl
	looks int
}

func (r *leaseRenewedAfterLookup) Configuration() *configuration.Snapshot {
	held := r.fakeControl.Configuration()
	if r.looks++; r.looks == 2 { // the first read only checks whether there is one
		r.fakeControl.leaseExpired.Store(false)
	}
	return held
}

func TestKeyLeaseBeforeConfiguration(t *testing.T) {
	Convey("A lease that is renewed after the configuration was read doesn't cover that configuration", t, func() {
		r := startGateway(t, 1, good)
		r.control.leaseExpired.Store(true)
		r.proxy.Control = &leaseRenewedAfterLookup{fakeControl: r.control}
		So(r.ask("POST", "/unsafe/x").status, ShouldEqual, 503)
		So(r.seen(), ShouldBeEmpty)
		So(r.ask("POST", "/unsafe/x").status, ShouldEqual, 200)
	})
}
