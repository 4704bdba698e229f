package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/config"
	"sprucelane.example/sprucelane/internal/daemon/discovery"
	"sprucelane.example/sprucelane/internal/daemon/front/control"
	"sprucelane.example/sprucelane/internal/daemon/front/introspect"
	"sprucelane.example/sprucelane/internal/daemon/front/platform"
	"sprucelane.example/sprucelane/internal/daemon/handover"
	"sprucelane.example/sprucelane/internal/daemon/inflight"
	"sprucelane.example/sprucelane/internal/daemon/peer"
	"sprucelane.example/sprucelane/internal/daemon/store"
	"sprucelane.example/sprucelane/internal/daemon/store/balances"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/service"
	"sprucelane.example/sprucelane/internal/storm"
)

// gateway holds the components of one process of a gateway. The fields before mu are set while the process starts and
// not changed later, except stopDiscovery, which only the goroutine of serve uses.
type gateway struct {
	start          *config.Config // the configuration that the process was started with
	clock          core.Clock
	phase          *service.State
	requestMemory  *buffers.Budget // for request bodies
	responseMemory *buffers.Budget // for response bodies
	pool           *pool.Pool
	core           *core.Core
	membership     *discovery.Membership
	settings       *platform.Settings
	openRequests   platform.OpenRequests // of all fronts
	fronts         []*front.Server
	peerLink       *peer.Link          // nil: there are no peers
	checker        *introspect.Checker // nil: token introspection is off
	loadExchange   *inflight.Exchange  // nil: off
	stopDiscovery  func()              // stops watching the source of server lists, and waits until the watch has ended

	handoverPath    string                // socket path at which a successor finds this process; empty: no upgrades
	asPredecessor   *handover.Predecessor // nil: no successor can take over
	loadExchangeSeq uint16                // sequence number of the predecessor's last load exchange message
	checkerState    []byte                // checker state that the predecessor handed over; nil: none

	counters []func() core.Counts // one for each component, in the order in which they are logged
	closers  []func()             // called by close, in this order
	failed   chan error           // errors of listeners; buffered for one error of each

	mu                sync.Mutex      // guards the fields below
	cfg               *config.Config  // the configuration in force
	otherUsage        *handover.Usage // what another process of this gateway uses; nil: there is none
	maxDeadlineBefore time.Duration   // longest deadline in configurations that were in force before cfg
}

// listeners is the number of listeners that may fail: two fronts and the control address.
const listeners = 3

// newGateway returns a gateway with an empty pool and no open socket.
func newGateway(cfg *config.Config, clock core.Clock) *gateway {
	g := &gateway{
		start:          cfg,
		cfg:            cfg,
		clock:          clock,
		phase:          service.New(),
		requestMemory:  buffers.New(cfg.BufferMemory / 2),
		responseMemory: buffers.New(cfg.BufferMemory / 2),
		failed:         make(chan error, listeners),
	}
	g.pool = pool.New(pool.Options{
		MaxConnections: cfg.ServerConns,
		ResponseMemory: g.responseMemory,
		LoadFields:     cfg.Deployment.LoadFields(),
		IdleTimeout:    cfg.Deployment.IdleTimeout,
		ConnectTimeout: cfg.Deployment.ConnectTimeout,
	})
	return g
}

// close closes the fronts and then the other components that have been opened.
func (g *gateway) close() {
	for _, s := range g.fronts {
		s.Close()
	}
	for _, c := range g.closers {
		c()
	}
}

// openCore creates the core, and the membership and settings that pass server lists and settings to it.
func (g *gateway) openCore() error {
	var sendToPeer func(int, []byte) // nil: there are no peers
	if g.peerLink != nil {
		sendToPeer = g.peerLink.Send
	}
	d := g.start.Deployment
	var err error
	if g.core, err = core.New(d.Settings, g.start.Seed, g.clock, g.pool, sendToPeer); err != nil {
		return err
	}
	if s := g.start.Site.Storm; s != nil {
		g.core.EnableStormControl(d.Settings, storm.Options{Seed: g.start.Seed, RetryRatio: s.RetryShare,
			MaxRetryAfter: s.MaxRetryAfter, ConnectionRate: s.ConnectionsPerS})
	}
	g.membership = discovery.NewMembership(g.pool, g.core.Servers, d.Zones, d.Kinds)
	g.settings = platform.NewSettings(d)
	return nil
}

// ready reports whether clients should send requests: whether the process may serve and has a server to forward to.
func (g *gateway) ready() bool { return g.phase.Ready() && g.hasServers() }

func (g *gateway) hasServers() bool { return g.pool.ReadyServers() > 0 }

// openControl opens the control address, which operators call.
func (g *gateway) openControl() error {
	server, err := control.Listen(g.start.Control, config.MaxControlConns, g.phase, g.hasServers)
	if err != nil {
		return err
	}
	g.closers = append(g.closers, server.Close)
	server.ReadyDetail = func() string {
		phase, _ := g.core.Recovery()
		return "recovery=" + phase.String()
	}
	g.addCounters(func() core.Counts { return g.controlCounts(server) })
	go g.serveUntilFailure(server.Serve)
	return nil
}

// serveUntilFailure runs a listener's Serve method and passes its error to g.failed, which ends the process.
func (g *gateway) serveUntilFailure(serve func() error) {
	if err := serve(); err != nil {
		g.failed <- err
	}
}

// openFronts opens the front for the platform's protocol and, if the site file configures it, the one with token
// introspection.
func (g *gateway) openFronts(asSuccessor *handover.Successor) error {
	opt := front.Options{
		Address:            g.start.Listen,
		MaxConnections:     g.start.ClientConns,
		MaxRequestDeadline: g.start.Deployment.MaxDeadline(),
		State:              g.phase,
		ReusePort:          g.handoverPath != "",
		Listener:           asSuccessor.Listener(g.start.Listen),
	}
	if g.start.Site.Storm != nil {
		opt.Admit = g.core.AdmitConnection
		g.addCounters(g.stormCounts)
	}
	handler := &platform.Front{Core: g.core, Settings: g.settings, Ready: g.ready, OpenRequests: &g.openRequests,
		BodyMemory: g.requestMemory}
	if err := g.openFront(opt, handler); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	g.addCounters(func() core.Counts {
		return partCounts("gateway", handler.Malformed(), g.core.Counters())
	}, g.poolCounts)
	if g.start.Site.Introspection != nil {
		opt.Listener = asSuccessor.Listener(g.start.Site.Introspection.Listen)
		if err := g.openIntrospection(opt); err != nil {
			return fmt.Errorf("introspection: %w", err)
		}
	}
	return nil
}

// openFront opens a listener, or uses the predecessor's. A front on the predecessor's listener is paused until the
// predecessor has stopped (takeOver).
func (g *gateway) openFront(opt front.Options, handler http.Handler) error {
	listen := func() (*front.Server, error) { return front.Listen(opt, handler) }
	server, err := listen()
	if g.handoverPath != "" && err != nil {
		server, err = retryAddressInUse(listen)
	}
	if err != nil {
		return err
	}
	if opt.Listener != nil {
		server.Pause()
	}
	g.fronts = append(g.fronts, server)
	go g.serveUntilFailure(server.Serve)
	return nil
}

// openIntrospection opens the front with token introspection. Its token checks use a separate core and pool, whose
// servers are the introspection endpoints.
func (g *gateway) openIntrospection(opt front.Options) error {
	conf := *g.start.Site.Introspection
	var link *peer.Link
	var sendToPeer func(int, []byte)
	var err error
	if conf.PeerAddr.IsValid() {
		if link, err = peer.Listen(conf.PeerAddr, conf.PeerAddrs, netip.AddrPort{}); err != nil {
			return fmt.Errorf("peer_listen: %w", err)
		}
		sendToPeer = link.Send
	}
	checker, err := introspect.NewChecker(conf, g.start.Deployment, g.start.CheckConns, checkerSeed(g.start), g.clock,
		sendToPeer)
	if err != nil {
		return err
	}
	g.checker = checker
	g.closers = append(g.closers, checker.Close)
	if link != nil {
		g.closers = append(g.closers, func() { link.Close() })
		go link.Serve(checker.PeerMessage)
	}
	if opt.Address = conf.Listen; conf.CertFile != "" {
		cert, err := tls.LoadX509KeyPair(conf.CertFile, conf.KeyFile)
		if err != nil {
			return fmt.Errorf("cert_file, key_file: %w", err)
		}
		opt.TLS = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	}
	handler := &introspect.Front{Core: g.core, Checker: checker, Settings: g.settings, Ready: g.ready,
		OpenRequests: &g.openRequests, BodyMemory: g.requestMemory}
	g.addCounters(func() core.Counts {
		return partCounts("introspection", handler.Malformed(), checker.Counters())
	})
	return g.openFront(opt, handler)
}

// checkerSeed returns the seed for the core of the token checks, which must draw other random numbers than the
// gateway's core.
func checkerSeed(cfg *config.Config) uint64 { return ^cfg.Seed }

// openStore restores the quota balances that an earlier process of this gateway has stored, if the site file configures
// a store, and then keeps storing them until closeStore is called. A predecessor that still runs has the folder open;
// in that case its state has been handed over already.
func (g *gateway) openStore() (closeStore func(), err error) {
	conf := g.start.Site.Store
	if conf == nil {
		return func() {}, nil
	}
	opt := balances.Options{Path: conf.Path, Name: g.start.Name,
		Store: store.Options{FlushInterval: conf.FlushInterval(), MaxBytes: conf.MaxBytes()}}
	for _, p := range g.start.Deployment.Plans {
		opt.Plans = append(opt.Plans, p.Name)
	}
	keeper, err := balances.Open(opt, g.core)
	if err != nil {
		return nil, err
	}
	g.addCounters(func() core.Counts { return storeCounts(keeper) })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		keeper.Run(ctx)
	}()
	return func() { cancel(); <-done }, nil
}

// clientConns returns the number of open connections of clients.
func (g *gateway) clientConns() (n int) {
	for _, s := range g.fronts {
		n += s.OpenConnections()
	}
	return n
}
