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
			a := Account{Repeatable: random.IntN(2) == 0, MaxServers: random.IntN(4)}
			ran, tries := 0, 0
			for a.Again(time.Duration(random.IntN(200)) * time.Millisecond) {
				outcome := Outcome(random.IntN(4))
				if tries++; outcome == Lost || outcome == Failed {
					ran++
				}
				a.Note(outcome)
			}
			most := 1
			if a.Repeatable {
				most = max(1, a.MaxServers)
			}
			if ran > most || tries > mostRefusals+mostUnsent+most {
				So(ran, ShouldBeLessThanOrEqualTo, most)
			}
			status := a.Status(random.IntN(2) == 0)
			if (status == http.StatusServiceUnavailable) != (ran == 0) {
				So(status, ShouldNotEqual, http.StatusServiceUnavailable)
			}
		}
	})
	Convey("A server that refused may be followed by another, one that may have run it may not", t, func() {
		a := Account{MaxServers: 1}
		a.Note(NotExecuted)
		a.Note(NotSent)
		So(a.Again(time.Second), ShouldBeTrue)
		So(a.Again(LeastTime-1), ShouldBeFalse)
		a.Note(Lost)
		So(a.Again(time.Second), ShouldBeFalse)
		So(a.Status(true), ShouldEqual, http.StatusGatewayTimeout)
		So(a.Status(false), ShouldEqual, http.StatusBadGateway)
		So(func() { a.Note(Lost) }, ShouldPanic)
	})
}
