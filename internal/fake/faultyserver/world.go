package faultyserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/gateway/proxy"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	// Host is the host of all attempts.
	Host = "h.example"
	// Tenant is the tenant of all attempts.
	Tenant = "one"
	// RouteItem is the route of a batch job's items.
	RouteItem = "item"

	versions = "3" // that all answers carry

	key     = "key-of-one"
	gateway = "gateway"
	backend = "b"

	routeSafe, routeUnsafe, routeStream, routeResume = "safe", "unsafe", "stream", "resume"

	maxAttempts     = 2
	routeTimeout    = 5 * time.Second
	idleConnTimeout = 10 * time.Second // of an idle connection
	maxConnections  = 500
	bodyBudget      = 64 << 20 // bytes
)

var routes = []string{routeSafe, routeUnsafe, routeStream, routeResume}

// Size is how much is played.
type Size struct {
	Servers, Clients, Requests int // requests of each client
}

// Standard is a world of some hundred requests.
var StandardSize = Size{Servers: 4, Clients: 10, Requests: 30}

// knowledge is a configuration that doesn't change.
type fixedControl struct{ snapshot *configuration.Snapshot }

func (k fixedControl) Configuration() *configuration.Snapshot                       { return k.snapshot }
func (k fixedControl) Members() *protocol.MemberList                                { return nil }
func (k fixedControl) KeyLeaseValid(time.Time) bool                                 { return true }
func (k fixedControl) AwaitConfirmation(context.Context, time.Time, time.Time) bool { return true }

func document() configuration.Document {
	d := configuration.Document{Generation: 1, Backends: []configuration.Backend{{Name: backend}},
		Limits: configuration.Limits{MaxBodyBytes: 2 * maxBody}, Tenants: []configuration.Tenant{{Name: Tenant, APIKeys: []string{key}}}}
	for _, name := range routes {
		kind := configuration.RouteStreaming
		switch name {
		case routeSafe:
			kind = configuration.RouteSafe
		case routeUnsafe:
			kind = configuration.RouteUnsafe
		}
		d.Routes = append(d.Routes, configuration.Route{Name: name, Hostname: Host, PathPrefix: "/" + name + "/", Type: kind,
			TimeoutMs: float64(routeTimeout.Milliseconds()), TargetLatencyMs: 100, Backend: backend, MaxAttempts: maxAttempts,
			Resumable: name == routeResume})
	}
	return d
}

// Play plays the world of a seed and gives what was broken, and counts of what came about. Prepare, if not nil, plants what it
// likes before anything is sent.
func Simulate(t *testing.T, seed uint64, size Size, prepare func(*proxy.Proxy, *pool.Pool)) (failures []string, counts map[string]int) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(seed, size)
		if prepare != nil {
			prepare(w.proxy, w.pool)
		}
		w.run(t)
		failures, counts = w.fleet.Checker.Finish(), w.fleet.Checker.counts
	})
	return failures, counts
}

type simulation struct {
	size  Size
	seed  uint64
	fleet *Fleet
	pool  *pool.Pool
	proxy *proxy.Proxy

	registry   *endpoints.Registry
	serverList protocol.ServerList
}

func newSimulation(seed uint64, size Size) *simulation {
	w := &simulation{size: size, seed: seed, fleet: NewFleet(seed, size.Servers)}
	w.pool = pool.New(pool.Options{MaxConnections: maxConnections, IdleTimeout: idleConnTimeout, ConnectTimeout: time.Second, Dial: w.fleet.Network.Dial})
	w.registry = endpoints.NewRegistry(w.pool)
	for _, s := range w.fleet.Endpoints {
		w.serverList.Servers = append(w.serverList.Servers, protocol.Server{ID: s.ID, Backend: backend, Address: s.Address})
	}
	w.publish()
	w.proxy = &proxy.Proxy{Control: fixedControl{configuration.NewSnapshot(document(), 1)}, Servers: w.registry, Pool: w.pool,
		Selector: serverselection.New("z", seed), Admission: proxy.AdmitAll{}, Bodies: buffers.New(bodyBudget)}
	return w
}

func (w *simulation) run(t *testing.T) {
	served, err := front.Listen(front.Options{Listener: w.fleet.Network.Listen(gateway), MaxConnections: maxConnections, MaxRequestDeadline: time.Minute},
		w.proxy)
	if err != nil {
		t.Fatal(err)
	}
	go served.Serve()
	var all sync.WaitGroup
	for i := range w.size.Clients {
		c := &client{name: fmt.Sprintf("c%d", i), checker: w.fleet.Checker, network: w.fleet.Network,
			random: rand.New(rand.NewPCG(w.seed, 100+uint64(i)))}
		all.Go(func() { c.run(w.size.Requests) })
	}
	over, turned := make(chan struct{}), make(chan struct{})
	go w.replaceServers(over, turned)
	all.Wait()
	close(over)
	<-turned
	served.Close()
	w.pool.Close()
	w.fleet.Close()
}
