package unruly

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
	"sprucelane.example/sprucelane/internal/gateway/placement"
	"sprucelane.example/sprucelane/internal/gateway/proxy"
	"sprucelane.example/sprucelane/internal/gateway/servers"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	host, key, tenant = "h.example", "key-of-one", "one"
	gateway           = "gateway"
	backend           = "b"

	routeSafe, routeUnsafe, routeStream, routeResume = "safe", "unsafe", "stream", "resume"

	maxAttempts = 2
	routeTime   = 5 * time.Second
	connLife    = 10 * time.Second // of an idle connection
	sockets     = 500
	bodyBudget  = 64 << 20 // bytes
)

var routes = []string{routeSafe, routeUnsafe, routeStream, routeResume}

// Size is how much is played.
type Size struct {
	Servers, Clients, Requests int // requests of each client
}

// Standard is a world of some hundred requests.
var Standard = Size{Servers: 4, Clients: 10, Requests: 30}

// knowledge is a configuration that doesn't change.
type knowledge struct{ snapshot *configuration.Snapshot }

func (k knowledge) Configuration() *configuration.Snapshot           { return k.snapshot }
func (k knowledge) Members() *protocol.MemberList                    { return nil }
func (k knowledge) Holds(time.Time) bool                             { return true }
func (k knowledge) Await(context.Context, time.Time, time.Time) bool { return true }

func document() configuration.Document {
	d := configuration.Document{Generation: 1, Backends: []configuration.Backend{{Name: backend}},
		Limits: configuration.Limits{MaxBodyBytes: 2 * maxBody}, Tenants: []configuration.Tenant{{Name: tenant, APIKeys: []string{key}}}}
	for _, name := range routes {
		kind := configuration.RouteStreaming
		switch name {
		case routeSafe:
			kind = configuration.RouteSafe
		case routeUnsafe:
			kind = configuration.RouteUnsafe
		}
		d.Routes = append(d.Routes, configuration.Route{Name: name, Hostname: host, PathPrefix: "/" + name + "/", Type: kind,
			TimeoutMs: float64(routeTime.Milliseconds()), TargetLatencyMs: 100, Backend: backend, MaxAttempts: maxAttempts,
			Resumable: name == routeResume})
	}
	return d
}

// Play plays the world of a seed and gives what was broken, and counts of what came about. Prepare, if not nil, plants what it
// likes before anything is sent.
func Play(t *testing.T, seed uint64, size Size, prepare func(*proxy.Proxy, *pool.Pool)) (failures []string, counts map[string]int) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed, size)
		if prepare != nil {
			prepare(w.proxy, w.pool)
		}
		w.play(t)
		failures, counts = w.audit.finish(), w.audit.counts
	})
	return failures, counts
}

type world struct {
	size    Size
	seed    uint64
	r       *rand.Rand
	audit   *Audit
	network *memoryNetwork
	pool    *pool.Pool
	proxy   *proxy.Proxy
}

func newWorld(seed uint64, size Size) *world {
	w := &world{size: size, seed: seed, r: rand.New(rand.NewPCG(seed, 0)), audit: newAudit()}
	w.network = newNetwork(rand.New(rand.NewPCG(seed, 1)))
	w.pool = pool.New(pool.Options{Sockets: sockets, ConnIdle: connLife, ConnectWait: time.Second, Dial: w.network.Dial})
	registry := servers.NewRegistry(w.pool)
	list := &protocol.ServerList{Version: 1}
	for i := range size.Servers {
		address := fmt.Sprintf("server-%d", i)
		list.Servers = append(list.Servers, protocol.Server{ID: "i-" + address, Backend: backend, Address: address})
	}
	registry.Apply(list)
	w.proxy = &proxy.Proxy{Knowledge: knowledge{configuration.NewSnapshot(document(), 1)}, Servers: registry, Pool: w.pool,
		Placer: placement.New("z", seed), Admission: proxy.Everyone{}, Bodies: buffers.New(bodyBudget)}
	return w
}

// hazards is the share of exchanges in which something goes wrong, against the usual: worlds differ.
func (w *world) hazards() float64 {
	return [...]float64{0.3, 1, 1, 3}[w.seed%4]
}

func (w *world) play(t *testing.T) {
	var listeners []interface{ Close() error }
	for i := range w.size.Servers {
		address := fmt.Sprintf("server-%d", i)
		l := w.network.Listen(address)
		listeners = append(listeners, l)
		s := &server{id: "i-" + address, audit: w.audit, hazards: w.hazards}
		go s.accept(l, w.seed<<8+uint64(i))
	}
	served, err := front.Listen(front.Options{Listener: w.network.Listen(gateway), Sockets: sockets, LongestDeadline: time.Minute}, w.proxy)
	if err != nil {
		t.Fatal(err)
	}
	go served.Serve()
	var all sync.WaitGroup
	for i := range w.size.Clients {
		c := &client{name: fmt.Sprintf("c%d", i), audit: w.audit, network: w.network.Network, r: rand.New(rand.NewPCG(w.seed, 100+uint64(i)))}
		all.Go(func() { c.run(w.size.Requests) })
	}
	all.Wait()
	served.Close()
	w.pool.Close()
	for _, l := range listeners {
		l.Close()
	}
	time.Sleep(2 * patience) // all that waits on a connection has ended
}
