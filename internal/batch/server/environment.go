package server

import (
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns what the machine acts through. All of it is called with the mutex held.

type disk struct {
	wal      *wal.WAL
	capacity int64
}

// Now is the steady clock.
func (s *Server) Now() time.Duration { return time.Since(s.origin) }

// Wall is the time of day.
func (s *Server) WallClock() int64 { return time.Now().UnixMilli() }

// Write queues a record.
func (s *Server) Write(record []byte, urgent bool) (uint64, wal.Location) {
	return s.disk.wal.Append(record, urgent)
}

// Read reads from the log.
func (s *Server) Read(at wal.Location) ([]byte, error) { return s.disk.wal.Read(at) }

// Free tells what the disk still takes.
func (s *Server) FreeBytes() int64 {
	if s.disk.wal.DiskFull() {
		return 0
	}
	return s.disk.capacity - s.disk.wal.Size()
}

// Send sends a message to another store.
func (s *Server) Send(to protocol.Process, message any) {
	if s.closed {
		return
	}
	peer := s.peers[to.IP]
	if peer == nil {
		peer = transport.NewClient(s.settings.EndpointAt(to.IP, node.PortBatch), s.transportOptions, nil, nil)
		s.peers[to.IP] = peer
	}
	_ = peer.Send(message) // what matters is sent again
}

// QueueLimit tells how many tokens of a tenant may wait on a route.
func (s *Server) QueueLimit(route string) (tokens int64, known bool) {
	snapshot := s.Configuration()
	if snapshot == nil {
		return 0, false
	}
	of := snapshot.RouteByName(route)
	if of == nil {
		return 0, false
	}
	return of.MaxQueuedTokens, true
}

// Start has a batch job's items run.
func (s *Server) Start(id string) { s.runner.Start(id) }

// Stop has none of them run any more.
func (s *Server) Stop(id string) { s.runner.Stop(id) }

// Answer ends a call.
func (s *Server) Answer(token replica.CallID, answer protocol.BatchAnswer) {
	if waiting := s.pendingCalls[token]; waiting != nil {
		delete(s.pendingCalls, token)
		waiting <- answer
	}
}

// dropPeers closes connections to stores that are gone.
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

// keyOf gives the key of the process at the other end of a session.
func keyOf(identity transport.Identity) placement.Key {
	return placement.KeyOf(protocol.Process{Node: identity.Node, Incarnation: identity.Incarnation})
}
