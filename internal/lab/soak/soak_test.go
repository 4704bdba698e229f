package soak

import (
	"context"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/lab/programs"
)

// built is the folder of the programs, built by TestMain.
var built string

func TestMain(m *testing.M) {
	setFolder := func(folder string) { built = folder }
	os.Exit(programs.Run(m, setFolder, programs.FaultInjection, "sprucelane-gateway", "sprucelane-control",
		"sprucelane-batch"))
}

// shortSoak is how long faults are injected in the test: a few rounds, some with planned work alone.
const shortSoak = time.Minute

func TestSoak(t *testing.T) {
	Convey("A short soak breaks no rule, and injects faults under load", t, func() {
		options := DefaultOptions(built)
		options.FaultDuration = shortSoak
		options.Output = t.Output()
		result, err := Run(t.Context(), options)
		So(err, ShouldBeNil)
		if len(result.Violations) > 0 {
			t.Logf("the logs are in %s", result.Folder)
		}
		So(result.Violations, ShouldBeEmpty)
		So(result.Accepted, ShouldBeGreaterThan, 0)
		So(result.Streams, ShouldBeGreaterThan, 0)
		So(result.ConfigurationChanges, ShouldBeGreaterThan, 0)
		So(result.HostileValues, ShouldBeGreaterThan, 0)
		So(result.Faults[KindTerminate], ShouldBeGreaterThan, 0)
		faults := 0
		for _, kind := range FaultKinds {
			faults += result.Faults[kind]
		}
		So(faults, ShouldBeGreaterThan, 0)
	})
}

// TestPartition shows that the programs obey the file of partitions.
func TestPartition(t *testing.T) {
	Convey("A partitioned control process returns no configuration, and returns it again once healed", t, func() {
		r, err := newRun(DefaultOptions(built), t.TempDir())
		So(err, ShouldBeNil)
		defer r.cluster.Close()
		So(r.startSystem(t.Context()), ShouldBeNil)
		ctx, cancel := context.WithTimeout(t.Context(), RecoveryTimeout)
		defer cancel()
		await := func(returns bool) {
			for {
				_, status, _ := r.operator.get(ctx, r.frontMachines[0])
				if (status == http.StatusOK) == returns {
					return
				}
				So(sleep(ctx, pollInterval), ShouldBeTrue)
			}
		}
		await(true)
		heal, err := r.partitions.add(linksBetween(r.frontMachines[:1], r.cluster.Machines, true))
		So(err, ShouldBeNil)
		await(false)
		heal()
		await(true)
	})
}
