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

// built is the folder of the programs that the tests build.
var built string

func TestMain(m *testing.M) {
	os.Exit(programs.Run(m, func(folder string) { built = folder }, programs.FaultInjection, "sprucelane-gateway", "sprucelane-control",
		"sprucelane-batch"))
}

// shortSoak is how long the troubles of the test are.
const shortSoak = 15 * time.Second

func TestSoak(t *testing.T) {
	Convey("A short soak breaks no rule, and played something", t, func() {
		plan := DefaultOptions(built)
		plan.FaultDuration = shortSoak
		plan.Output = t.Output()
		result, err := Run(t.Context(), plan)
		So(err, ShouldBeNil)
		if len(result.Violations) > 0 {
			t.Logf("the logs are in %s", result.Folder)
		}
		So(result.Violations, ShouldBeEmpty)
		So(result.Accepted, ShouldBeGreaterThan, 0)
		So(result.Streams, ShouldBeGreaterThan, 0)
		So(result.ConfigurationChanges, ShouldBeGreaterThan, 0)
		troubles := 0
		for _, kind := range FaultKinds {
			troubles += result.Faults[kind]
		}
		So(troubles, ShouldBeGreaterThan, 0)
	})
}

// TestCut shows that the programs mind the file of cuts.
func TestCut(t *testing.T) {
	Convey("A control process that is cut off from all others tells no configuration, and tells it again", t, func() {
		r, err := newRun(DefaultOptions(built), t.TempDir())
		So(err, ShouldBeNil)
		defer r.fleet.Close()
		So(r.startSystem(t.Context()), ShouldBeNil)
		ctx, cancel := context.WithTimeout(t.Context(), RecoveryTimeout)
		defer cancel()
		await := func(tells bool) {
			for {
				_, status, _ := r.operator.get(ctx, r.frontMachines[0])
				if (status == http.StatusOK) == tells {
					return
				}
				So(sleep(ctx, pollInterval), ShouldBeTrue)
			}
		}
		await(true)
		heal, err := r.partitions.add(linksBetween(r.frontMachines[:1], r.fleet.Machines, true))
		So(err, ShouldBeNil)
		await(false)
		heal()
		await(true)
	})
}
