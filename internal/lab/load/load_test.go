package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func options(rate float64) Options {
	return Options{Seed: 7, Rate: rate, Accounts: 20, Spread: 1, Units: 3,
		Classes: []Class{{Name: "health-read", Share: 0.5, Aim: time.Second, Deadline: 20 * time.Second, Worth: 1},
			{Name: "work-order", Share: 0.5, Aim: time.Second, Deadline: 20 * time.Second, Worth: 3, Unsafe: true}},
		Plans: []Plan{{Name: "utility", Share: 1, Rate: 1000, Burst: 1000, Price: 1}}}
}

func run(t *testing.T, opt Options, length time.Duration, handler http.HandlerFunc) []Record {
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	door := &Door{}
	door.Set(strings.TrimPrefix(s.URL, "http://"))
	g, err := New(opt, []*Door{door})
	require.NoError(t, err)
	g.Run(context.Background(), time.Now(), length)
	return g.Records()
}

func done(w http.ResponseWriter, r *http.Request) {
	fmt.Fprint(w, "done "+r.Header.Get("X-Request-Id"))
}

// A server that stands still for a while holds all up whose moment falls into it, not only the one that was there.
func TestStallsShowInFull(t *testing.T) {
	var gate sync.RWMutex
	var once sync.Once
	records := run(t, options(200), 2*time.Second, func(w http.ResponseWriter, r *http.Request) {
		once.Do(func() {
			gate.Lock()
			time.AfterFunc(time.Second, gate.Unlock)
		})
		gate.RLock()
		defer gate.RUnlock()
		done(w, r)
	})
	slow := 0
	for _, r := range records {
		if r.Took > 400*time.Millisecond {
			slow++
		}
	}
	assert.Greater(t, slow, 60) // some 120 are meant for the first 0.6 s of it
	assert.InDelta(t, 400, len(records), 120)
}

// The same seed asks the same, whatever the answers are.
func TestTheSeedSaysWhatIsAsked(t *testing.T) {
	asked := func(handler http.HandlerFunc) (list []string) {
		byMoment := map[time.Duration]string{}
		for _, r := range run(t, options(100), time.Second, handler) {
			byMoment[r.At] = fmt.Sprint(r.At, r.Class, r.Plan, r.Worth, r.Inside)
		}
		for _, x := range byMoment {
			list = append(list, x)
		}
		return list
	}
	assert.ElementsMatch(t, asked(done), asked(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }))
}

// What each answer comes to; work-orders are tried again only after a refusal, once, as late as they are asked to.
func TestEndsAndRetries(t *testing.T) {
	opt := options(100)
	opt.Retries, opt.Heeds, opt.Wait, opt.MarkRetry = 1, 1, time.Hour, true
	var orders, marked atomic.Int32
	records := run(t, opt, time.Second, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Retry") == "1" {
			marked.Add(1)
			done(w, r)
			return
		}
		if r.Method == http.MethodPost {
			orders.Add(1)
		}
		w.Header().Set("Retry-After", "0.05")
		w.WriteHeader(http.StatusTooManyRequests)
	})
	s := Summarise(records, opt.Classes, nil)
	assert.Equal(t, len(records), s.Ends[Served])
	assert.Equal(t, len(records), s.Retried)
	assert.Equal(t, len(records), int(marked.Load()))
	assert.GreaterOrEqual(t, s.Quantile(1), 50*time.Millisecond)
	opt.Heeds, opt.Wait = 0, time.Millisecond
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		end     End
	}{"another's": {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done x") }, Spoilt},
		"failed":  {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, Failed},
		"refused": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, Refused},
		"broken":  {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, Broken}} {
		records := run(t, opt, 300*time.Millisecond, c.handler)
		s := Summarise(records, opt.Classes, nil)
		assert.Equal(t, len(records), s.Ends[c.end], name)
		assert.Zero(t, s.Share(), name)
		for _, r := range records {
			if r.Class == 1 {
				assert.Equal(t, c.end == Refused, r.Retried, name)
			}
		}
	}
}

// What one gateway that sees all would let in is what counts as offered.
func TestInsideTheQuota(t *testing.T) {
	opt := options(200)
	opt.Accounts, opt.Units, opt.Plans[0].Rate, opt.Plans[0].Burst = 1, 1, 50, 10
	records := run(t, opt, 2*time.Second, done)
	inside := 0
	for _, r := range records {
		if r.Inside {
			inside++
		}
	}
	assert.InDelta(t, 10+2*50, inside, 6)
	assert.InDelta(t, 1.0, Summarise(records, opt.Classes, nil).Share(), 0.05)
}

func TestOptionsThatCannotBe(t *testing.T) {
	for key, spoil := range map[string]func(*Options){"rate": func(o *Options) { o.Rate = 0 }, "accounts": func(o *Options) { o.Accounts = 0 },
		"classes": func(o *Options) { o.Classes = nil }, "spread": func(o *Options) { o.Spread = 2 }} {
		opt := options(1)
		spoil(&opt)
		_, err := New(opt, []*Door{{}})
		assert.ErrorContains(t, err, key)
	}
}
