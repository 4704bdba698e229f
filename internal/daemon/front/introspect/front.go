package introspect

import (
	"net/http"
	"sync/atomic"
	"time"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/front/platform"
)

// Front handles requests of clients that authenticate with bearer tokens, and introspection requests of the site's
// tools.
type Front struct {
	Core         *core.Core
	Checker      *Checker
	Settings     *platform.Settings
	Ready        func() bool
	OpenRequests *platform.OpenRequests
	BodyMemory   *buffers.Budget // memory budget of request bodies; nil: unlimited
	malformed    atomic.Uint64
}

// Malformed returns the number of malformed requests so far.
func (f *Front) Malformed() uint64 { return f.malformed.Load() }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/ready":
		platform.WriteReady(w, f.Ready())
	case "/introspect":
		f.serveIntrospection(w, r)
	default:
		f.forward(w, r)
	}
}

// roundUpRetryAfter rounds an answer's RetryAfter up to whole seconds, because RFC 9110 (section 10.2.3) allows no
// decimals in Retry-After.
func roundUpRetryAfter(a core.Answer) core.Answer {
	a.RetryAfter = (a.RetryAfter + time.Second - 1).Truncate(time.Second)
	return a
}
