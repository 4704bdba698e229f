package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/configuration"
	quotas "sprucelane.example/sprucelane/internal/gateway/quotaclient"
)

func TestQuotaWait(t *testing.T) {
	Convey("A request waits for a token of its tenant for a part of its aim, and never longer than its client", t, func() {
		aims := func(ms float64) *configuration.Route { return &configuration.Route{TargetLatencyMs: ms} }
		const long = time.Minute
		So(quotaWait(aims(300), long), ShouldResemble, quotas.WaitLimits{Uncertain: 60 * time.Millisecond, Certain: 150 * time.Millisecond})
		So(quotaWait(aims(0), long), ShouldResemble, quotas.WaitLimits{Uncertain: defaultTarget / uncertainDivisor, Certain: defaultTarget / certainDivisor})
		So(quotaWait(aims(9000), long), ShouldResemble, quotas.WaitLimits{Uncertain: maxUncertainWait, Certain: maxCertainWait})
		So(quotaWait(aims(300), 70*time.Millisecond), ShouldResemble,
			quotas.WaitLimits{Uncertain: 60 * time.Millisecond, Certain: 70 * time.Millisecond})
		So(quotaWait(aims(300), 5*time.Millisecond), ShouldResemble, quotas.WaitLimits{Uncertain: 5 * time.Millisecond, Certain: 5 * time.Millisecond})
		So(quotaWait(aims(300), -time.Second), ShouldResemble, quotas.WaitLimits{})
	})
}
