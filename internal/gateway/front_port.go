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
	// longestDeadline is the maximum time that a request and its response may take on a client's connection.
	longestDeadline = 60 * time.Second
	// pollInterval is the time between checks for a free port, for the first configuration, and for the end
	// of a shutdown.
	pollInterval = 25 * time.Millisecond
	// listenRetryFor is how long opening the front port is retried while another process has it.
	listenRetryFor = 3 * time.Second
	// configurationWait is how long clients wait in the front port's queue for the first configuration. After
	// that their requests are read, and wait for it in the proxy.
	configurationWait = 300 * time.Millisecond
	// minMaxHeaderBytes is the minimum of the front port's limit on the size of a head. The configured limit,
	// which may change, is enforced by the proxy.
	minMaxHeaderBytes = 64 << 10
	// defaultHeaderTimeoutMs bounds the reading of a head, in milliseconds, at a gateway that started without
	// a configuration.
	defaultHeaderTimeoutMs = 10_000
	// defaultIdleTimeout is how long clients' connections may be idle if the configuration doesn't limit it.
	defaultIdleTimeout = time.Minute
	// timeoutSlack is added to configured time-outs, so that a client that uses them up exactly isn't
	// disconnected.
	timeoutSlack = 500 * time.Millisecond
)

// serveClients serves the front port. The port is open from the start, so that clients that connect while the
// process starts wait in its listen queue. They are served once there is a configuration, which contains the
// port's limits, or after configurationWait without one.
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
		IdleTimeoutFunc:    g.idleTimeout,
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

// withSlack converts a configured time-out in milliseconds and adds timeoutSlack. It returns 0 if there is no
// time-out.
func withSlack(ms float64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return time.Duration(ms*float64(time.Millisecond)) + timeoutSlack
}

// idleTimeout returns how long clients' connections may be idle according to the configuration in force.
func (g *Gateway) idleTimeout() time.Duration {
	snapshot := g.subscription.Configuration()
	if snapshot == nil || snapshot.Limits.IdleTimeoutMs <= 0 {
		return defaultIdleTimeout
	}
	return withSlack(snapshot.Limits.IdleTimeoutMs)
}

// awaitLimits waits for the first configuration, for at most configurationWait, and returns its limits. Without
// one it returns default limits.
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

// listen opens the front port. It retries for listenRetryFor while the address is in use, because the previous
// incarnation of the process may still have the port for a while.
func (g *Gateway) listen() (net.Listener, error) {
	for until := time.Now().Add(listenRetryFor); ; time.Sleep(pollInterval) {
		port, err := net.Listen("tcp", g.settings.ListenFront)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return port, err
		}
	}
}
