package proxy

import (
	"time"

	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/serverload"
)

// connectionShare is the part of a server's max-conns that all gateways together use.
const connectionShare = 0.9

// maxContactAge is the greatest age of control's last confirmation with which the member list counts as current.
const maxContactAge = time.Second

// selectServer reserves a place at a server for the next attempt. It returns nil if no server is left.
func (q *request) selectServer() *serverselection.Reservation {
	table := q.proxy.Servers.Current()
	if table == nil {
		return nil
	}
	reservation := q.proxy.Selector.Pick(time.Now(), &serverselection.Criteria{Workload: q.admission.Workload,
		Servers: table.ForBackend(q.admission.Backend), Exclude: q.tried, MaxInFlight: q.maxInFlight()})
	if reservation != nil && reservation.PrefillTokens() >= serverload.MinAnnouncedTokens &&
		q.proxy.AnnouncePrefill != nil {
		q.proxy.AnnouncePrefill(reservation.Server.Hash, reservation.PrefillTokens())
	}
	return reservation
}

// maxInFlight returns how many requests this gateway may have at one server of the backend: its part of
// max-conns. 0: no bound.
func (q *request) maxInFlight() int {
	backend := q.configuration.BackendByName(q.admission.Backend)
	if backend == nil || backend.MaxConns <= 0 {
		return 0
	}
	return q.proxy.connectionPart(time.Now(), int(connectionShare*float64(backend.MaxConns)))
}

// connectionPart returns this gateway's part of a number of connections of a server, at least one.
func (p *Proxy) connectionPart(now time.Time, connections int) int {
	p.ConnectionShare.Observe(now, p.Control.Members(), p.Control.ConfirmedSince(now.Add(-maxContactAge)))
	return p.ConnectionShare.Part(connections)
}
