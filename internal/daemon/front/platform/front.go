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
	BodyMemory   *buffers.Budget // memory of request bodies; nil: no bound
	malformed    atomic.Uint64
}

// Settings holds the deployment in force, which is replaced as a whole.
type Settings struct {
	current atomic.Pointer[config.Deployment]
}

// NewSettings returns Settings with a deployment in force.
func NewSettings(d config.Deployment) *Settings {
	s := &Settings{}
	s.Set(d)
	return s
}

// Set puts another deployment in force, for requests that are read from now on.
func (s *Settings) Set(d config.Deployment) { s.current.Store(&d) }

// Get returns the deployment in force, which must not be changed.
func (s *Settings) Get() *config.Deployment { return s.current.Load() }

// OpenRequests has the ids of the requests that are open, through whichever front they came. A request with the id of
// another open one would look to a server like a second copy of it.
type OpenRequests struct{ ids sync.Map }

// Remove removes the id of a request that RequestReader.Read has accepted.
func (o *OpenRequests) Remove(r *http.Request) { o.ids.Delete(r.Header.Get(headerRequestID)) }

// Malformed counts the malformed requests so far.
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
