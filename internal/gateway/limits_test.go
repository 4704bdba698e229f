package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/configuration"
	quotas "sprucelane.example/sprucelane/internal/gateway/quotaclient"
)

func TestPatienceForTokens(t *testing.T) {
	Convey("A request waits for a token of its tenant for a part of its aim, and never longer than its client", t, func() {
		aims := func(ms float64) *configuration.Route { return &configuration.Route{TargetLatencyMs: ms} }
		const long = time.Minute
		So(patienceOf(aims(300), long), ShouldResemble, quotas.Patience{Unsure: 60 * time.Millisecond, Sure: 150 * time.Millisecond})
		So(patienceOf(aims(0), long), ShouldResemble, quotas.Patience{Unsure: plainAim / unsurePart, Sure: plainAim / surePart})
		So(patienceOf(aims(9000), long), ShouldResemble, quotas.Patience{Unsure: unsureMost, Sure: sureMost})
		So(patienceOf(aims(300), 70*time.Millisecond), ShouldResemble,
			quotas.Patience{Unsure: 60 * time.Millisecond, Sure: 70 * time.Millisecond})
		So(patienceOf(aims(300), 5*time.Millisecond), ShouldResemble, quotas.Patience{Unsure: 5 * time.Millisecond, Sure: 5 * time.Millisecond})
		So(patienceOf(aims(300), -time.Second), ShouldResemble, quotas.Patience{})
	})
}
