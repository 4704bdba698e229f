package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/gateway/quotaclient"
)

func TestQuotaWait(t *testing.T) {
	Convey("A request waits for a token of its tenant for a part of its route's target, and never longer than its client", t, func() {
		withTarget := func(ms float64) *configuration.Route { return &configuration.Route{TargetLatencyMs: ms} }
		const long = time.Minute
		So(quotaWait(withTarget(300), long), ShouldResemble, quotaclient.WaitLimits{Uncertain: 60 * time.Millisecond, Certain: 150 * time.Millisecond})
		So(quotaWait(withTarget(0), long), ShouldResemble, quotaclient.WaitLimits{Uncertain: defaultTarget / uncertainDivisor, Certain: defaultTarget / certainDivisor})
		So(quotaWait(withTarget(9000), long), ShouldResemble, quotaclient.WaitLimits{Uncertain: maxUncertainWait, Certain: maxCertainWait})
		So(quotaWait(withTarget(300), 70*time.Millisecond), ShouldResemble,
			quotaclient.WaitLimits{Uncertain: 60 * time.Millisecond, Certain: 70 * time.Millisecond})
		So(quotaWait(withTarget(300), 5*time.Millisecond), ShouldResemble, quotaclient.WaitLimits{Uncertain: 5 * time.Millisecond, Certain: 5 * time.Millisecond})
		So(quotaWait(withTarget(300), -time.Second), ShouldResemble, quotaclient.WaitLimits{})
	})
}
