package proxy

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/fake"
	"sprucelane.example/sprucelane/internal/protocol"
)

// requestWithDeadline returns a request with an X-Deadline-Ms, unless deadlineMs is empty, on a route with a
// time-out.
func requestWithDeadline(deadlineMs string, operation protocol.BatchOperation, timeoutMs float64) *request {
	r, _ := http.NewRequest(http.MethodPost, "http://h.example/safe/x", nil)
	r.RequestURI = "/safe/x"
	if deadlineMs != "" {
		r.Header.Set(headerDeadline, deadlineMs)
	}
	return &request{r: r, route: &configuration.Route{TimeoutMs: timeoutMs}, operation: operation, arrived: time.Now(),
		proxy: &Proxy{}, tenant: &configuration.Tenant{Name: testTenant}}
}

func TestTimeLimit(t *testing.T) {
	for deadlineMs, want := range map[string]time.Duration{
		"": 3000, "2000": 2000, "4000": 3000, "0": 0, "5": 0, "-1": 3000, "soon": 3000, "1e3": 3000, "99999999999999999999": 3000,
	} {
		assert.Equal(t, max(0, want*time.Millisecond-transitMargin), requestWithDeadline(deadlineMs, 0, 3000).timeLimit(), deadlineMs)
	}
	assert.Equal(t, time.Second-transitMargin, requestWithDeadline("1000", 0, 0).timeLimit())
	assert.Equal(t, defaultClientTimeout-transitMargin, requestWithDeadline("", 0, 0).timeLimit(), "a route without a time-out")
	assert.Equal(t, defaultBatchTimeout-transitMargin, requestWithDeadline("", protocol.BatchSubmit, 0).timeLimit())
	assert.Equal(t, 2*time.Second-transitMargin, requestWithDeadline("", protocol.BatchSubmit, 2000).timeLimit())
	assert.Equal(t, time.Second-transitMargin, requestWithDeadline("1000", protocol.BatchSubmit, 2000).timeLimit())
}

// TestForwardedDeadline checks that each attempt forwards the time that is left when it is written: never
// more than the client waits, nor than its route allows.
func TestForwardedDeadline(t *testing.T) {
	for deadlineMs, limit := range map[string]time.Duration{"2000": 2 * time.Second, "": 3 * time.Second, "60000": 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			q := requestWithDeadline(deadlineMs, 0, 3000)
			q.deadline = q.arrived.Add(q.timeLimit())
			q.headerLines = forwardedHeaders(q.r.Header)
			for _, later := range []time.Duration{0, 700 * time.Millisecond, 600 * time.Millisecond} {
				time.Sleep(later)
				var head bytes.Buffer
				q.writeRequestHead(&head, "i-1", "")
				seen, err := http.ReadRequest(bufio.NewReader(&head))
				require.NoError(t, err)
				require.Len(t, seen.Header[headerDeadline], 1)
				forwarded, err := strconv.Atoi(seen.Header.Get(headerDeadline))
				require.NoError(t, err)
				assert.Equal(t, limit-transitMargin-time.Since(q.arrived), time.Duration(forwarded)*time.Millisecond)
			}
		})
	}
}

// TestMaxServersPerRequest checks that a stream that breaks off at every server, and a request that fails at
// every server, reach as many servers as their route allows.
func TestMaxServersPerRequest(t *testing.T) {
	cutAfterAnEvent := func(p *fake.Peer, c net.Conn, s fake.Seen) bool {
		after := 0
		fmt.Sscan(s.Header.Get(headerLastEventID), &after)
		return streams(after+1, "", false)(p, c, s)
	}
	for name, test := range map[string]struct {
		route       string
		reply       fake.Reply
		wantServers int // expected number of servers; 0: as many as the route allows
	}{
		"resumed":                      {"resume", cutAfterAnEvent, 0},
		"reset before the first event": {"resume", fake.Reset, 0},
		"failing":                      {"safe", responds(500, signatureLine, "no"), 0},
		"reset":                        {"safe", fake.Reset, 0},
		"not resumable":                {"stream", cutAfterAnEvent, 1},
		"unsafe":                       {"unsafe", fake.Reset, 1},
	} {
		for allowed := 1; allowed <= 4; allowed++ {
			r := startGateway(t, 6, test.reply)
			r.changeConfiguration(func(d *configuration.Document) {
				for i := range d.Routes {
					d.Routes[i].MaxAttempts = allowed
				}
			})
			r.ask(http.MethodPost, "/"+test.route+"/x")
			reached := 0
			for _, peer := range r.servers {
				reached += min(1, len(peer.Seen()))
			}
			assert.Equal(t, cmp.Or(test.wantServers, allowed), reached, "%s: %d allowed", name, allowed)
			assert.Len(t, r.seen(), reached, "%s: the request reached a server twice", name)
		}
	}
}
