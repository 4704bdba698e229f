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
		plan := DefaultPlan(built)
		plan.For = shortSoak
		plan.Out = t.Output()
		result, err := Run(t.Context(), plan)
		So(err, ShouldBeNil)
		if len(result.Violations) > 0 {
			t.Logf("the logs are in %s", result.Folder)
		}
		So(result.Violations, ShouldBeEmpty)
		So(result.Accepted, ShouldBeGreaterThan, 0)
		So(result.Requests, ShouldBeGreaterThan, 0)
		So(result.Orders, ShouldBeGreaterThan, 0)
		troubles := 0
		for _, kind := range TroubleKinds {
			troubles += result.Troubles[kind]
		}
		So(troubles, ShouldBeGreaterThan, 0)
	})
}

// TestCut shows that the programs mind the file of cuts.
func TestCut(t *testing.T) {
	Convey("A control process that is cut off from all others tells no configuration, and tells it again", t, func() {
		r, err := newRun(DefaultPlan(built), t.TempDir())
		So(err, ShouldBeNil)
		defer r.fleet.Close()
		So(r.begin(t.Context()), ShouldBeNil)
		ctx, cancel := context.WithTimeout(t.Context(), RecoverWithin)
		defer cancel()
		await := func(tells bool) {
			for {
				_, status, _ := r.operator.get(ctx, r.fronts[0])
				if (status == http.StatusOK) == tells {
					return
				}
				So(sleep(ctx, lookInterval), ShouldBeTrue)
			}
		}
		await(true)
		heal, err := r.network.cut(between(r.fronts[:1], r.fleet.Machines, true))
		So(err, ShouldBeNil)
		await(false)
		heal()
		await(true)
	})
}
