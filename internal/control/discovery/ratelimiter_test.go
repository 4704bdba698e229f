package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRateLimiter(t *testing.T) {
	Convey("Calls within the burst don't wait, and further calls are limited to the rate", t, func() {
		now := time.Unix(1000, 0)
		limiter := newRateLimiter(50)
		calls := 0
		for begin := now; now.Sub(begin) < 10*time.Second; calls++ {
			now = now.Add(limiter.reserve(now))
		}
		So(calls, ShouldBeBetweenOrEqual, 400, 400+int(burstSeconds*50))
	})
	Convey("Without a rate calls don't wait", t, func() {
		limiter := newRateLimiter(0)
		So(limiter.reserve(time.Unix(1000, 0)), ShouldEqual, 0)
		So(limiter.reserve(time.Unix(1000, 0)), ShouldEqual, 0)
	})
}

func TestRejectedPage(t *testing.T) {
	Convey("A page after the first that is rejected with 429 is read again", t, func() {
		rejections := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			at, _ := strconv.Atoi(r.URL.Query().Get("page-token"))
			if at == 2 && rejections < 2 {
				rejections++
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			next := "null"
			if at < 3 {
				next = fmt.Sprintf("%q", strconv.Itoa(at+1))
			}
			fmt.Fprintf(w, `{"instances":[{"id":"i-%d"}],"next-token":%s}`, at, next)
		}))
		Reset(server.Close)
		list, err := NewReader(strings.TrimPrefix(server.URL, "http://"), "", 1000).Read(context.Background())
		So(err, ShouldBeNil)
		So(list.Servers, ShouldHaveLength, 4)
		So(rejections, ShouldEqual, 2)
	})
}
