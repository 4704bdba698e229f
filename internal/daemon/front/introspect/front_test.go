package introspect_test

import (
	"crypto/x509"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/config"
	"sprucelane.example/sprucelane/internal/daemon/front/introspect"
	"sprucelane.example/sprucelane/internal/daemon/front/platform"
	"sprucelane.example/sprucelane/internal/fake"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/policy"
)

// stallTime is the time for which a stalled endpoint does not answer.
const stallTime = 10 * time.Second

var (
	active  = fake.OK(`{"active":true,"scope":"read orders.write","sub":"farm-9","account":"00000000b4d65521"}`)
	revoked = fake.OK(`{"active":false}`)
)

// testFront is the address of a front and the counters of its two cores.
type testFront struct {
	base         string
	main, checks func() string
}

// start starts a front with one server and one introspection endpoint.
func start(t *testing.T, member, endpoint *fake.Peer, change func(*config.Introspection)) testFront {
	d := fake.Deployment()
	conf := config.Introspection{Endpoints: []string{endpoint.Addr}, Path: "/oauth/introspect", ClientID: "gate",
		ClientSecret: "s:e", Timeout: 5 * time.Second, Realm: "farm", Scopes: map[string]string{"work-order": "orders.write"},
		Tools: []config.Tool{{ID: "console", Secret: "tool secret", Account: 4, Plan: "utility"}}}
	if change != nil {
		change(&conf)
	}
	p := pool.New(pool.Options{MaxConnections: 200, IdleTimeout: d.IdleTimeout, ConnectTimeout: d.ConnectTimeout})
	t.Cleanup(p.Close)
	clock := core.NewClock()
	c, err := core.New(d.Settings, 1, clock, p, nil)
	require.NoError(t, err)
	p.Set(1, member.Addr, policy.Ready)
	c.Servers(policy.ListFull, []policy.ServerInfo{{ID: 1, Weight: 1}})
	checker, err := introspect.NewChecker(conf, d, 200, 1, clock, nil)
	require.NoError(t, err)
	require.NoError(t, checker.Start(nil))
	t.Cleanup(checker.Close)
	s := httptest.NewServer(&introspect.Front{Core: c, Checker: checker, Settings: platform.NewSettings(d),
		OpenRequests: &platform.OpenRequests{}, Ready: func() bool { return true }})
	t.Cleanup(s.Close)
	return testFront{s.URL, func() string { return c.Counters().String() },
		func() string { return checker.Counters().String() }}
}

func send(t *testing.T, s testFront, waitMs int) (*http.Response, string) {
	return fake.Ask(t, s.base, "work-order", "utility", waitMs, "Authorization", "Bearer tok-1.~/+=")
}

func TestActiveTokenIsForwarded(t *testing.T) {
	member, endpoint := fake.New(t, fake.OK("sent")), fake.New(t, active)
	s := start(t, member, endpoint, nil)
	resp, body := send(t, s, 20000)
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	assert.Equal(t, "sent", body)
	asked := endpoint.Seen()[0]
	id, secret, _ := asked.BasicAuth()
	form, _ := url.ParseQuery(asked.Text)
	assert.Equal(t, "POST /oauth/introspect gate s%3Ae tok-1.~/+=",
		strings.Join([]string{asked.Method, asked.RequestURI, id, secret, form.Get("token")}, " "))
	assert.Empty(t, member.Seen()[0].Header.Get("Authorization"))
}

// The endpoint stalls: every request gets exactly one answer, with a Retry-After, and none is executed. The wait ends
// with the check's timeout or the client's deadline, whichever is earlier.
func TestStalledEndpoint(t *testing.T) {
	for _, c := range []struct {
		timeout time.Duration
		waitMs  int
	}{{400 * time.Millisecond, 20000}, {30 * time.Second, 1500}} {
		member, endpoint := fake.New(t, fake.OK("sent")), fake.New(t, fake.Stall(stallTime))
		s := start(t, member, endpoint, func(in *config.Introspection) { in.Timeout = c.timeout })
		const n = 40
		began := time.Now()
		var answered sync.WaitGroup
		codes := make([]int, n)
		for i := range n {
			answered.Go(func() {
				resp, _ := send(t, s, c.waitMs)
				codes[i] = resp.StatusCode
				assert.NotEmpty(t, resp.Header.Get("Retry-After"))
			})
		}
		answered.Wait()
		assert.Less(t, time.Since(began), stallTime)
		for _, code := range codes {
			assert.Equal(t, http.StatusServiceUnavailable, code)
		}
		assert.NotEmpty(t, endpoint.Seen())
		assert.Empty(t, member.Seen())
		assert.Contains(t, s.main(), fmt.Sprintf("taken=%d open=0 sent=0 answered_served=0 answered_refused=%d ", n, n))
	}
}

// Endpoint stalls, revocations, lost connections and rejections by servers occur at the same time: each request gets
// exactly one answer, no request is executed twice, and no request is executed whose answer says that it was not.
func TestNoRequestRunsTwice(t *testing.T) {
	var mu sync.Mutex
	var asked, came int
	runs := map[string]int{}
	endpoint := fake.New(t, func(p *fake.Peer, c net.Conn, r fake.Seen) bool {
		mu.Lock()
		asked++
		n := asked
		mu.Unlock()
		switch n % 10 {
		case 3:
			return revoked(p, c, r)
		case 7:
			return fake.Stall(stallTime)(p, c, r)
		}
		return active(p, c, r)
	})
	member := fake.New(t, func(p *fake.Peer, c net.Conn, r fake.Seen) bool {
		mu.Lock()
		came++
		n := came
		if n%3 != 0 {
			runs[r.Header.Get("X-Request-Id")]++
		}
		mu.Unlock()
		switch {
		case n%3 == 0:
			return fake.NotRun()(p, c, r)
		case n%7 == 0:
			return fake.Reset(p, c, r)
		}
		return fake.OK("sent")(p, c, r)
	})
	s := start(t, member, endpoint, func(in *config.Introspection) { in.Timeout = 2 * time.Second })
	const n = 120
	var answered sync.WaitGroup
	places := make(chan bool, 6)
	codes := make([]int, n)
	for i := range n {
		answered.Go(func() {
			places <- true
			defer func() { <-places }()
			resp, _ := fake.Ask(t, s.base, "work-order", "utility", 15000, "Authorization", "Bearer t",
				"X-Request-Id", fmt.Sprint("order-", i))
			codes[i] = resp.StatusCode
		})
	}
	answered.Wait()
	mu.Lock()
	defer mu.Unlock()
	kinds := map[int]int{}
	for i, code := range codes {
		kinds[code]++
		ran := runs[fmt.Sprint("order-", i)]
		assert.LessOrEqual(t, ran, 1)
		switch code {
		case http.StatusOK, http.StatusBadGateway:
			assert.Equal(t, 1, ran)
		default: // 401, 429 and 503 say that it was not executed
			assert.Zero(t, ran, code)
		}
	}
	assert.Positive(t, kinds[http.StatusOK])
	assert.Positive(t, kinds[http.StatusUnauthorized])
	assert.Positive(t, kinds[http.StatusBadGateway])
	assert.Contains(t, s.main(), fmt.Sprintf("taken=%d open=0 ", n))
}

// Introspection requests are sent to an endpoint behind TLS only if its certificate is valid.
func TestEndpointBehindTLS(t *testing.T) {
	as := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, `{"active":true,"scope":"orders.write"}`)
	}))
	defer as.Close()
	as.Config.ErrorLog = log.New(io.Discard, "", 0)
	roots := x509.NewCertPool()
	roots.AddCert(as.Certificate())
	for pool, code := range map[*x509.CertPool]int{
		roots:              http.StatusOK,
		x509.NewCertPool(): http.StatusServiceUnavailable,
	} {
		member := fake.New(t, fake.OK("sent"))
		s := start(t, member, &fake.Peer{Addr: strings.TrimPrefix(as.URL, "https://")}, func(in *config.Introspection) {
			in.TLS, in.Roots = true, pool
		})
		for range 2 { // the second time on the same connection
			resp, _ := send(t, s, 20000)
			assert.Equal(t, code, resp.StatusCode)
		}
	}
}

// The endpoint stalls between an attempt and its retry: the request is not retried, and is rejected because it was not
// executed.
func TestStallBeforeRetry(t *testing.T) {
	member, endpoint := fake.New(t, fake.NotRun(), fake.OK("sent")), fake.New(t, active, fake.Stall(stallTime))
	s := start(t, member, endpoint, func(c *config.Introspection) { c.Timeout = 1500 * time.Millisecond })
	resp, _ := send(t, s, 20000)
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	assert.Len(t, member.Seen(), 1)
	assert.Contains(t, s.main(), "answered_refused=1 ")
}

// The token is revoked between an attempt and its retry: the retry is not sent.
func TestRevokedBeforeRetry(t *testing.T) {
	member, endpoint := fake.New(t, fake.NotRun(), fake.OK("sent")), fake.New(t, active, revoked)
	s := start(t, member, endpoint, nil)
	resp, _ := send(t, s, 20000)
	assert.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	assert.Equal(t, `Bearer realm="farm", error="invalid_token"`, resp.Header.Get("WWW-Authenticate"))
	assert.Len(t, member.Seen(), 1)
	assert.Len(t, endpoint.Seen(), 2)
}

// A retry checks the token again, and the request is executed once.
func TestRetryChecksAgain(t *testing.T) {
	member, endpoint := fake.New(t, fake.NotRun(), fake.OK("sent")), fake.New(t, active)
	s := start(t, member, endpoint, nil)
	resp, _ := send(t, s, 20000)
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	assert.Len(t, member.Seen(), 2)
	assert.Len(t, endpoint.Seen(), 2)
}

// A request that may have been executed gets a final answer without a Retry-After.
func TestPossiblyExecutedIsNotRejected(t *testing.T) {
	member, endpoint := fake.New(t, fake.Reset), fake.New(t, active)
	s := start(t, member, endpoint, nil)
	resp, _ := send(t, s, 20000)
	assert.Equal(t, http.StatusBadGateway, resp.StatusCode)
	assert.Empty(t, resp.Header.Get("Retry-After"))
	assert.Len(t, member.Seen(), 1)
}

// No request is forwarded without a valid introspection response, and no token is logged in any failure case.
func TestFailsClosed(t *testing.T) {
	lines := fake.Log(t)
	for name, reply := range map[string]fake.Reply{"no JSON": fake.OK("yes"), "no active": fake.OK(`{"scope":"a"}`),
		"active is text": fake.OK(`{"active":"true"}`), "our own login is refused": fake.Says(401, "", `{"active":true}`),
		"error": fake.Says(500, "", `{"active":true}`), "reset": fake.Reset} {
		member := fake.New(t, fake.OK("sent"))
		s := start(t, member, fake.New(t, reply), nil)
		resp, _ := send(t, s, 20000)
		assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, name)
		assert.Regexp(t, `^[1-9][0-9]*$`, resp.Header.Get("Retry-After"), name) // RFC 9110: whole seconds
		assert.Empty(t, member.Seen(), name)
	}
	assert.Contains(t, lines.String(), "event=introspection_malformed")
	assert.NotContains(t, lines.String(), "tok-1")
}

func TestBearerErrors(t *testing.T) {
	member := fake.New(t, fake.OK("sent"))
	for _, c := range []struct {
		name, header, reply string
		code                int
		want                string
	}{
		{"none", "", "", 401, `Bearer realm="farm"`},
		{"other scheme", "Basic abc", "", 401, `Bearer realm="farm"`},
		{"empty", "Bearer ", "", 400, `Bearer realm="farm", error="invalid_request"`},
		{"two words", "Bearer a b", "", 400, `Bearer realm="farm", error="invalid_request"`},
		{"past", "Bearer a", `{"active":true,"exp":1}`, 401, `Bearer realm="farm", error="invalid_token"`},
		{"not yet", "Bearer a", `{"active":true,"nbf":99999999999}`, 401, `Bearer realm="farm", error="invalid_token"`},
		{"scope", "bearer a", `{"active":true,"scope":"read"}`, 403,
			`Bearer realm="farm", error="insufficient_scope", scope="orders.write"`},
		{"account", "Bearer a", `{"active":true,"scope":"orders.write","account":"07"}`, 403,
			`Bearer realm="farm", error="insufficient_scope"`},
	} {
		s := start(t, member, fake.New(t, fake.OK(c.reply)), func(c *config.Introspection) { c.AccountClaim = "account" })
		resp, _ := fake.Ask(t, s.base, "work-order", "utility", 20000, "Authorization", c.header)
		assert.Equal(t, c.code, resp.StatusCode, c.name)
		assert.Equal(t, c.want, resp.Header.Get("WWW-Authenticate"), c.name)
	}
	assert.Empty(t, member.Seen())
}

func TestTools(t *testing.T) {
	form := url.Values{"token": {"tok"}}
	for _, c := range []struct {
		name, id, secret string
		form             url.Values
		reply            fake.Reply
		code             int
		want             string
	}{
		{"active", "console", "tool secret", form, fake.OK(`{"active":true,"sub":"farm-9"}`), 200,
			`{"active":true,"sub":"farm-9"}`},
		{"unknown", "console", "tool secret", form, fake.OK(`{"active":false,"sub":"farm-9"}`), 200, `{"active":false}`},
		{"no login", "", "", form, active, 401, `{"error":"invalid_client"}`},
		{"wrong secret", "console", "x", form, active, 401, `{"error":"invalid_client"}`},
		{"wrong tool", "other", "tool secret", form, active, 401, `{"error":"invalid_client"}`},
		{"no token", "console", "tool secret", url.Values{}, active, 400, `{"error":"invalid_request"}`},
		{"no result", "console", "tool secret", form, fake.Stall(stallTime), 503, ""},
	} {
		endpoint := fake.New(t, c.reply)
		s := start(t, fake.New(t, fake.OK("")), endpoint, func(in *config.Introspection) {
			if c.code == 503 {
				in.Timeout = time.Second / 2
			}
		})
		resp, body := fake.Form(t, s.base+"/introspect", c.id, c.secret, c.form)
		assert.Equal(t, c.code, resp.StatusCode, c.name)
		assert.Equal(t, c.want, body, c.name)
		assert.Equal(t, c.code == 503, resp.Header.Get("Retry-After") != "", c.name)
		if c.code/100 == 4 {
			assert.Empty(t, endpoint.Seen(), c.name)
		}
	}
}

// Checks for a customer that exceeds its quota are not sent to the endpoint.
func TestChecksKeepQuotas(t *testing.T) {
	member, endpoint := fake.New(t, fake.OK("sent")), fake.New(t, active)
	s := start(t, member, endpoint, nil)
	for range 20 {
		fake.Ask(t, s.base, "work-order", "tiny", 20000, "Authorization", "Bearer a")
	}
	assert.Less(t, len(endpoint.Seen()), 20)
	assert.Contains(t, s.main(), "taken=20 open=0 ")
}
