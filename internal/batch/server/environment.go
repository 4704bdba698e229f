package server

import (
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// The exported methods in this file implement replica.Environment. The state machine calls them with the mutex
// held.
var _ replica.Environment = (*Server)(nil)

// Now returns the monotonic time since the start.
func (s *Server) Now() time.Duration { return time.Since(s.origin) }

// WallClock returns the time of day in Unix milliseconds.
func (s *Server) WallClock() int64 { return time.Now().UnixMilli() }

// Write appends a record to the log. Its sequence number is passed to the state machine once it is durable.
func (s *Server) Write(record []byte, urgent bool) (uint64, wal.Location) {
	return s.disk.wal.Append(record, urgent)
}

// Read reads bytes of a durable record.
func (s *Server) Read(at wal.Location) ([]byte, error) { return s.disk.wal.Read(at) }

// FreeBytes returns the number of bytes by which the log may still grow. It is 0 while the disk is full, even if
// the settings allow more.
func (s *Server) FreeBytes() int64 {
	if s.disk.wal.DiskFull() {
		return 0
	}
	return s.disk.capacity - s.disk.wal.Size()
}

// Send sends a message to another store. The message may be lost: the state machine repeats messages that matter.
func (s *Server) Send(to protocol.Process, message any) {
	if s.closed {
		return
	}
	peer := s.peers[to.IP]
	if peer == nil {
		peer = transport.NewClient(s.settings.EndpointAt(to.IP, node.PortBatch), s.transportOptions, nil, nil)
		s.peers[to.IP] = peer
	}
	_ = peer.Send(message)
}

// QueueLimit returns a route's max-queued-tokens, 0 if there is no limit. known is false while the route isn't
// known.
func (s *Server) QueueLimit(route string) (tokens int64, known bool) {
	found := s.routeByName(route)
	if found == nil {
		return 0, false
	}
	return found.MaxQueuedTokens, true
}

// routeByName returns a route of the configuration in force, nil while the configuration or the route isn't known.
func (s *Server) routeByName(name string) *configuration.Route {
	snapshot := s.Configuration()
	if snapshot == nil {
		return nil
	}
	return snapshot.RouteByName(name)
}

// itemLifetimeMargin is the multiple of the maximum clock skew that is added to a route's retention to get the
// lifetime of its items: runners let items expire twice the skew after the retention, by clocks that may be late by
// once the skew, and an item may have been started just before it expired.
const itemLifetimeMargin = 4

// ItemLifetime returns the time after which no store starts an item of a route any more, 0 if items don't expire.
// known is false while the route isn't known.
func (s *Server) ItemLifetime(route string) (lifetime time.Duration, known bool) {
	found := s.routeByName(route)
	if found == nil {
		return 0, false
	}
	if found.Retention() <= 0 {
		return 0, true
	}
	return found.Retention() + itemLifetimeMargin*s.settings.Bounds.SkewMax, true
}

// Start makes the runner run a batch job's items.
func (s *Server) Start(id string) { s.runner.Start(id) }

// Stop makes the runner cancel the running items of a batch job, and start no more of them.
func (s *Server) Stop(id string) { s.runner.Stop(id) }

// Answer answers a call, unless its caller has given up.
func (s *Server) Answer(call replica.CallID, answer protocol.BatchAnswer) {
	if pending := s.pendingCalls[call]; pending != nil {
		delete(s.pendingCalls, call)
		pending <- answer
	}
}

// closeDepartedPeers closes the connections to stores that are not in the view.
func (s *Server) closeDepartedPeers(view protocol.StoreView) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for ip, peer := range s.peers {
		if !inView(view, ip) {
			peer.Close()
			delete(s.peers, ip)
		}
	}
}

func inView(view protocol.StoreView, ip string) bool {
	for _, member := range view.Members {
		if member.IP == ip {
			return true
		}
	}
	return false
}

// keyOf returns the key of the process at the other end of a session.
func keyOf(identity transport.Identity) placement.Key {
	return placement.KeyOf(protocol.Process{Node: identity.Node, Incarnation: identity.Incarnation})
}
