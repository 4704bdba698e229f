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
	// Host is the host of all requests.
	Host = "h.example"
	// Tenant is the tenant of all requests.
	Tenant = "one"
	// RouteItem is the route of a batch job's items. It isn't one of the gateway's.
	RouteItem = "item"

	versions = "3" // the header Versions of all responses

	key     = "key-of-one"
	gateway = "gateway" // its address
	backend = "b"

	routeSafe, routeUnsafe, routeStream, routeResume = "safe", "unsafe", "stream", "resume"

	maxAttempts     = 2
	routeTimeout    = 5 * time.Second
	idleConnTimeout = 10 * time.Second
	maxConnections  = 500
	bodyBudget      = 64 << 20 // bytes
)

// routes are the gateway's routes.
var routes = []string{routeSafe, routeUnsafe, routeStream, routeResume}

// Size is the size of a simulation.
type Size struct {
	Servers, Clients int
	Requests         int // of each client
}

// StandardSize has a few hundred requests.
var StandardSize = Size{Servers: 4, Clients: 10, Requests: 30}

// fixedControl is a control client whose configuration never changes.
type fixedControl struct{ snapshot *configuration.Snapshot }

func (c fixedControl) Configuration() *configuration.Snapshot { return c.snapshot }
func (c fixedControl) Members() *protocol.MemberList          { return nil }
func (c fixedControl) KeyLeaseValid(time.Time) bool           { return true }

// ConfirmedSince implements proxy.ControlState.
func (c fixedControl) ConfirmedSince(time.Time) bool { return true }

func (c fixedControl) AwaitConfirmation(context.Context, time.Time, time.Time) bool { return true }

func document() configuration.Document {
	d := configuration.Document{
		Generation: 1,
		Backends:   []configuration.Backend{{Name: backend}},
		Limits:     configuration.Limits{MaxBodyBytes: 2 * maxBody},
		Tenants:    []configuration.Tenant{{Name: Tenant, APIKeys: []string{key}}},
	}
	for _, name := range routes {
		kind := configuration.RouteStreaming
		switch name {
		case routeSafe:
			kind = configuration.RouteSafe
		case routeUnsafe:
			kind = configuration.RouteUnsafe
		}
		d.Routes = append(d.Routes, configuration.Route{
			Name:            name,
			Hostname:        Host,
			PathPrefix:      "/" + name + "/",
			Type:            kind,
			TimeoutMs:       float64(routeTimeout.Milliseconds()),
			TargetLatencyMs: 100,
			Backend:         backend,
			MaxAttempts:     maxAttempts,
			Resumable:       name == routeResume,
		})
	}
	return d
}

// Simulate runs the simulation of a seed, and returns the violations and the counts of events. Prepare, if
// not nil, is called before anything is sent; it may inject bugs.
func Simulate(t *testing.T, seed uint64, size Size, prepare func(*proxy.Proxy, *pool.Pool)) (violations []string,
	counts map[string]int) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(seed, size)
		if prepare != nil {
			prepare(s.proxy, s.pool)
		}
		s.run(t)
		violations, counts = s.fleet.Checker.Finish(), s.fleet.Checker.Counts()
	})
	return violations, counts
}

// simulation is a gateway, with the real proxy and pool, between simulated clients and faulty servers.
type simulation struct {
	size  Size
	seed  uint64
	fleet *Fleet
	pool  *pool.Pool
	proxy *proxy.Proxy

	registry   *endpoints.Registry
	serverList protocol.ServerList // as published last; only replaceServers changes it
}

func newSimulation(seed uint64, size Size) *simulation {
	s := &simulation{size: size, seed: seed, fleet: NewFleet(seed, size.Servers)}
	s.pool = pool.New(pool.Options{
		MaxConnections: maxConnections,
		IdleTimeout:    idleConnTimeout,
		ConnectTimeout: time.Second,
		Dial:           s.fleet.Network.Dial,
	})
	s.registry = endpoints.NewRegistry(s.pool)
	for _, endpoint := range s.fleet.Endpoints {
		s.serverList.Servers = append(s.serverList.Servers,
			protocol.Server{ID: endpoint.ID, Backend: backend, Address: endpoint.Address})
	}
	s.publish()
	s.proxy = &proxy.Proxy{
		Control:   fixedControl{configuration.NewSnapshot(document(), 1)},
		Servers:   s.registry,
		Pool:      s.pool,
		Selector:  serverselection.New("z", seed),
		Admission: proxy.AdmitAll{},
		Bodies:    buffers.New(bodyBudget),
	}
	return s
}

// run has all clients send their requests while servers are replaced, and then ends everything.
func (s *simulation) run(t *testing.T) {
	server, err := front.Listen(front.Options{Listener: s.fleet.Network.Listen(gateway), MaxConnections: maxConnections,
		MaxRequestDeadline: time.Minute}, s.proxy)
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	var clients sync.WaitGroup
	for i := range s.size.Clients {
		c := &client{name: fmt.Sprintf("c%d", i), checker: s.fleet.Checker, network: s.fleet.Network,
			random: rand.New(rand.NewPCG(s.seed, 100+uint64(i)))}
		clients.Go(func() { c.run(s.size.Requests) })
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go s.replaceServers(stop, stopped)
	clients.Wait()
	close(stop)
	<-stopped
	server.Close()
	s.pool.Close()
	s.fleet.Close()
}
