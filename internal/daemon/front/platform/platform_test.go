package platform_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/front/platform"
	"sprucelane.example/sprucelane/internal/fake"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/policy"
)

// newFront returns a front with a core and a pool of the given servers.
func newFront(t *testing.T, members ...*fake.Peer) *platform.Front {
	d := fake.Deployment()
	p := pool.New(pool.Options{MaxConnections: 50, IdleTimeout: d.IdleTimeout, ConnectTimeout: d.ConnectTimeout})
	t.Cleanup(p.Close)
	c, err := core.New(d.Settings, 1, core.NewClock(), p, nil)
	require.NoError(t, err)
	var list []policy.ServerInfo
	for i, m := range members {
		p.Set(policy.ServerID(i+1), m.Addr, policy.Ready)
		list = append(list, policy.ServerInfo{ID: policy.ServerID(i + 1), Weight: 1})
	}
	c.Servers(policy.ListFull, list)
	return &platform.Front{Core: c, Settings: platform.NewSettings(d), OpenRequests: &platform.OpenRequests{},
		Ready: func() bool { return p.ReadyServers() > 0 }}
}

// gateway starts a gateway with the given servers and returns its address and its core.
func gateway(t *testing.T, members ...*fake.Peer) (string, *core.Core) {
	f := newFront(t, members...)
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return s.URL, f.Core
}

func TestServedUnchanged(t *testing.T) {
	m := fake.New(t, fake.OK("crew sent"))
	base, _ := gateway(t, m)
	resp, body := fake.Ask(t, base, "work-order", "utility", 20000, "X-Request-Id", "9b1f03aa5c7e2d41")
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	assert.Equal(t, "crew sent", body)
	got := m.Seen()[0]
	assert.Equal(t, "/work-order/site%2F9?unit=4", got.RequestURI)
	assert.Equal(t, "crew=7", got.Text)
	assert.Equal(t, "9b1f03aa5c7e2d41", got.Header.Get("X-Request-Id"))
	assert.NotEmpty(t, got.Header.Get("X-Deadline-Ms"))
}

// The idempotency key reaches each server that is tried exactly as the client sent it; without the key a server would
// execute a retry as a new request.
func TestKeyPassesThrough(t *testing.T) {
	const key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	m := fake.New(t, fake.Reset, fake.OK("read"))
	base, _ := gateway(t, m)
	resp, _ := fake.Ask(t, base, "meter-batch", "utility", 20000, "Idempotency-Key", key)
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	require.Len(t, m.Seen(), 2)
	for _, got := range m.Seen() {
		assert.Equal(t, []string{key}, got.Header.Values("Idempotency-Key"))
	}
}

// A keyed request without a key, or with two, is malformed: servers could not recognize its retries.
func TestKeyedClassNeedsOneKey(t *testing.T) {
	m := fake.New(t, fake.OK("read"))
	base, c := gateway(t, m)
	head := strings.ReplaceAll(head, "work-order", "meter-batch") + "Content-Length: 0\r\n"
	for _, keys := range []string{"", "Idempotency-Key: \r\n", "Idempotency-Key: a\r\nIdempotency-Key: a\r\n",
		"Idempotency-Key: " + strings.Repeat("k", 300) + "\r\n"} {
		got := raw(t, base, head+keys+"\r\n")
		assert.True(t, strings.HasPrefix(got, "HTTP/1.1 400 "), got)
	}
	assert.Contains(t, c.Counters().String(), "taken=0 ")
	assert.Empty(t, m.Seen())
}

// A request that was written completely before a reset may have been executed: if it is not idempotent, it is not
// retried, and the answer doesn't invite the client to send it again.
func TestNonIdempotentResetIsNotRetried(t *testing.T) {
	a, b := fake.New(t, fake.Reset), fake.New(t, fake.Reset)
	base, _ := gateway(t, a, b)
	resp, _ := fake.Ask(t, base, "work-order", "utility", 20000)
	assert.Equal(t, http.StatusBadGateway, resp.StatusCode)
	assert.Empty(t, resp.Header.Get("Retry-After"))
	assert.Equal(t, 1, len(a.Seen())+len(b.Seen()))
}

// The same holds after a 500, and after a 503 that doesn't say that the request was not executed.
func TestNonIdempotentErrorIsNotRetried(t *testing.T) {
	for _, code := range []int{500, 503} {
		m := fake.New(t, fake.Says(code, "", ""))
		base, _ := gateway(t, m)
		resp, _ := fake.Ask(t, base, "work-order", "utility", 20000)
		assert.Equal(t, http.StatusBadGateway, resp.StatusCode)
		assert.Len(t, m.Seen(), 1)
	}
}

func TestRejectedByServerIsRetried(t *testing.T) {
	m := fake.New(t, fake.NotRun(), fake.OK("done"))
	base, _ := gateway(t, m)
	resp, body := fake.Ask(t, base, "work-order", "utility", 20000)
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	assert.Equal(t, "done", body)
	assert.Len(t, m.Seen(), 2)
}

// A server accepts a request and does not answer: the client gets an error shortly before its own deadline.
func TestUnresponsiveServer(t *testing.T) {
	m := fake.New(t, fake.Stall(time.Hour))
	base, _ := gateway(t, m)
	resp, _ := fake.Ask(t, base, "work-order", "utility", 2000)
	assert.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	assert.Len(t, m.Seen(), 1)
}

// A rejection is sent at once, long before the deadline, and its Retry-After is an eighth of the latency target, so
// that there is still time for an answer to the retry.
func TestRejectionHasRetryAfter(t *testing.T) {
	m := fake.New(t, fake.OK("done"))
	base, c := gateway(t, m)
	for range 20 {
		resp, _ := fake.Ask(t, base, "work-order", "tiny", 20000)
		if resp.StatusCode != http.StatusOK {
			assert.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
			assert.Equal(t, "0.25", resp.Header.Get("Retry-After"))
		}
	}
	assert.Less(t, len(m.Seen()), 20)
	assert.Contains(t, c.Counters().String(), "taken=20 open=0")
}

// If a successful answer has the true cost of a request, that cost is charged: one request estimated at two units uses
// up a quota of two units, but not if the answer reports a lower cost. A malformed cost is ignored.
func TestTrueCostSettlesTheQuota(t *testing.T) {
	for told, spent := range map[string]bool{"X-True-Cost: 0.01\r\n": false, "X-True-Cost: 2\r\n": true, "": true,
		"X-True-Cost: -7\r\n": true, "X-True-Cost: nan\r\n": true, "X-True-Cost: 1e300\r\n": true} {
		m := fake.New(t, fake.Says(http.StatusOK, told, "done"))
		base, _ := gateway(t, m)
		served := 0
		for range 6 {
			if resp, _ := fake.Ask(t, base, "work-order", "tiny", 20000); resp.StatusCode == http.StatusOK {
				served++
			}
		}
		assert.Equal(t, spent, served < 3, "%q: %d served", told, served)
	}
}

func TestClientLeaves(t *testing.T) {
	m := fake.New(t, fake.Stall(time.Hour))
	base, c := gateway(t, m)
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		for len(m.Seen()) == 0 {
			time.Sleep(time.Millisecond)
		}
		leave()
	}()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, base+"/health-read", nil)
	r.Header = http.Header{"X-Request-Id": {"1"}, "X-Class": {"health-read"}, "X-Tariff": {"utility"},
		"X-Subscriber": {"01"}, "X-Deadline-Ms": {"15000"}, "X-Weight": {"units=1,spread=1,first=0"}}
	_, err := http.DefaultClient.Do(r)
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool { return strings.Contains(c.Counters().String(), "answered_gone=1") }, time.Minute,
		time.Millisecond)
}

// A malformed request reaches neither the decision module nor a server.
func TestMalformed(t *testing.T) {
	m := fake.New(t, fake.OK("done"))
	base, c := gateway(t, m)
	for _, header := range [][2]string{{"X-Request-Id", ""}, {"X-Class", "health-read"}, {"X-Tariff", "gold"},
		{"X-Subscriber", "0000000300000000"}, {"X-Deadline-Ms", "0"}, {"X-Deadline-Ms", "-4"}, {"X-Deadline-Ms", "1e3"},
		{"X-Weight", "units=NaN,spread=1,first=0"}, {"X-Weight", "units=1,spread=9,first=0"}, {"X-Weight", ""},
		{"X-Weight", "units=9,spread=1,first=0"}, {"X-Weight", "units=0,spread=1,first=0"},
		{"X-Weight", "units=1,spread=1.5,first=0"}, {"X-Weight", "units=1,spread=1"}} {
		resp, _ := fake.Ask(t, base, "work-order", "utility", 20000, header[0], header[1])
		assert.Equal(t, http.StatusBadRequest, resp.StatusCode, header)
	}
	long, err := http.Post(base+"/work-order", "", strings.NewReader(strings.Repeat("x", pool.MaxBufferedBody+1)))
	require.NoError(t, err)
	long.Body.Close()
	assert.GreaterOrEqual(t, long.StatusCode, 400)
	assert.Less(t, long.StatusCode, 500)
	assert.Contains(t, c.Counters().String(), "taken=0 ")
	assert.Empty(t, m.Seen())
}

// raw sends text on a new connection and returns everything that is received until the connection ends.
func raw(t *testing.T, base, text string) string {
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	return string(got)
}

const head = "POST /work-order HTTP/1.1\r\nHost: x\r\nX-Request-Id: 7\r\nX-Class: work-order\r\nX-Tariff: utility\r\n" +
	"X-Subscriber: 01\r\nX-Deadline-Ms: 15000\r\nX-Weight: units=1,spread=1,first=0\r\n"

// A request with two lengths may hide another request in its body: neither is forwarded, and the connection is closed.
func TestRequestSmuggling(t *testing.T) {
	m := fake.New(t, fake.OK("done"))
	base, c := gateway(t, m)
	hidden := strings.Replace(head, "Id: 7", "Id: 8", 1) + "Content-Length: 0\r\n\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", 5+len(hidden))
	got := raw(t, base, head+length+"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+hidden)
	assert.True(t, strings.HasPrefix(got, "HTTP/1.1 400 "), got)
	assert.Equal(t, 1, strings.Count(got, "HTTP/1.1 "))
	assert.Contains(t, c.Counters().String(), "taken=0 ")
	assert.Empty(t, m.Seen())
}

// The gateway does not wait until the deadline for a body that never arrives completely.
func TestTruncatedBody(t *testing.T) {
	m := fake.New(t, fake.OK("done"))
	base, _ := gateway(t, m)
	got := raw(t, base, head+"Content-Length: 9\r\n\r\nhalf")
	assert.True(t, strings.HasPrefix(got, "HTTP/1.1 400 "), got)
	assert.Empty(t, m.Seen())
}

// A request with the id of an open request is rejected: to a server it would look like a second copy of that request.
func TestDuplicateRequestID(t *testing.T) {
	seen := make(chan bool)
	m := fake.New(t, func(p *fake.Peer, c net.Conn, r fake.Seen) bool {
		<-seen
		return fake.OK("done")(p, c, r)
	})
	base, _ := gateway(t, m)
	first := make(chan int)
	go func() {
		resp, _ := fake.Ask(t, base, "work-order", "utility", 20000, "X-Request-Id", "7")
		first <- resp.StatusCode
	}()
	require.Eventually(t, func() bool { return len(m.Seen()) == 1 }, time.Minute, time.Millisecond)
	resp, _ := fake.Ask(t, base, "health-read", "utility", 20000, "X-Request-Id", "7")
	assert.Equal(t, http.StatusConflict, resp.StatusCode)
	close(seen)
	assert.Equal(t, http.StatusOK, <-first)
	resp, _ = fake.Ask(t, base, "health-read", "utility", 20000, "X-Request-Id", "7")
	assert.Equal(t, http.StatusOK, resp.StatusCode)
}
