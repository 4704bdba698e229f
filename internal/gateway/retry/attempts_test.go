package retry

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPromises(t *testing.T) {
	Convey("Whatever happens, a request runs where it may and its answer is true", t, func() {
		random := rand.New(rand.NewPCG(3, 4))
		for range 20000 {
			a := History{Idempotent: random.IntN(2) == 0, MaxServers: random.IntN(4)}
			ran, tries := 0, 0
			for a.MayRetry(time.Duration(random.IntN(200)) * time.Millisecond) {
				outcome := Outcome(random.IntN(4))
				if tries++; outcome == Lost || outcome == Failed {
					ran++
				}
				a.Record(outcome)
			}
			most := 1
			if a.Idempotent {
				most = max(1, a.MaxServers)
			}
			if ran > most || tries > maxRejections+maxUnsent+most {
				So(ran, ShouldBeLessThanOrEqualTo, most)
			}
			status := a.FinalStatus(random.IntN(2) == 0)
			if (status == http.StatusServiceUnavailable) != (ran == 0) {
				So(status, ShouldNotEqual, http.StatusServiceUnavailable)
			}
		}
	})
	Convey("A server that refused may be followed by another, one that may have run it may not", t, func() {
		a := History{MaxServers: 1}
		a.Record(NotExecuted)
		a.Record(NotSent)
		So(a.MayRetry(time.Second), ShouldBeTrue)
		So(a.MayRetry(MinTimeLeft-1), ShouldBeFalse)
		a.Record(Lost)
		So(a.MayRetry(time.Second), ShouldBeFalse)
		So(a.FinalStatus(true), ShouldEqual, http.StatusGatewayTimeout)
		So(a.FinalStatus(false), ShouldEqual, http.StatusBadGateway)
		So(func() { a.Record(Lost) }, ShouldPanic)
	})
}
