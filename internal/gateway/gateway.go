package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/gateway/batchproxy"
	"sprucelane.example/sprucelane/internal/gateway/connectionshare"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/gateway/outcomes"
	"sprucelane.example/sprucelane/internal/gateway/proxy"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/gateway/subscription"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/node/metrics"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverload"
	"sprucelane.example/sprucelane/internal/service"
)

const (
	// reservedFDs is the number of file descriptors that aren't used for connections: those that the platform
	// reserves, and the process's own.
	reservedFDs = 240
	// clientShare is the fraction of the other descriptors that clients' connections may use. Connections to
	// servers use the rest.
	clientShare = 0.6
	// bodyShare is the fraction of the memory limit that the bodies of requests and buffered responses may use
	// in total.
	bodyShare = 0.3
	// connectTimeout bounds the dialling of a connection to a server.
	connectTimeout = 400 * time.Millisecond
	// serverIdleTimeout is how long a connection to a server is kept idle, unless the server says otherwise.
	serverIdleTimeout = 8 * time.Second
)

// Gateway is a gateway process.
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
	metrics      http.Handler                 // serves the metrics of Metrics
	clients      atomic.Pointer[front.Server] // nil until the front port is served
}

// New assembles a gateway. Run starts it.
func New(settings *node.Settings, log zerolog.Logger) *Gateway {
	g := &Gateway{settings: settings, log: log, state: service.New()}
	g.state.SetAcceptPeriod(acceptAfterShutdown)
	g.pool = pool.New(pool.Options{MaxConnections: maxServerSockets(settings), IdleTimeout: serverIdleTimeout,
		ConnectTimeout: connectTimeout})
	g.servers = endpoints.NewRegistry(g.pool)
	process := protocol.Process{Node: settings.NodeName, Role: protocol.RoleGateway, Zone: settings.Zone,
		IP: settings.IP, Incarnation: incarnation()}
	g.process = process
	options := transport.Options{Identity: transport.Identity{System: protocol.System, Node: process.Node,
		Role: process.Role, Zone: process.Zone, Address: process.IP, Incarnation: process.Incarnation}}
	selector := serverselection.New(settings.Zone, seed(process))
	g.admitter = newAdmitter(selector, g.servers, process, options, log)
	g.subscription = subscription.New(subscription.Options{Settings: settings, Process: process, Transport: options,
		Servers: g.servers, Ready: g.Ready, Log: log, OnConfiguration: g.admitter.Configure})
	g.admitter.members = g.subscription.Members
	g.batch = batchproxy.New(settings, options, g.subscription.Members, selector.Loads())
	g.proxy = &proxy.Proxy{
		Control:         g.subscription,
		ConnectionShare: connectionshare.New(settings.NodeName, settings.Bounds.Liveness),
		Servers:         g.servers,
		Pool:            g.pool,
		Selector:        selector,
		Admission:       g.admitter,
		Batch:           g.batch,
		Bodies:          buffers.New(int64(bodyShare * float64(settings.Limits.MemoryMB) * (1 << 20))),
		Outcomes:        outcomes.New(),
		Log:             log,
		ExitTime:        g.state.ExitDeadline,
	}
	g.metrics = metrics.Handler(func() []metrics.Metric { return Metrics(g) })
	return g
}

// incarnation returns an identifier of this run of the process.
func incarnation() string {
	var random [8]byte
	rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// seed returns the seed of the selector's random draws, which differs between gateways.
func seed(process protocol.Process) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(process.Node + process.Incarnation))
	return sum.Sum64()
}

// maxClientSockets returns the bound on clients' connections.
func maxClientSockets(settings *node.Settings) int {
	return int(clientShare * float64(max(0, settings.Limits.MaxFDs-reservedFDs)))
}

// maxServerSockets returns the bound on connections to servers.
func maxServerSockets(settings *node.Settings) int {
	return max(0, settings.Limits.MaxFDs-reservedFDs) - maxClientSockets(settings)
}

// Reload applies changed settings. Only the seeds are applied; the listen addresses don't change.
func (g *Gateway) Reload(settings *node.Settings) { g.subscription.Seed(settings) }

// Run serves until the shutdown is complete, and then returns nil. It returns an error if a port can't be served.
func (g *Gateway) Run() error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	defer g.pool.Close()
	defer g.batch.Close()
	failed := make(chan error, 2)
	ready := &http.Server{Addr: g.settings.ListenReady, Handler: http.HandlerFunc(g.serveReady),
		ReadTimeout: time.Minute}
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
			if g.state.Phase() == service.ShuttingDown && g.state.MayExit(time.Now(), g.openConnections()) {
				g.log.Info().Int("open", g.openConnections()).Msg("shutdown_complete")
				return nil
			}
		case <-g.state.Changed():
		}
	}
}

// shareLoads shares the loads that servers report, and announcements of long prompts, with other processes.
// If its port isn't available, the gateway knows only the loads that servers report to it directly.
func (g *Gateway) shareLoads(ctx context.Context) {
	if ablation.Off(ablation.SharedLoad) {
		return
	}
	sharing, err := serverload.Listen(g.proxy.Selector.Loads(), g.process, g.settings.Port(node.PortLoad),
		g.subscription.Members)
	if err != nil {
		g.log.Warn().Err(err).Msg("load_sharing_disabled")
		return
	}
	g.proxy.AnnouncePrefill = sharing.AnnouncePrefill
	go sharing.Run(ctx)
}

// Check returns an error that lists the settings that a gateway requires and that are missing, or nil.
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
