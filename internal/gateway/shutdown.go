package gateway

import (
	"time"

	"sprucelane.example/sprucelane/internal/service"
)

const (
	// acceptAfterShutdown is how long new connections are accepted after SIGTERM: the platform notices within
	// two of its readiness checks.
	acceptAfterShutdown = 2300 * time.Millisecond
	// killMargin is how long before the platform kills the process it must have exited.
	killMargin = 500 * time.Millisecond
)

// Shutdown starts the graceful shutdown: clients are sent elsewhere, and requests that were read are
// answered. Run returns when it is complete.
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

// openConnections returns the number of clients' connections.
func (g *Gateway) openConnections() int {
	if server := g.clients.Load(); server != nil {
		return server.OpenConnections()
	}
	return 0
}
