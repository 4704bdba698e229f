// Package platform owns the stand-in for the platform's list of servers: GET /instances in pages, by zone, behind by a lag and
// bounded in rate. It must never be linked into a program that is deployed.
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
	pageSize          = 50
	tokenPrefix       = "p-"
	historyRetention  = time.Minute
	headerReadTimeout = 5 * time.Second
)

// Options are the list's figures.
type Options struct {
	Address string        // ip:port; port 0 takes any
	Lag     time.Duration // how far the list runs behind
	Rate    float64       // calls a second from all callers
}

// Platform is a running list.
type Platform struct {
	options  Options
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	versions []version // oldest first
	calls    int
	tokens   float64
	refilled time.Time
}

// version is the list from a moment on.
type version struct {
	since  time.Time
	items  map[string]instance
	sorted []instance // by id; nil until it is first shown
}

type instance struct {
	ID         string          `json:"id"`
	Service    string          `json:"backend"`
	Address    string          `json:"address"`
	Zone       string          `json:"zone"`
	Generation string          `json:"generation"`
	Slots      int             `json:"slots"`
	State      string          `json:"state"`
	Cold       int             `json:"cold-remaining-ms"`
	Stage      string          `json:"stage"`
	Models     []instanceModel `json:"models"`
}

type instanceModel struct {
	Name       string   `json:"name"`
	Generation int      `json:"generation"`
	Adapters   []string `json:"adapters"`
}

// page is an answer.
type page struct {
	Instances []instance `json:"instances"`
	Next      *string    `json:"next-token"`
}

// Start starts an empty list.
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

// Address gives ip:port.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Stop ends the list.
func (p *Platform) Stop() { p.server.Close() }

// Put lists a server as it is now, in a zone.
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

// Remove takes a server off the list.
func (p *Platform) Remove(id string) {
	p.update(func(items map[string]instance) { delete(items, id) })
}

func (p *Platform) update(by func(map[string]instance)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	items := map[string]instance{}
	for id, one := range p.versions[len(p.versions)-1].items {
		items[id] = one
	}
	by(items)
	p.versions = append(p.versions, version{since: now, items: items})
	for len(p.versions) > 1 && now.Sub(p.versions[1].since) > historyRetention {
		p.versions = p.versions[1:]
	}
}

// Calls counts the calls so far, refused ones included.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// admit counts a call, and tells whether it is within the rate.
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

// shown gives the list as callers see it at a moment, in the order of ids.
func (p *Platform) visible(now time.Time, zone string) []instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := 0
	for i := range p.versions {
		if now.Sub(p.versions[i].since) >= p.options.Lag {
			newest = i
		}
	}
	all := p.versions[newest].sortedItems()
	if zone == "" {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(one instance) bool { return one.Zone != zone })
}

// inOrder gives the items in the order of ids. The list is sorted once: a long one is asked for page by page.
func (v *version) sortedItems() []instance {
	if v.sorted == nil {
		v.sorted = slices.SortedFunc(maps.Values(v.items), func(a, b instance) int { return strings.Compare(a.ID, b.ID) })
	}
	return v.sorted
}

func (p *Platform) handleInstances(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if !p.admit(now) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	all := p.visible(now, r.URL.Query().Get("zone"))
	from := 0
	if token := r.URL.Query().Get("page-token"); token != "" {
		number, err := strconv.Atoi(strings.TrimPrefix(token, tokenPrefix))
		if err != nil || number < 0 || number > len(all) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		from = number
	}
	until := min(from+pageSize, len(all))
	answer := page{Instances: append([]instance{}, all[from:until]...)}
	if until < len(all) {
		next := tokenPrefix + strconv.Itoa(until)
		answer.Next = &next
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // a caller that has gone needs none
}
