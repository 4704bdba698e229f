package gateway

import (
	"time"

	"sprucelane.example/sprucelane/internal/service"
)

const (
	// acceptAfterShutdown is how long new connections are accepted after SIGTERM. The platform notices the
	// shutdown within two of its readiness checks.
	acceptAfterShutdown = 2300 * time.Millisecond
	// killMargin is the time before the platform kills the process by which the process must have exited.
	killMargin = 500 * time.Millisecond
)

// Shutdown starts the graceful shutdown: the gateway reports itself as not ready, and requests that have been
// read are answered. Run returns when the shutdown is complete.
func (g *Gateway) Shutdown() {
	within := max(acceptAfterShutdown, g.settings.Bounds.Grace-killMargin)
	if g.state.Shutdown(time.Now(), within) {
		g.log.Info().Msg("shutdown_started")
	}
}

// nextExitCheck returns the time until Run checks whether the shutdown is complete.
func (g *Gateway) nextExitCheck() time.Duration {
	if g.state.Phase() == service.ShuttingDown {
		return pollInterval
	}
	return time.Hour
}

// openConnections returns the number of clients' open connections.
func (g *Gateway) openConnections() int {
	if server := g.clients.Load(); server != nil {
		return server.OpenConnections()
	}
	return 0
}
