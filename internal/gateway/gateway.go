// Package gateway owns the assembly of a gateway of the system and its life as a process: what it listens on, when it calls
// itself ready, and how it ends. It must never look into a request.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/gateway/batchproxy"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/gateway/outcomes"
	"sprucelane.example/sprucelane/internal/gateway/proxy"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/gateway/subscription"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverload"
	"sprucelane.example/sprucelane/internal/service"
)

const (
	// reservedFiles are the descriptors kept for files outside the disk folder, by the platform's word, and for the process.
	reservedFDs = 240
	// clientShare is the part of the other descriptors that clients' connections may use.
	clientShare = 0.6
	// bodyShare is the part of the memory that bodies and whole answers may hold together.
	bodyShare = 0.3
	// connectWait is how long a connection to a server may take to come up: one in a dead machine never does.
	connectTimeout = 400 * time.Millisecond
	// serverIdle is how long a connection to a server is kept idle, where the server doesn't say.
	serverIdleTimeout = 8 * time.Second
	// longestDeadline bounds what a client's connection may take of a request and its answer.
	longestDeadline = 60 * time.Second
	// acceptAfterEnd is how long new connections are taken after SIGTERM: the platform notices within two of its checks.
	acceptAfterShutdown = 2300 * time.Millisecond
	// killMargin is how long before the platform kills the process it is gone.
	killMargin = 500 * time.Millisecond
	// lookAgain is how often an ending process looks whether it may end.
	retryInterval = 25 * time.Millisecond
	// listenFor is how long the port for clients may be another's.
	listenRetryFor = 3 * time.Second
	// configurationWait is how long clients wait in the port's queue for the first configuration. After that they are read, and
	// wait for it in the proxy.
	configurationWait = 300 * time.Millisecond
	// widestHeader (bytes) is what the port takes of a head at least: the operator's limit, which may change, is held to behind it.
	minMaxHeaderBytes = 64 << 10
	// longestHeadMs is how long a head may take at a gateway that began without a configuration.
	defaultHeaderTimeoutMs = 10_000
	// longestIdle is how long clients may rest where the operator doesn't say.
	defaultIdleTimeout = time.Minute
	// outcomesEvery is how often what became of requests is logged.
	outcomesInterval = 10 * time.Second
	// headerSlack is added to the operator's times: a client that keeps to them must not be cut by a moment.
	timeoutSlack = 500 * time.Millisecond
)

// Gateway is a gateway's process.
type Gateway struct {
	settings     *node.Settings
	process      protocol.Process
	log          zerolog.Logger
	state        *service.State
	pool         *pool.Pool
	servers      *endpoints.Registry
	subscription *subscription.Subscription
	batch        *batchproxy.Caller
	admitter     *admitter
	proxy        *proxy.Proxy
	clients      atomic.Pointer[front.Server]
}

// New assembles a gateway.
func New(settings *node.Settings, log zerolog.Logger) *Gateway {
	g := &Gateway{settings: settings, log: log, state: service.New()}
	g.state.AcceptFor(acceptAfterShutdown)
	g.pool = pool.New(pool.Options{Sockets: maxServerSockets(settings), ConnIdle: serverIdleTimeout, ConnectWait: connectTimeout})
	g.servers = endpoints.NewRegistry(g.pool)
	process := protocol.Process{Node: settings.NodeName, Role: protocol.RoleGateway, Zone: settings.Zone, IP: settings.IP,
		Incarnation: incarnation()}
	g.process = process
	options := transport.Options{Identity: transport.Identity{System: protocol.System, Node: process.Node, Role: process.Role, Zone: process.Zone,
		Address: process.IP, Incarnation: process.Incarnation}}
	placer := serverselection.New(settings.Zone, seed(process))
	g.admitter = newAdmitter(placer, g.servers, process, options, log)
	g.subscription = subscription.New(subscription.Options{Settings: settings, Process: process, Transport: options,
		Servers: g.servers, Ready: g.Ready, Log: log, OnConfiguration: g.admitter.Configure})
	g.admitter.members = g.subscription.Members
	g.batch = batchproxy.New(settings, options, g.subscription.Members, placer.Loads())
	g.proxy = &proxy.Proxy{
		Control:   g.subscription,
		Servers:   g.servers,
		Pool:      g.pool,
		Selector:  placer,
		Admission: g.admitter,
		Batch:     g.batch,
		Bodies:    buffers.New(int64(bodyShare * float64(settings.Limits.MemoryMB) * (1 << 20))),
		Outcomes:  outcomes.New(),
		Log:       log,
		ExitTime:  g.state.Leaves,
	}
	return g
}

func incarnation() string {
	var random [8]byte
	rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

func seed(process protocol.Process) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(process.Node + process.Incarnation))
	return sum.Sum64()
}

func maxClientSockets(settings *node.Settings) int {
	return int(clientShare * float64(max(0, settings.Limits.MaxFDs-reservedFDs)))
}

func maxServerSockets(settings *node.Settings) int {
	return max(0, settings.Limits.MaxFDs-reservedFDs) - maxClientSockets(settings)
}

// Ready tells whether clients are to come here.
func (g *Gateway) Ready() bool { return g.state.Ready() && g.subscription.Ready(time.Now()) }

// Reload takes other settings in: machines that may know of control. What the process listens on stays.
func (g *Gateway) Reload(settings *node.Settings) { g.subscription.Seed(settings) }

// End begins the end: clients are sent away, what was taken is answered.
func (g *Gateway) Shutdown() {
	within := max(acceptAfterShutdown, g.settings.Bounds.Grace-killMargin)
	if g.state.End(time.Now(), within) {
		g.log.Info().Msg("ending")
	}
}

// Run serves until End has come to its end, or fails.
func (g *Gateway) Run() error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	defer g.pool.Close()
	defer g.batch.Close()
	failed := make(chan error, 2)
	ready := &http.Server{Addr: g.settings.ListenReady, Handler: http.HandlerFunc(g.serveReady), ReadTimeout: time.Minute}
	go func() { failed <- fmt.Errorf("listen.ready: %w", ready.ListenAndServe()) }()
	defer ready.Close()
	g.shareLoads(ctx)
	go g.logOutcomes(ctx)
	go g.subscription.Run(ctx)
	go g.admitter.quota.Run(ctx)
	go func() {
		if err := g.serveClients(); err != nil {
			failed <- fmt.Errorf("listen.front: %w", err)
		}
	}()
	for {
		select {
		case err := <-failed:
			return err
		case <-time.After(g.nextExitCheck()):
			if g.state.Phase() == service.Ending && g.state.MayEnd(time.Now(), g.openConnections()) {
				g.log.Info().Int("open", g.openConnections()).Msg("ended")
				return nil
			}
		case <-g.state.Changed():
		}
	}
}

// shareLoads passes on what servers tell of their load, and tells others of long prompts. Where the port can't be had, this gateway knows
// what it hears itself.
func (g *Gateway) shareLoads(ctx context.Context) {
	if ablation.Off(ablation.SharedLoad) {
		return
	}
	sharing, err := serverload.Listen(g.proxy.Selector.Loads(), g.process, g.settings.Port(node.PortLoad), g.subscription.Members)
	if err != nil {
		g.log.Warn().Err(err).Msg("shared_loads_off")
		return
	}
	g.proxy.AnnouncePrefill = sharing.AnnouncePrefill
	go sharing.Run(ctx)
}

func (g *Gateway) nextExitCheck() time.Duration {
	if g.state.Phase() == service.Ending {
		return retryInterval
	}
	return time.Hour
}

// open counts clients' connections.
func (g *Gateway) openConnections() int {
	if server := g.clients.Load(); server != nil {
		return server.Open()
	}
	return 0
}

func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/metrics":
		g.serveMetrics(w)
	case r.URL.Path != "/readyz":
		http.NotFound(w, r)
	case g.Ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveMetrics tells what became of clients' requests, in Prometheus' text format.
func (g *Gateway) serveMetrics(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = g.proxy.Outcomes.WritePrometheus(w) // whoever asked has left
}

// tellOutcomes logs what became of clients' requests, now and then.
func (g *Gateway) logOutcomes(ctx context.Context) {
	ticker := time.NewTicker(outcomesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, one := range g.proxy.Outcomes.Delta() {
			g.log.Info().Str("route", one.Route).Str("outcome", string(one.Outcome)).Uint64("requests", one.Count).Msg("outcomes")
		}
	}
}

// serveClients takes clients' connections. The port is open from the start, so that those that come while a process starts wait
// for a moment in its queue; they are served once there is a configuration, whose limits are those of the port, or it is late.
func (g *Gateway) serveClients() error {
	port, err := g.listen()
	if err != nil {
		return err
	}
	limits := g.awaitLimits()
	server, err := front.Listen(front.Options{
		Listener:        port,
		Sockets:         maxClientSockets(g.settings),
		LongestDeadline: longestDeadline,
		State:           g.state,
		HeaderWait:      withSlack(limits.HeaderTimeoutMs),
		IdleFor:         g.idleFor,
		MaxHeader:       max(minMaxHeaderBytes, limits.MaxHeaderBytes),
	}, g.proxy)
	if err != nil {
		return err
	}
	g.clients.Store(server)
	g.state.Started()
	g.log.Info().Str("listen", server.Addr()).Msg("serving")
	return server.Serve()
}

func withSlack(ms float64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return time.Duration(ms*float64(time.Millisecond)) + timeoutSlack
}

// idleFor gives how long clients may rest now.
func (g *Gateway) idleFor() time.Duration {
	held := g.subscription.Configuration()
	if held == nil || held.Limits.IdleTimeoutMs <= 0 {
		return defaultIdleTimeout
	}
	return withSlack(held.Limits.IdleTimeoutMs)
}

// awaitLimits waits for the first configuration, but not for long: clients give up what nobody reads.
func (g *Gateway) awaitLimits() configuration.Limits {
	for until := time.Now().Add(configurationWait); ; time.Sleep(retryInterval) {
		if held := g.subscription.Configuration(); held != nil {
			return held.Limits
		}
		if time.Now().After(until) || g.state.Phase() == service.Ending {
			return configuration.Limits{HeaderTimeoutMs: defaultHeaderTimeoutMs}
		}
	}
}

// listen opens the port for clients. For a while it may be another's: that of the process before this one.
func (g *Gateway) listen() (net.Listener, error) {
	for until := time.Now().Add(listenRetryFor); ; time.Sleep(retryInterval) {
		port, err := net.Listen("tcp", g.settings.ListenFront)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return port, err
		}
	}
}

// Check tells what the settings lack for a gateway.
func Check(settings *node.Settings) error {
	var findings node.Findings
	if settings.ListenFront == "" {
		findings.Addf(os.Getenv(node.SettingsVariable)+": listen.front", "is missing")
	}
	if settings.ListenReady == "" {
		findings.Addf(os.Getenv(node.SettingsVariable)+": listen.ready", "is missing")
	}
	return findings.OrNil()
}
