package proxy

import (
	"time"

	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/serverload"
	"sprucelane.example/sprucelane/policy"
)

// connectionShare is the fraction of a server's max-conns that all gateways together use.
const connectionShare = 0.9

// maxConfirmationAge is the maximum age of control's last confirmation for the member list to count as current.
const maxConfirmationAge = time.Second

// selectServer selects a server for the next attempt, other than the excluded ones, and reserves capacity there. It
// returns nil if no server is available.
func (q *request) selectServer(excluded []policy.ServerID) *serverselection.Reservation {
	table := q.proxy.Servers.Current()
	if table == nil {
		return nil
	}
	reservation := q.proxy.Selector.Pick(time.Now(), &serverselection.Criteria{Workload: q.admission.Workload,
		Servers: table.ForBackend(q.admission.Backend), Exclude: excluded, MaxInFlight: q.maxInFlight()})
	if reservation != nil && reservation.PrefillTokens() >= serverload.MinAnnouncedTokens &&
		q.proxy.AnnouncePrefill != nil {
		q.proxy.AnnouncePrefill(reservation.Server.Hash, reservation.PrefillTokens())
	}
	return reservation
}

// maxInFlight returns how many requests this gateway may have in flight at each server of the backend, which
// is its share of max-conns. 0 means no bound.
func (q *request) maxInFlight() int {
	backend := q.configuration.BackendByName(q.admission.Backend)
	if backend == nil || backend.MaxConns <= 0 {
		return 0
	}
	return q.proxy.connectionPart(time.Now(), int(connectionShare*float64(backend.MaxConns)))
}

// connectionPart returns this gateway's share of a server's connections, at least one.
func (p *Proxy) connectionPart(now time.Time, connections int) int {
	p.ConnectionShare.Observe(now, p.Control.Members(), p.Control.ConfirmedSince(now.Add(-maxConfirmationAge)))
	return p.ConnectionShare.Part(connections)
}
