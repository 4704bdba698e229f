package gateway

import (
	"context"
	"net/http"
	"time"
)

// outcomesInterval is the time between log lines on the outcomes of requests.
const outcomesInterval = 10 * time.Second

// Ready reports whether clients should be sent to this gateway.
func (g *Gateway) Ready() bool { return g.state.Ready() && g.subscription.Ready(time.Now()) }

// serveReady serves the ready port.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/metrics":
		g.metrics.ServeHTTP(w, r)
	case r.URL.Path != "/readyz":
		http.NotFound(w, r)
	case g.Ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// logOutcomes logs the outcomes of clients' requests periodically.
func (g *Gateway) logOutcomes(ctx context.Context) {
	ticker := time.NewTicker(outcomesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, delta := range g.proxy.Outcomes.Delta() {
			g.log.Info().Str("route", delta.Route).Str("outcome", string(delta.Outcome)).
				Uint64("requests", delta.Count).Msg("outcomes")
		}
	}
}
