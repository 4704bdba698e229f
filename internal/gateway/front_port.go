package gateway

import (
	"errors"
	"net"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/service"
)

const (
	// longestDeadline bounds how long a request and its response may take on a client's connection.
	longestDeadline = 60 * time.Second
	// pollInterval is the time between checks for a free port, for the first configuration, and for the end
	// of a shutdown.
	pollInterval = 25 * time.Millisecond
	// listenRetryFor is how long opening the front port is retried while another process has it.
	listenRetryFor = 3 * time.Second
	// configurationWait is how long clients wait in the front port's queue for the first configuration. After
	// that their requests are read, and wait for it in the proxy.
	configurationWait = 300 * time.Millisecond
	// minMaxHeaderBytes is what the front port accepts of a head at least. The configured limit, which may
	// change, is enforced by the proxy.
	minMaxHeaderBytes = 64 << 10
	// defaultHeaderTimeoutMs bounds the reading of a head at a gateway that started without a configuration.
	defaultHeaderTimeoutMs = 10_000
	// defaultIdleTimeout is how long clients' connections may be idle unless it is configured.
	defaultIdleTimeout = time.Minute
	// timeoutSlack is added to configured time-outs, so that a client that keeps to them exactly isn't
	// disconnected.
	timeoutSlack = 500 * time.Millisecond
)

// serveClients serves the front port. The port is open from the start, so that clients that connect while the
// process starts wait in its queue; they are served once there is a configuration, which has the port's
// limits, or after configurationWait without one.
func (g *Gateway) serveClients() error {
	port, err := g.listen()
	if err != nil {
		return err
	}
	limits := g.awaitLimits()
	server, err := front.Listen(front.Options{
		Listener:           port,
		MaxConnections:     maxClientSockets(g.settings),
		MaxRequestDeadline: longestDeadline,
		State:              g.state,
		ReadHeaderTimeout:  withSlack(limits.HeaderTimeoutMs),
		IdleTimeoutFunc:    g.idleFor,
		MaxHeaderBytes:     max(minMaxHeaderBytes, limits.MaxHeaderBytes),
	}, g.proxy)
	if err != nil {
		return err
	}
	g.clients.Store(server)
	g.state.MarkStarted()
	g.log.Info().Str("listen", server.Addr()).Msg("serving")
	return server.Serve()
}

// withSlack converts a time-out of the configuration, in milliseconds. 0: none.
func withSlack(ms float64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return time.Duration(ms*float64(time.Millisecond)) + timeoutSlack
}

// idleFor returns how long clients' connections may be idle, by the configuration in force.
func (g *Gateway) idleFor() time.Duration {
	snapshot := g.subscription.Configuration()
	if snapshot == nil || snapshot.Limits.IdleTimeoutMs <= 0 {
		return defaultIdleTimeout
	}
	return withSlack(snapshot.Limits.IdleTimeoutMs)
}

// awaitLimits waits for the limits of the first configuration, for at most configurationWait.
func (g *Gateway) awaitLimits() configuration.Limits {
	for until := time.Now().Add(configurationWait); ; time.Sleep(pollInterval) {
		if snapshot := g.subscription.Configuration(); snapshot != nil {
			return snapshot.Limits
		}
		if time.Now().After(until) || g.state.Phase() == service.ShuttingDown {
			return configuration.Limits{HeaderTimeoutMs: defaultHeaderTimeoutMs}
		}
	}
}

// listen opens the front port. For a while the previous incarnation of the process may still have it.
func (g *Gateway) listen() (net.Listener, error) {
	for until := time.Now().Add(listenRetryFor); ; time.Sleep(pollInterval) {
		port, err := net.Listen("tcp", g.settings.ListenFront)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return port, err
		}
	}
}
