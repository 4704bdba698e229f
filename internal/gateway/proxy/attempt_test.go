package proxy

import (
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/fake"
	"sprucelane.example/sprucelane/internal/protocol"
)

var (
	good       = responds(200, signatureLine, "good")
	goodStream = streams(5, "", true)
)

// firstAttempts are the ways in which a first attempt may end, and whether the request may have run by then.
var firstAttempts = map[string]struct {
	reply              fake.Reply
	ran                bool
	serverStatus       int  // the server's status, forwarded if there is no further attempt; 0: the gateway's own status
	ownResponseFollows bool // the response to the request follows on the same connection
}{
	"server full":                  {reply: responds(503, "X-Not-Executed: 1\r\n", "")},
	"over the server's quota":      {reply: responds(429, "X-Not-Executed: 1\r\n", "")},
	"not the intended server":      {reply: responds(421, "X-Instance-Id: i-9\r\n", "")},
	"reset":                        {reply: fake.Reset, ran: true},
	"closed":                       {reply: writesText("", false), ran: true},
	"garbage":                      {reply: writesText("\x00\x01 not an answer\r\n\r\n", false), ran: true},
	"half a head":                  {reply: writesText("HTTP/1.1 200 OK\r\nX-Requ", false), ran: true},
	"response to another request":  {reply: writesText(mismatchedResponse, false), ran: true},
	"rejection of another request": {reply: writesText("HTTP/1.1 503 x\r\nX-Request-Id: o\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false), ran: true},
	"two ids":                      {reply: responds(200, signatureLine+"X-Request-Id: other\r\n", "good"), ran: true},
	"two signatures":               {reply: responds(200, signatureLine+signatureLine, "good"), ran: true},
	"response within the head of a rejection": {reply: inSequence(writesText("HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nX-Note: ", true), good), ran: true},
	"no signature":                                  {reply: responds(200, "", "good"), ran: true},
	"content encoding":                              {reply: responds(200, signatureLine+"Content-Encoding: gzip\r\n", "good"), ran: true},
	"503 without X-Not-Executed":                    {reply: responds(503, signatureLine, ""), ran: true},
	"429 without X-Not-Executed":                    {reply: responds(429, signatureLine, ""), ran: true},
	"the server's own 500":                          {reply: responds(500, signatureLine, "broke"), ran: true, serverStatus: 500},
	"the server's own 504":                          {reply: responds(504, signatureLine, "late"), ran: true, serverStatus: 504},
	"response to another request, then to this one": {reply: inSequence(writesText(mismatchedResponse, true), good), ran: true, ownResponseFollows: true},
}

// TestFirstAttempt checks that a client gets the server's complete response, or 503 only if no server has run
// the request, or else an error without that promise; and that no request runs on more servers than its route
// allows.
func TestFirstAttempt(t *testing.T) {
	for name, first := range firstAttempts {
		for _, route := range []string{"safe", "unsafe", "stream", "resume"} {
			Convey(name+" on "+route, t, func() {
				retryReply := good
				if route == "stream" || route == "resume" {
					retryReply = goodStream
				}
				r := startGateway(t, 2, first.reply, retryReply)
				got := r.ask("POST", "/"+route+"/x?y=%2F")
				seen := len(r.seen())
				repeatable := route == "safe" || route == "resume"
				So(got.err, ShouldBeNil)
				switch {
				case first.ownResponseFollows:
					So(got.status, ShouldEqual, 200)
					So(got.body, ShouldEqual, "good")
					So(seen, ShouldEqual, 1)
				case !first.ran || repeatable:
					So(got.status, ShouldEqual, 200)
					So(got.header.Get("X-Response-Signature"), ShouldEqual, "sig")
					So(got.body, ShouldBeIn, "good", eventsTo(5))
					So(seen, ShouldEqual, 2)
				case first.serverStatus != 0:
					So(got.status, ShouldEqual, first.serverStatus)
					So(seen, ShouldEqual, 1)
				default:
					So(got.status, ShouldEqual, http.StatusBadGateway)
					So(seen, ShouldEqual, 1)
				}
			})
		}
	}
}

func TestAllAttempts(t *testing.T) {
	Convey("A request that every server rejects is answered with a promise that nothing ran, and Retry-After", t, func() {
		for _, route := range []string{"safe", "unsafe", "stream", "resume"} {
			r := startGateway(t, 2, responds(503, "X-Not-Executed: 1\r\n", ""))
			got := r.ask("POST", "/"+route+"/x")
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
			So(got.header.Get("X-Response-Signature"), ShouldBeEmpty)
			So(r.seen(), ShouldHaveLength, 2)
		}
	})
	Convey("An idempotent request runs on no more servers than its route allows", t, func() {
		for _, route := range []string{"safe", "resume"} {
			r := startGateway(t, 5, fake.Reset)
			got := r.ask("POST", "/"+route+"/x")
			So(got.status, ShouldEqual, http.StatusBadGateway)
			So(r.seen(), ShouldHaveLength, 2)
		}
	})
	Convey("If nothing listens at the server's address, the request has not run", t, func() {
		r := startGateway(t, 0)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		l.Close()
		r.registry.Apply(&protocol.ServerList{Servers: []protocol.Server{{ID: "gone", Backend: "b", Address: l.Addr().String()}}})
		got := r.ask("POST", "/unsafe/x")
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
	})
}
