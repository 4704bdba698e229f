package retry

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPromises(t *testing.T) {
	Convey("With any outcomes a request runs on no more servers than allowed, and 503 is returned only if it has not run", t, func() {
		random := rand.New(rand.NewPCG(3, 4))
		for range 20000 {
			h := History{Idempotent: random.IntN(2) == 0, MaxServers: random.IntN(4)}
			ran, attempts := 0, 0
			for h.MayRetry(time.Duration(random.IntN(200)) * time.Millisecond) {
				outcome := Outcome(random.IntN(4))
				if attempts++; outcome == Lost || outcome == Failed {
					ran++
				}
				h.Record(outcome)
			}
			allowed := 1
			if h.Idempotent {
				allowed = max(1, h.MaxServers)
			}
			if ran > allowed || attempts > maxRejections+maxUnsent+allowed {
				So(ran, ShouldBeLessThanOrEqualTo, allowed)
			}
			status := h.FinalStatus(random.IntN(2) == 0)
			if (status == http.StatusServiceUnavailable) != (ran == 0) {
				So(status, ShouldNotEqual, http.StatusServiceUnavailable)
			}
		}
	})
	Convey("A retry is allowed after a server that did not run the request, but not after one that may have run it", t, func() {
		h := History{MaxServers: 1}
		h.Record(NotExecuted)
		h.Record(NotSent)
		So(h.MayRetry(time.Second), ShouldBeTrue)
		So(h.MayRetry(MinTimeLeft-1), ShouldBeFalse)
		h.Record(Lost)
		So(h.MayRetry(time.Second), ShouldBeFalse)
		So(h.FinalStatus(true), ShouldEqual, http.StatusGatewayTimeout)
		So(h.FinalStatus(false), ShouldEqual, http.StatusBadGateway)
		So(func() { h.Record(Lost) }, ShouldPanic)
	})
}

func TestMayHedge(t *testing.T) {
	Convey("Attempts in flight count as runs", t, func() {
		h := History{Idempotent: true, MaxServers: 3}
		So(h.MayHedge(time.Second, 1), ShouldBeTrue)
		So(h.MayHedge(time.Second, 2), ShouldBeTrue)
		So(h.MayHedge(time.Second, 3), ShouldBeFalse)
		So(h.MayHedge(MinTimeLeft-1, 1), ShouldBeFalse)
		h.Record(Lost)
		So(h.MayHedge(time.Second, 1), ShouldBeTrue)
		So(h.MayHedge(time.Second, 2), ShouldBeFalse)
		h.Record(NotExecuted)
		So(h.MayHedge(time.Second, 1), ShouldBeTrue)
		So((&History{MaxServers: 3}).MayHedge(time.Second, 1), ShouldBeFalse)
		So((&History{Idempotent: true}).MayHedge(time.Second, 1), ShouldBeFalse)
	})
}
