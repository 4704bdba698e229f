package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/protocol"
)

const ms = time.Millisecond

func TestSchedule(t *testing.T) {
	Convey("The process of rank 0 reads at once and then every readInterval", t, func() {
		var s Schedule
		So(s.NextRead(), ShouldEqual, 0)
		s.ReadSucceeded(10*ms, 0)
		So(s.NextRead(), ShouldEqual, 10*ms+readInterval)
		s.ReadFailed(900*ms, 0)
		So(s.NextRead(), ShouldEqual, 1000*ms)
		s.ReadFailed(1000*ms, time.Hour)
		So(s.NextRead(), ShouldEqual, 1000*ms+maxRetryDelay)
		s.ReadSucceeded(1900*ms, 0)
		So(s.NextRead(), ShouldEqual, 1900*ms+readInterval)
	})
	Convey("Another process takes over after a time-out, and stops when a process of lower rank reads again", t, func() {
		var s Schedule
		s.SetRank(2)
		s.ListReceived(100*ms, 0, 0)
		So(s.NextRead(), ShouldEqual, 100*ms+takeoverTimeout+2*takeoverStagger)
		s.ReadSucceeded(2500*ms, 0)
		So(s.NextRead(), ShouldEqual, 2500*ms+readInterval)
		s.ListReceived(2400*ms, 0, 0)
		So(s.NextRead(), ShouldEqual, 2500*ms+readInterval)
		s.ListReceived(2600*ms, 0, 0)
		So(s.NextRead(), ShouldEqual, 2600*ms+takeoverTimeout+2*takeoverStagger)
	})
	Convey("The time-out for taking over allows for the duration of the last read", t, func() {
		var s Schedule
		s.SetRank(1)
		s.ListReceived(100*ms, 3000*ms, 0)
		So(s.NextRead(), ShouldEqual, 3100*ms+takeoverTimeout+takeoverStagger)
	})
	Convey("A list from a process of higher rank doesn't stop the reader", t, func() {
		var s Schedule
		s.SetRank(1)
		s.ReadSucceeded(0, 0)
		s.ListReceived(100*ms, 0, 2)
		So(s.NextRead(), ShouldEqual, 100*ms+readInterval)
	})
}

func TestReader(t *testing.T) {
	instance := func(i int, state string) string {
		return fmt.Sprintf(
			`{"backend":"b","address":"10.0.0.%d:80","zone":"z","generation":"v1","slots":16,"state":%q,"cold-remaining-ms":250,"stage":"both","models":[],"id":"i-%d"}`,
			i,
			state,
			i,
		)
	}
	serve := func(handler http.HandlerFunc) *Reader {
		server := httptest.NewServer(handler)
		Reset(server.Close)
		return NewReader(strings.TrimPrefix(server.URL, "http://"), "", 0)
	}
	Convey("All pages are combined into one list", t, func() {
		reader := serve(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Query().Get("page-token") {
			case "":
				fmt.Fprintf(w, `{"instances":[%s,%s],"next-token":"p 2"}`, instance(2, "ready"), instance(1, "ready"))
			case "p 2":
				fmt.Fprintf(
					w,
					`{"instances":[%s,%s],"next-token":null}`,
					instance(2, "draining"),
					instance(3, "draining"),
				)
			}
		})
		list, err := reader.Read(context.Background())
		So(err, ShouldBeNil)
		So(list.Servers, ShouldHaveLength, 3)
		So(
			list.Servers[0],
			ShouldResemble,
			protocol.Server{
				ID:      "i-1",
				Backend: "b",
				Address: "10.0.0.1:80",
				Zone:    "z",
				Slots:   16,
				Cold:    250 * ms,
				Stage:   "both",
			},
		)
		So(list.Servers[1].Draining, ShouldBeTrue)
		again, err := reader.Read(context.Background())
		So(err, ShouldBeNil)
		So(again.Digest, ShouldEqual, list.Digest)
	})
	Convey("A server whose id would add headers to requests, or arrive there changed, is left out", t, func() {
		reader := serve(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"instances":[%s,{"id":"i-2\r\nX-Tenant: other"},{"id":" i-3"},{"id":""}],"next-token":null}`,
				instance(1, "ready"))
		})
		list, err := reader.Read(context.Background())
		So(err, ShouldBeNil)
		So(list.Servers, ShouldHaveLength, 1)
		So(list.Malformed, ShouldEqual, 3)
	})
	Convey("One failing page fails the whole read", t, func() {
		for _, answer := range []string{"", "{}", `{"instances":null}`, `{"instances":[`, `[]`} {
			reader := serve(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Query().Get("page-token") == "" {
					fmt.Fprintf(w, `{"instances":[%s],"next-token":"x"}`, instance(1, "ready"))
					return
				}
				fmt.Fprint(w, answer)
			})
			_, err := reader.Read(context.Background())
			So(err, ShouldNotBeNil)
		}
	})
	Convey("A response with status 429 gives a RateLimitError", t, func() {
		reader := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "0.5")
			w.WriteHeader(http.StatusTooManyRequests)
		})
		_, err := reader.Read(context.Background())
		var rate *RateLimitError
		So(errors.As(err, &rate), ShouldBeTrue)
		So(rate.RetryAfter, ShouldEqual, 500*ms)
	})
	Convey("A page that names itself as the next page is an error", t, func() {
		reader := serve(
			func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"instances":[],"next-token":"x"}`) },
		)
		_, err := reader.Read(context.Background())
		So(err, ShouldNotBeNil)
	})
}
