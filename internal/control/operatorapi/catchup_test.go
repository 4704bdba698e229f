package operatorapi

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/control/statemachine"
)

// Sizes of a large configuration.
const (
	largeRouteCount  = 120
	largeTenantCount = 300
	putEvery         = 50 // one change in putEvery is a PUT of the whole document
)

// largeRoute returns a route of a large configuration. Its timeout depends on the version.
func largeRoute(number, version int) string {
	return fmt.Sprintf(
		`{"name":"route-%04d","hostname":"host-%d.example","path-prefix":"/prefix-%04d/","route-type":"streaming","timeout-ms":%d,"target-latency-ms":300,"priority":1,"traffic-split":[{"backend":"backend-%d","weight":90},{"backend":"backend-0","weight":10}],"max-attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":300}`,
		number,
		number%7,
		number,
		3000+version%1000,
		number%9,
	)
}

func largeTenant(number, version int) string {
	return fmt.Sprintf(
		`{"name":"tenant-%04d","api-keys":["key-%04d-%d","key-%04d"],"priority":1,"rate-per-s":61,"burst":61}`,
		number,
		number,
		version,
		number,
	)
}

func joinElements(count int, element func(number int) string) string {
	list := make([]string, count)
	for i := range list {
		list[i] = element(i)
	}
	return strings.Join(list, ",")
}

// largeChange returns the change that leads to a version: a PATCH of one route and one tenant, or for one version in
// putEvery a PUT of the whole document.
func largeChange(version int) configuration.ChangeRequest {
	change := configuration.ChangeRequest{IfMatch: uint64(version) - 1, Patch: version%putEvery != 1}
	if change.Patch {
		change.Body = fmt.Appendf(
			nil,
			`{"generation":%d,"upsert":{"routes":[%s],"tenants":[%s]},"delete":{"tenants":["tenant-none"]}}`,
			version,
			largeRoute(version%largeRouteCount, version),
			largeTenant(version%largeTenantCount, version),
		)
		return change
	}
	backends := joinElements(9, func(i int) string {
		return fmt.Sprintf(
			`{"name":"backend-%d","health-path":"/healthz","max-conns":190,"protocol":"h1","engine":{"slots":16,"kv-bytes":327680}}`,
			i,
		)
	})
	change.Body = fmt.Appendf(nil, `{"generation":%d,"routes":[%s],"backends":[%s],"tenants":[%s]}`, version,
		joinElements(largeRouteCount, func(i int) string { return largeRoute(i, version) }), backends,
		joinElements(largeTenantCount, func(i int) string { return largeTenant(i, version) }))
	return change
}

// commit proposes the changes to the versions from..to, through the given machines in turn, and fails the test if
// one of them is not accepted.
func (w *clusterSimulation) commit(from, to int, through ...*simulatedControl) {
	for version := from; version <= to; version++ {
		change := largeChange(version)
		raw, err := statemachine.Command{Configuration: &change}.Encode()
		if err != nil {
			w.t.Fatal(err)
		}
		m := through[version%len(through)]
		for attempts := 0; ; attempts++ {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			reply, err := m.node.Propose(ctx, proposalID(change), raw)
			cancel()
			if err == nil {
				outcome, err := statemachine.DecodeOutcome(reply)
				if err != nil || outcome.Configuration.Status != configuration.StatusAccepted {
					w.t.Fatal(version, err, outcome.Configuration)
				}
				break
			}
			if attempts == 20 {
				w.t.Fatal(version, err)
			}
		}
	}
}

// Bounds for a machine that restarts after it has missed many changes.
const (
	missedChanges   = 500
	maxCatchUpTime  = 3 * time.Second
	maxCatchUpBytes = 4 << 20
)

// TestCatchUp checks that a machine that has missed 500 changes, with its disk kept or lost, catches up within
// bounds on time and received bytes, and that it returns no configuration before it has caught up.
func TestCatchUp(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		t.Run(fmt.Sprintf("wiped %t", wiped), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newClusterSimulation(t, 2, 3, bugNone)
				w.commit(1, 100, w.members...)
				returning := w.members[2]
				returning.end(true)
				if wiped {
					returning.disk.Wipe()
				}
				time.Sleep(2 * time.Second)
				w.commit(101, 100+missedChanges, w.members[:2]...)
				before, began := w.network.BytesReceived(returning.ip), w.now()
				returning.start(false)
				readsBefore := w.awaitCaughtUp(returning, 100+missedChanges)
				took, received := w.now()-began, w.network.BytesReceived(returning.ip)-before
				t.Logf(
					"caught up in %v with %d bytes; %d answers before, all without a configuration",
					took,
					received,
					readsBefore,
				)
				if took > maxCatchUpTime || received > maxCatchUpBytes {
					t.Errorf("catching up took %v and %d bytes, which exceeds maxCatchUpTime or maxCatchUpBytes", took, received)
				}
				w.commit(101+missedChanges, 110+missedChanges, returning)
				w.stop()
				for _, failure := range w.violations {
					t.Error(failure)
				}
			})
		})
	}
}

// awaitCaughtUp sends reads to a machine until it returns the newest version, and returns the number of reads before
// that. While the machine has an earlier version it must neither report a staleness below 1 s nor hold the leader
// lease.
func (w *clusterSimulation) awaitCaughtUp(m *simulatedControl, newest int) (readsBefore int) {
	for {
		held := m.state.Configuration().Generation
		age, fresh := m.node.Staleness()
		if held < uint64(newest) && fresh && age < time.Second {
			w.failf("%s reports a staleness below 1 s with the outdated version %d", m.ip, held)
		}
		if _, _, leads := m.node.LeaderLease(); leads && held < uint64(newest) {
			w.failf("%s holds the leader lease with the outdated version %d", m.ip, held)
		}
		got := m.call("GET", "", "", 20*time.Millisecond)
		switch {
		case got.status == 200 && got.etag == fmt.Sprintf(`"%d"`, newest):
			return readsBefore
		case got.status == 200 || got.status == 404:
			w.failf("%s returned version %s, the newest is %d", m.ip, got.etag, newest)
			return readsBefore
		}
		readsBefore++
		if readsBefore > 1000 {
			w.failf("%s has not caught up after 1000 reads", m.ip)
			return readsBefore
		}
	}
}
