// Package platform is a fake of the platform's discovery API, which lists the instances of services.
//
// GET /instances returns them in pages, optionally of one zone. As the real one it has two weaknesses that
// callers must bear: the list lags behind what is true, and calls beyond a rate are rejected with 429. The
// package must not be linked into a program that is deployed.
package platform

import (
	"encoding/json"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/fake/modelserver"
)

const (
	pageSize = 50 // instances
	// tokenPrefix precedes the offset in a page token.
	tokenPrefix = "p-"
	// historyRetention is how long former versions of the list are kept; a lag may be no longer.
	historyRetention  = time.Minute
	headerReadTimeout = 5 * time.Second
)

// Options configure a platform.
type Options struct {
	// Address is ip:port; port 0 takes any.
	Address string
	// Lag is the time until a change is visible.
	Lag time.Duration
	// Rate bounds the calls of all callers together, per second, with a burst of as many.
	Rate float64
}

// Platform is a running discovery API.
type Platform struct {
	options  Options
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex // guards the fields below
	versions []version  // oldest first; never empty
	calls    int
	tokens   float64 // of the token bucket that bounds the rate
	refilled time.Time
}

// version is the list of instances from a time until the next version's.
type version struct {
	since  time.Time
	items  map[string]instance // by id
	sorted []instance          // by id; nil until it is first read
}

// instance is an instance as the API returns it.
type instance struct {
	ID         string          `json:"id"`
	Service    string          `json:"backend"`
	Address    string          `json:"address"`
	Zone       string          `json:"zone"`
	Generation string          `json:"generation"`
	Slots      int             `json:"slots"`
	State      string          `json:"state"`
	WarmUpMs   int             `json:"cold-remaining-ms"`
	Stage      string          `json:"stage"`
	Models     []instanceModel `json:"models"`
}

type instanceModel struct {
	Name       string   `json:"name"`
	Generation int      `json:"generation"`
	Adapters   []string `json:"adapters"`
}

// page is a response.
type page struct {
	Instances []instance `json:"instances"`
	Next      *string    `json:"next-token"`
}

// Start starts a platform without instances.
func Start(options Options) (*Platform, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	p := &Platform{
		options:  options,
		listener: listener,
		versions: []version{{items: map[string]instance{}}},
		tokens:   options.Rate,
		refilled: time.Now(),
	}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /instances", p.handleInstances)
	p.server = &http.Server{
		Handler:           routes,
		ReadHeaderTimeout: headerReadTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	go p.server.Serve(listener)
	return p, nil
}

// Address returns ip:port.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Stop closes the API.
func (p *Platform) Stop() { p.server.Close() }

// Put lists a server in a zone, with its present state.
func (p *Platform) Put(s *modelserver.Server, zone string) {
	state := "ready"
	if s.Draining() {
		state = "draining"
	}
	p.update(func(items map[string]instance) {
		items[s.ID()] = instance{
			ID:         s.ID(),
			Service:    s.Service(),
			Address:    s.Address(),
			Zone:       zone,
			Generation: "v1",
			Slots:      s.Slots(),
			State:      state,
			Stage:      "both",
			Models:     []instanceModel{{Name: "m", Generation: 1, Adapters: []string{}}},
		}
	})
}

// Remove removes an instance from the list.
func (p *Platform) Remove(id string) {
	p.update(func(items map[string]instance) { delete(items, id) })
}

// update adds a version with a change, and drops those that are older than historyRetention.
func (p *Platform) update(change func(map[string]instance)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	items := maps.Clone(p.versions[len(p.versions)-1].items)
	change(items)
	p.versions = append(p.versions, version{since: now, items: items})
	for len(p.versions) > 1 && now.Sub(p.versions[1].since) > historyRetention {
		p.versions = p.versions[1:]
	}
}

// Calls returns the number of calls so far, with the rejected ones.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// admit counts a call, and returns whether it is within the rate.
func (p *Platform) admit(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	p.tokens = min(p.options.Rate, p.tokens+now.Sub(p.refilled).Seconds()*p.options.Rate)
	p.refilled = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// visible returns the instances that a caller sees at a time, sorted by id.
func (p *Platform) visible(now time.Time, zone string) []instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := 0
	for i := range p.versions {
		if now.Sub(p.versions[i].since) >= p.options.Lag {
			visible = i
		}
	}
	all := p.versions[visible].sortedItems()
	if zone == "" {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(i instance) bool { return i.Zone != zone })
}

// sortedItems returns the items sorted by id. They are sorted once, as a long list is read page by page.
func (v *version) sortedItems() []instance {
	if v.sorted == nil {
		v.sorted = slices.SortedFunc(maps.Values(v.items), func(a, b instance) int { return strings.Compare(a.ID, b.ID) })
	}
	return v.sorted
}

// handleInstances answers GET /instances?zone=ZONE&page-token=TOKEN. Pages of one reading may be of different
// versions.
func (p *Platform) handleInstances(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if !p.admit(now) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	all := p.visible(now, r.URL.Query().Get("zone"))
	from := 0
	if token := r.URL.Query().Get("page-token"); token != "" {
		offset, err := strconv.Atoi(strings.TrimPrefix(token, tokenPrefix))
		if err != nil || offset < 0 || offset > len(all) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		from = offset
	}
	until := min(from+pageSize, len(all))
	answer := page{Instances: append([]instance{}, all[from:until]...)}
	if until < len(all) {
		next := tokenPrefix + strconv.Itoa(until)
		answer.Next = &next
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // fails only where the caller has closed the connection
}
