// Package discoveryagent owns the stand-in discovery agent: the platform's list and watch, told to each gateway on an address
// of its own, late or not at all by script. It remembers when each gateway was told what. It must never be linked into
// the gateway.
package discoveryagent

import (
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/discovery"
)

// Agent tells a site's list.
type Agent struct {
	called    func(gateway int)
	listeners []net.Listener
	servers   []*http.Server

	mu         sync.Mutex
	generation uint64
	entries    map[string]entry
	order      []string
	changed    chan struct{} // closed at the next change
	delay      time.Duration
	silent     map[int]bool
	refuses    map[int]bool
	told       map[int]map[string]time.Time
}

type entry struct {
	generation uint64
	since      time.Time // when it came to be so
	addrs      []string  // for each gateway
	instance   discovery.Instance
}

// Start opens an address for each of so many gateways. What changes is told after the delay. Called is told of every call;
// nil: nobody.
func Start(gateways int, delay time.Duration, called func(gateway int)) (*Agent, error) {
	a := &Agent{called: called, entries: map[string]entry{}, changed: make(chan struct{}), delay: delay, silent: map[int]bool{}, refuses: map[int]bool{},
		told: map[int]map[string]time.Time{}}
	for g := range gateways {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			a.Stop()
			return nil, err
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serve(g, w, r) }),
			ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 10 * time.Second}
		a.listeners, a.servers = append(a.listeners, l), append(a.servers, s)
		a.told[g] = map[string]time.Time{}
		go s.Serve(l)
	}
	return a, nil
}

// Addr is where a gateway asks.
func (a *Agent) Addr(gateway int) string { return a.listeners[gateway].Addr().String() }

// Stop ends the agent.
func (a *Agent) Stop() {
	for _, s := range a.servers {
		s.Close()
	}
}

// Set lists an instance, or changes its entry, reached at an address for each gateway.
func (a *Agent) Set(in discovery.Instance, addrs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.generation++
	if _, known := a.entries[in.ID]; !known {
		a.order = append(a.order, in.ID)
	}
	a.entries[in.ID] = entry{a.generation, time.Now(), addrs, in}
	a.change()
}

// Lifecycle changes an instance's state alone.
func (a *Agent) Lifecycle(id, lifecycle string) {
	a.mu.Lock()
	e := a.entries[id]
	a.mu.Unlock()
	e.instance.Lifecycle = lifecycle
	a.Set(e.instance, e.addrs)
}

// Silence makes the agent say nothing to a gateway, and speak again.
func (a *Agent) Silence(gateway int, silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent[gateway] = silent
	a.change()
}

// Refuse makes the agent turn a gateway's calls away, and take them again.
func (a *Agent) Refuse(gateway int, refuses bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuses[gateway] = refuses
	a.change()
}

// change wakes those who wait for one. The mutex is held.
func (a *Agent) change() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Told gives when a gateway was told that an instance takes nothing new; the zero time: it wasn't.
func (a *Agent) Told(gateway int, id string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.told[gateway][id]
}

// List is all that a gateway could be told now, as its last known list.
func (a *Agent) List(gateway int) discovery.List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.since(gateway, 0, time.Now())
}

// since gives what is newer than a version and has had its delay; from version 0 on the whole list.
func (a *Agent) since(gateway int, after uint64, now time.Time) discovery.List {
	l := discovery.List{Generation: after, Reset: after == 0, Instances: []discovery.Instance{}}
	for _, id := range a.order {
		e := a.entries[id]
		if e.generation <= after || after != 0 && now.Sub(e.since) < a.delay {
			continue
		}
		l.Generation = max(l.Generation, e.generation)
		if l.Reset && e.instance.Lifecycle == "removed" {
			continue
		}
		in := e.instance
		in.Addr = e.addrs[gateway]
		l.Instances = append(l.Instances, in)
	}
	return l
}

// serve answers one question, after a wait where it is a watch and there is nothing new.
func (a *Agent) serve(gateway int, w http.ResponseWriter, r *http.Request) {
	if a.called != nil {
		a.called(gateway)
	}
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		a.mu.Lock()
		now := time.Now()
		l, silent, changed := a.since(gateway, after, now), a.silent[gateway], a.changed
		if a.refuses[gateway] {
			a.mu.Unlock()
			http.Error(w, "too many", http.StatusServiceUnavailable)
			return
		}
		if !silent && (len(l.Instances) > 0 || l.Reset || !now.Before(until)) {
			for _, in := range l.Instances {
				if in.Lifecycle == "up" {
					delete(a.told[gateway], in.ID)
				} else if a.told[gateway][in.ID].IsZero() {
					a.told[gateway][in.ID] = now
				}
			}
			a.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(l)
			return
		}
		a.mu.Unlock()
		step := time.NewTimer(min(max(time.Until(until), time.Millisecond), 50*time.Millisecond))
		if silent {
			step.Reset(time.Second)
		}
		select {
		case <-changed:
		case <-step.C:
		case <-r.Context().Done():
			step.Stop()
			return
		}
		step.Stop()
	}
}
