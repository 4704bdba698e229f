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

// heard notes what the pool and the module are told, in order.
type heard chan string

func (h heard) Set(id policy.ServerID, addr string, state policy.ServerState) {
	h <- fmt.Sprintf("pool %d %s %d", id, addr, state)
}

func (h heard) module(kind policy.ListKind, list []policy.ServerInfo) {
	text := fmt.Sprintf("module %d:", kind)
	for _, s := range list {
		text += fmt.Sprintf(" %d/%d/%d/%d", s.ID, s.Zone, s.State, s.StartedAt.Milliseconds())
	}
	h <- text
}

func (h heard) expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		assert.Equal(t, w, <-h)
	}
}

func roster() (heard, *Membership) {
	h := make(heard, 100)
	return h, NewMembership(h, h.module, []string{"east", "west"}, nil)
}

// agent answers each request by the next step of a script; past its end it is silent.
func agent(t *testing.T, steps ...http.HandlerFunc) (addr string, asked func() []*url.URL) {
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

func says(index, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Consul-Index", index)
		fmt.Fprint(w, body)
	}
}

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func fails(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func watch(t *testing.T, run func(context.Context)) {
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { run(ctx) })
	t.Cleanup(func() { stop(); done.Wait() })
}

// The number of an instance stays when its address moves, and another process under the same name shows by its
// start.
func TestRosterKeepsNumbers(t *testing.T) {
	h, r := roster()
	r.Apply(policy.ListCached, []Instance{{ID: "a", Addr: "h:1", Zone: "west", Lifecycle: "up"}, {ID: "b", Addr: "h:2", Lifecycle: "up"}})
	r.Apply(policy.ListChanges, []Instance{{ID: "a", Addr: "h:9", Zone: "west", Lifecycle: "draining", StartedMs: 7},
		{ID: "odd", Addr: "nowhere", Lifecycle: "up"}, {ID: "odd", Addr: "h:3", Lifecycle: "asleep"}})
	r.Apply(policy.ListFull, []Instance{{ID: "a", Addr: "h:9", Zone: "west", Lifecycle: "up"}})
	h.expect(t, "pool 1 h:1 0", "pool 2 h:2 0", "module 2: 1/1/0/0 2/2/0/0",
		"pool 1 h:9 2", "module 0: 1/1/2/7",
		"pool 1 h:9 0", "pool 2 h:2 1", "module 1: 1/1/0/0") // who is missing from a whole list is gone
}

// One call begins the watch from the list that is held. After a silence or a refusal it goes on from the last version,
// whole or in changes as the agent likes.
func TestWatchGoesOn(t *testing.T) {
	h, r := roster()
	addr, asked := agent(t,
		says("", `{"generation":5,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"}]}`),
		silent,
		says("", `{"generation":6,"reset":false,"instances":[{"instanceId":"a","lifecycle":"removed"}]}`),
		fails(503),
		says("", `{"generation":6,"reset":false,"instances":[]}`),
		says("", `{"generation":2,"reset":false,"instances":[]}`), // it has lost its versions
		says("", `{"generation":3,"reset":true,"instances":[]}`))
	watch(t, func(ctx context.Context) {
		Watch(ctx, addr, 4, false, NewBackoff(1, 100*time.Millisecond), r)
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

// A list from elsewhere is asked for whole, until one comes.
func TestWatchAnew(t *testing.T) {
	h, r := roster()
	addr, asked := agent(t, says("", `{"generation":9,"reset":false,"instances":[]}`),
		says("", `{"generation":9,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"}]}`))
	watch(t, func(ctx context.Context) { Watch(ctx, addr, 4, true, NewBackoff(1, 0), r) })
	h.expect(t, "pool 1 h:1 0", "module 1: 1/2/0/0")
	assert.Equal(t, "/v1/endpoints", asked()[0].RequestURI())
	assert.Equal(t, "/v1/endpoints", asked()[1].RequestURI())
}

const node = `"Node":{"Node":"n1","Address":"10.0.0.1","Datacenter":"east"},"Service":{"ID":"s1","Port":80,"Meta":{"started_at_ms":"5"}}`

// Consul: blocking queries go on from the index, an index that goes back starts anew, a failing check drains.
func TestConsulHealth(t *testing.T) {
	h, r := roster()
	addr, asked := agent(t,
		says("40", `[{`+node+`,"Checks":[{"Status":"passing"}]}]`),
		says("40", `[{`+node+`,"Checks":[{"Status":"critical"}]}]`), // the wait ran out: nothing new
		says("41", `[{`+node+`,"Checks":[{"Status":"passing"},{"Status":"critical"}]}]`),
		says("3", `[]`),
		says("3", `[{`+node+`}]`))
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

// Where the health endpoint is not to be had the catalogue stands in.
func TestConsulCatalogue(t *testing.T) {
	h, r := roster()
	addr, asked := agent(t, fails(403),
		says("9", `[{"Node":"n1","Address":"10.0.0.1","Datacenter":"west","ServiceID":"s1","ServiceAddress":"10.0.0.2","ServicePort":81}]`))
	watch(t, func(ctx context.Context) { WatchConsul(ctx, Consul{Addr: addr, Service: "m"}, NewBackoff(1, 0), r) })
	h.expect(t, "pool 1 10.0.0.2:81 0", "module 1: 1/1/0/0")
	assert.Equal(t, "/v1/catalog/service/m", asked()[1].Path)
}
