package platform

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/config"
)

// Front handles the requests of the platform's clients.
type Front struct {
	Core         *core.Core
	Settings     *Settings
	Ready        func() bool
	OpenRequests *OpenRequests
	BodyMemory   *buffers.Budget // memory budget of request bodies; nil: unlimited
	malformed    atomic.Uint64
}

// Settings holds the current deployment, which is replaced as a whole.
type Settings struct {
	current atomic.Pointer[config.Deployment]
}

// NewSettings returns Settings that hold d.
func NewSettings(d config.Deployment) *Settings {
	s := &Settings{}
	s.Set(d)
	return s
}

// Set replaces the deployment for requests that are read from now on.
func (s *Settings) Set(d config.Deployment) { s.current.Store(&d) }

// Get returns the current deployment, which the caller must not modify.
func (s *Settings) Get() *config.Deployment { return s.current.Load() }

// OpenRequests is the set of the ids of open requests, across all fronts. Ids must be unique among open requests,
// because to a server two requests with the same id look like two copies of one request.
type OpenRequests struct{ ids sync.Map }

// Remove removes the id of a request that RequestReader.Read has accepted.
func (o *OpenRequests) Remove(r *http.Request) { o.ids.Delete(r.Header.Get(headerRequestID)) }

// Malformed returns the number of malformed requests so far.
func (f *Front) Malformed() uint64 { return f.malformed.Load() }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.Core.Now()
	if r.URL.Path == "/ready" {
		WriteReady(w, f.Ready())
		return
	}
	reader := RequestReader{Deployment: f.Settings.Get(), OpenRequests: f.OpenRequests, Bodies: f.BodyMemory}
	request, body, problem := reader.Read(w, r, arrived)
	if problem != nil {
		f.malformed.Add(1)
		problem.Write(w)
		return
	}
	defer f.OpenRequests.Remove(r)
	if problem := Respond(w, r, body, f.Core.Serve(r.Context(), request)); problem {
		f.malformed.Add(1)
	}
}

// WriteReady answers a readiness check.
func WriteReady(w http.ResponseWriter, ready bool) {
	if !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}
