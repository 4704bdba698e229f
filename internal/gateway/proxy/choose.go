package proxy

import (
	"errors"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/serverload"
)

// errForeign reports answers that are not to this request.
var errMismatchedID = errors.New("proxy: an answer to another request")

// connectionShare is the part of a server's bound on connections that all gateways together use.
const connectionShare = 0.9

// pickBackend gives the service of the request: the route's, or one by the weights of its split.
func (q *request) chooseBackend() string {
	if len(q.route.TrafficSplit) == 0 {
		return q.route.Backend
	}
	sum := 0.0
	for _, split := range q.route.TrafficSplit {
		sum += split.Weight
	}
	point := rand.Float64() * sum
	name := q.route.Backend
	for _, split := range q.route.TrafficSplit {
		if split.Weight <= 0 {
			continue
		}
		name = split.Backend
		if point -= split.Weight; point < 0 {
			break
		}
	}
	return name
}

// place chooses the server for the next attempt, or gives nil where there is none.
func (q *request) selectServer() *serverselection.Reservation {
	table := q.proxy.Servers.Current()
	if table == nil {
		return nil
	}
	reservation := q.proxy.Selector.Pick(time.Now(), &serverselection.Criteria{Workload: q.admission.Workload, Servers: table.ForBackend(q.admission.Backend),
		Exclude: q.tried, MaxInFlight: q.maxInFlight()})
	if reservation != nil && reservation.PrefillTokens() >= serverload.MinAnnouncedTokens && q.proxy.AnnouncePrefill != nil {
		q.proxy.AnnouncePrefill(reservation.Server.Hash, reservation.PrefillTokens())
	}
	return reservation
}

// connectionsAtMost gives this gateway's part of the connections that a server takes.
func (q *request) maxInFlight() int {
	backend := q.configuration.BackendByName(q.admission.Backend)
	if backend == nil || backend.MaxConns <= 0 {
		return 0
	}
	gateways := 1
	if members := q.proxy.Control.Members(); members != nil {
		gateways = max(1, len(members.Gateways))
	}
	return max(2, int(connectionShare*float64(backend.MaxConns))/gateways)
}
