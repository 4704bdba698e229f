package controlclient

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/smartystreets/goconvey/convey"
)

// scriptedControl starts a control process with scripted answers: each call gets the next one, and the last one is
// repeated.
func scriptedControl(t *testing.T, answers ...http.HandlerFunc) (address string, calls *atomic.Int32) {
	calls = &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := int(calls.Add(1))
		answers[min(n, len(answers))-1](w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), calls
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		io.WriteString(w, "why")
	}
}

func redirect(to string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Location", "http://"+to+r.URL.Path)
		w.WriteHeader(http.StatusTemporaryRedirect)
	}
}

// neverAnswers reads the request, because the server notices the end of the connection only then, and sends no answer.
func neverAnswers(_ http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func put(addresses ...string) (*Response, error) {
	client := &Client{Addresses: addresses, Timeout: 3 * time.Second}
	return client.Call(
		context.Background(),
		Request{Method: http.MethodPut, Path: "/config", IfMatch: "5", Body: []byte(`{}`)},
	)
}

func TestCall(t *testing.T) {
	Convey("The request is sent with its header fields and body", t, func() {
		var seen *http.Request
		var body []byte
		address, _ := scriptedControl(t, func(_ http.ResponseWriter, r *http.Request) {
			seen = r
			body, _ = io.ReadAll(r.Body)
		})
		answer, err := put(address)
		So(err, ShouldBeNil)
		So(answer.Address, ShouldEqual, address)
		So(seen.Header.Get("If-Match"), ShouldEqual, "5")
		So(seen.Header.Get("Content-Type"), ShouldEqual, "application/json")
		So(string(body), ShouldEqual, "{}")
	})
	Convey("A request that failed is repeated at another address", t, func() {
		first, _ := scriptedControl(t, status(503))
		second, _ := scriptedControl(t, status(200))
		answer, err := put("127.0.0.1:1", first, second)
		So(err, ShouldBeNil)
		So(answer.Address, ShouldEqual, second)
	})
	Convey("A request is repeated at another address after a time-out", t, func() {
		first, _ := scriptedControl(t, neverAnswers)
		second, _ := scriptedControl(t, status(200))
		_, err := put(first, second)
		So(err, ShouldBeNil)
	})
	Convey("A redirection is followed with the same body", t, func() {
		var body []byte
		second, _ := scriptedControl(t, func(_ http.ResponseWriter, r *http.Request) { body, _ = io.ReadAll(r.Body) })
		first, _ := scriptedControl(t, redirect(second))
		answer, err := put(first)
		So(err, ShouldBeNil)
		So(answer.Address, ShouldEqual, second)
		So(string(body), ShouldEqual, "{}")
	})
	Convey("A cycle of redirections ends with Unanswered", t, func() {
		var address string
		address, _ = scriptedControl(t, func(w http.ResponseWriter, r *http.Request) { redirect(address)(w, r) })
		_, err := put(address)
		So(errorx.IsOfType(err, Unanswered), ShouldBeTrue)
	})
	Convey("A definite rejection is not repeated", t, func() {
		for _, code := range []int{400, 409, 412, 413, 422} {
			address, calls := scriptedControl(t, status(code))
			_, err := put(address)
			So(errorx.IsOfType(err, Rejected), ShouldBeTrue)
			So(StatusOf(err), ShouldEqual, code)
			So(err.Error(), ShouldContainSubstring, "why")
			So(calls.Load(), ShouldEqual, 1)
		}
	})
	Convey("A rejection with another status is definite at the third attempt", t, func() {
		address, calls := scriptedControl(t, status(404))
		_, err := put(address)
		So(StatusOf(err), ShouldEqual, 404)
		So(calls.Load(), ShouldEqual, 3)
	})
	Convey("Without any answer the error is of type Unanswered", t, func() {
		_, err := put("127.0.0.1:1")
		So(errorx.IsOfType(err, Unanswered), ShouldBeTrue)
		So(StatusOf(err), ShouldEqual, 0)
	})
}
