package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"sprucelane.example/sprucelane/policy"
)

// recorder records the calls of the pool and the policy in order.
type recorder chan string

func (h recorder) Set(id policy.ServerID, addr string, state policy.ServerState) {
	h <- fmt.Sprintf("pool %d %s %d", id, addr, state)
}

func (h recorder) onList(kind policy.ListKind, list []policy.ServerInfo) {
	text := fmt.Sprintf("module %d:", kind)
	for _, s := range list {
		text += fmt.Sprintf(" %d/%d/%d/%d", s.ID, s.Zone, s.State, s.StartedAt.Milliseconds())
	}
	h <- text
}

func (h recorder) expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		assert.Equal(t, w, <-h)
	}
}

func recordedMembership() (recorder, *Membership) {
	h := make(recorder, 100)
	return h, NewMembership(h, h.onList, []string{"east", "west"}, nil)
}

// agent starts a fake agent that answers each request with the next of steps, and doesn't answer further requests.
// requests returns the URLs that were requested so far.
func agent(t *testing.T, steps ...http.HandlerFunc) (addr string, requests func() []*url.URL) {
	var mu sync.Mutex
	var urls []*url.URL
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		n := len(urls)
		urls = append(urls, r.URL)
		mu.Unlock()
		if n < len(steps) {
			steps[n](w, r)
		} else {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), func() []*url.URL {
		mu.Lock()
		defer mu.Unlock()
		return append([]*url.URL(nil), urls...)
	}
}

func respond(index, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Consul-Index", index)
		fmt.Fprint(w, body)
	}
}

func stall(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func respondStatus(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func watch(t *testing.T, run func(context.Context)) {
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { run(ctx) })
	t.Cleanup(func() { stop(); done.Wait() })
}

// An instance keeps its server ID when its address changes. A new process of an instance is recognized by its start
// time.
func TestRosterKeepsNumbers(t *testing.T) {
	h, r := recordedMembership()
	r.Apply(policy.ListCached, []Instance{{ID: "a", Addr: "h:1", Zone: "west", Lifecycle: "up"}, {ID: "b", Addr: "h:2", Lifecycle: "up"}})
	r.Apply(policy.ListChanges, []Instance{{ID: "a", Addr: "h:9", Zone: "west", Lifecycle: "draining", StartedMs: 7},
		{ID: "odd", Addr: "nowhere", Lifecycle: "up"}, {ID: "odd", Addr: "h:3", Lifecycle: "asleep"}})
	r.Apply(policy.ListFull, []Instance{{ID: "a", Addr: "h:9", Zone: "west", Lifecycle: "up"}})
	h.expect(t, "pool 1 h:1 0", "pool 2 h:2 0", "module 2: 1/1/0/0 2/2/0/0",
		"pool 1 h:9 2", "module 0: 1/1/2/7",
		"pool 1 h:9 0", "pool 2 h:2 1", "module 1: 1/1/0/0") // an instance that a whole list lacks has departed
}

// The watch starts at the held version. After a timeout or a rejection it continues from the last version; the agent
// decides whether it sends the whole list or changes.
func TestWatchGoesOn(t *testing.T) {
	h, r := recordedMembership()
	addr, asked := agent(t,
		respond("", `{"generation":5,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"}]}`),
		stall,
		respond("", `{"generation":6,"reset":false,"instances":[{"instanceId":"a","lifecycle":"removed"}]}`),
		respondStatus(503),
		respond("", `{"generation":6,"reset":false,"instances":[]}`),
		respond("", `{"generation":2,"reset":false,"instances":[]}`), // the agent has lost its state
		respond("", `{"generation":3,"reset":true,"instances":[]}`))
	watch(t, func(ctx context.Context) {
		Watch(ctx, WatchStart{Addr: addr, Version: 4}, NewBackoff(1, 100*time.Millisecond), r)
	})
	h.expect(t, "pool 1 h:1 0", "module 1: 1/2/0/0", "pool 1 h:1 1", "module 0: 1/2/1/0", "module 1:")
	var got []string
	for _, u := range asked()[:7] {
		got = append(got, u.RequestURI())
	}
	assert.Equal(t, []string{"/v1/endpoints?after=4&wait_ms=2500", "/v1/endpoints?after=5&wait_ms=2500",
		"/v1/endpoints?after=5&wait_ms=2500", "/v1/endpoints?after=6&wait_ms=2500", "/v1/endpoints?after=6&wait_ms=2500",
		"/v1/endpoints?after=6&wait_ms=2500", "/v1/endpoints"}, got)
	assert.Equal(t, Calls{Answered: 5, Rejected: 1, Unanswered: 1}, r.Calls())
}

// When the source changes, the whole list is requested until it is received.
func TestWatchRequestsWholeList(t *testing.T) {
	h, r := recordedMembership()
	addr, asked := agent(t, respond("", `{"generation":9,"reset":false,"instances":[]}`),
		respond("", `{"generation":9,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"}]}`))
	watch(t, func(ctx context.Context) {
		Watch(ctx, WatchStart{Addr: addr, Version: 4, WholeList: true}, NewBackoff(1, 0), r)
	})
	h.expect(t, "pool 1 h:1 0", "module 1: 1/2/0/0")
	assert.Equal(t, "/v1/endpoints", asked()[0].RequestURI())
	assert.Equal(t, "/v1/endpoints", asked()[1].RequestURI())
}

const node = `"Node":{"Node":"n1","Address":"10.0.0.1","Datacenter":"east"},"Service":{"ID":"s1","Port":80,"Meta":{"started_at_ms":"5"}}`

// Blocking queries continue from the index, an index that goes back restarts them at 0, and a critical check is mapped
// to draining.
func TestConsulHealth(t *testing.T) {
	h, r := recordedMembership()
	addr, asked := agent(t,
		respond("40", `[{`+node+`,"Checks":[{"Status":"passing"}]}]`),
		respond("40", `[{`+node+`,"Checks":[{"Status":"critical"}]}]`), // the wait ended without a change
		respond("41", `[{`+node+`,"Checks":[{"Status":"passing"},{"Status":"critical"}]}]`),
		respond("3", `[]`),
		respond("3", `[{`+node+`}]`))
	watch(t, func(ctx context.Context) {
		WatchConsul(ctx, Consul{Addr: addr, Service: "monitor node", Tag: "v2"}, NewBackoff(1, 0), r)
	})
	h.expect(t, "pool 1 10.0.0.1:80 0", "module 1: 1/0/0/5", "pool 1 10.0.0.1:80 2", "module 1: 1/0/2/5",
		"pool 1 10.0.0.1:80 1", "module 1:", "pool 2 10.0.0.1:80 0", "module 1: 2/0/0/5")
	var got []string
	for _, u := range asked()[:5] {
		assert.Equal(t, "/v1/health/service/monitor%20node", u.EscapedPath())
		assert.Equal(t, "v2", u.Query().Get("tag"))
		got = append(got, u.Query().Get("index"))
	}
	assert.Equal(t, []string{"0", "40", "40", "41", "0"}, got)
}

// If the health endpoint is rejected or missing, the catalogue endpoint is queried.
func TestConsulCatalogue(t *testing.T) {
	h, r := recordedMembership()
	addr, asked := agent(t, respondStatus(403),
		respond("9", `[{"Node":"n1","Address":"10.0.0.1","Datacenter":"west","ServiceID":"s1","ServiceAddress":"10.0.0.2","ServicePort":81}]`))
	watch(t, func(ctx context.Context) { WatchConsul(ctx, Consul{Addr: addr, Service: "m"}, NewBackoff(1, 0), r) })
	h.expect(t, "pool 1 10.0.0.2:81 0", "module 1: 1/1/0/0")
	assert.Equal(t, "/v1/catalog/service/m", asked()[1].Path)
}
