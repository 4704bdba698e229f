package batchcall

import (
	"context"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

func TestRoute(t *testing.T) {
	Convey("An owner that is named goes first, and nobody is asked twice", t, func() {
		r := newRoute([]string{"a", "b", "c"})
		So(r.next(), ShouldEqual, "a")
		r.owner("c")
		So(r.next(), ShouldEqual, "c")
		r.owner("a")
		So(r.more(), ShouldBeTrue)
		So(r.next(), ShouldEqual, "b")
		So(r.more(), ShouldBeFalse)
		So(r.next(), ShouldBeEmpty)
	})
	Convey("The own zone goes first, what leaves last, what has left not at all", t, func() {
		c := &Caller{settings: &node.Settings{Zone: "z"}}
		member := func(ip, zone string, state protocol.StoreState) protocol.StoreMember {
			return protocol.StoreMember{Process: protocol.Process{IP: ip, Zone: zone}, State: state}
		}
		for range 5 {
			order := c.order([]protocol.StoreMember{member("1", "y", protocol.StoreActive), member("2", "z", protocol.StoreActive),
				member("3", "z", protocol.StoreRetiring), member("4", "z", protocol.StoreRetired)})
			So(order, ShouldResemble, []string{"2", "1", "3"})
		}
		So(c.order(nil), ShouldBeEmpty)
	})
}

func TestPromises(t *testing.T) {
	Convey("A submission that somebody may have taken is not refused with a promise", t, func() {
		submit, read := protocol.BatchCall{Operation: protocol.BatchSubmit}, protocol.BatchCall{Operation: protocol.BatchRead}
		for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			answer := protocol.BatchAnswer{Status: status}
			So(promised(submit, answer, true).Status, ShouldEqual, http.StatusGatewayTimeout)
			So(promised(submit, answer, false).Status, ShouldEqual, status)
			So(promised(read, answer, true).Status, ShouldEqual, status)
		}
		So(promised(submit, protocol.BatchAnswer{Status: http.StatusAccepted}, true).Status, ShouldEqual, http.StatusAccepted)
		So(refusal(submit, true).Status, ShouldEqual, http.StatusGatewayTimeout)
		So(refusal(submit, false).Status, ShouldEqual, http.StatusServiceUnavailable)
		So(refusal(read, true).Status, ShouldEqual, http.StatusServiceUnavailable)
	})
}

func TestSubmission(t *testing.T) {
	answered := func(status int) attempt { return attempt{answer: protocol.BatchAnswer{Status: status}} }
	run := func(asks map[string]func() attempt) (protocol.BatchAnswer, bool, *submission) {
		s := &submission{route: newRoute([]string{"a", "b", "c"}), came: make(chan attempt, hopsMost), slow: func(string) {}}
		s.ask = func(ip string) attempt { return asks[ip]() }
		answer, decided := s.run(context.Background())
		return answer, decided, s
	}
	say := func(one attempt) func() attempt { return func() attempt { return one } }
	Convey("Where one says nothing another is asked, and what that one says counts", t, func() {
		silent := make(chan struct{})
		defer close(silent)
		answer, decided, _ := run(map[string]func() attempt{
			"a": func() attempt { <-silent; return attempt{} },
			"b": say(attempt{answer: protocol.BatchAnswer{Owner: "c"}}),
			"c": say(answered(http.StatusAccepted)),
		})
		So(decided, ShouldBeTrue)
		So(answer.Status, ShouldEqual, http.StatusAccepted)
	})
	Convey("A refusal stands only where nobody may have taken it", t, func() {
		_, decided, s := run(map[string]func() attempt{
			"a": say(attempt{err: transport.ErrNotConnected}), "b": say(answered(http.StatusServiceUnavailable)),
		})
		So(decided, ShouldBeFalse)
		So(s.uncertain, ShouldBeFalse)
		So(s.refused.Status, ShouldEqual, http.StatusServiceUnavailable)
		_, decided, s = run(map[string]func() attempt{
			"a": say(attempt{err: transport.ErrUncertain}), "b": say(answered(http.StatusServiceUnavailable)),
		})
		So(decided, ShouldBeFalse)
		So(s.uncertain, ShouldBeTrue)
	})
}
