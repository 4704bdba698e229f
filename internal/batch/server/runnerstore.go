package server

import (
	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/runner"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// The methods in this file implement the interfaces through which the runner calls the server.
var (
	_ runner.Store     = (*Server)(nil)
	_ runner.Discovery = (*Server)(nil)
)

// Work returns the items of a batch job that are left to run, and false if this store doesn't own the batch job.
func (s *Server) Work(id string) (replica.Job, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stateMachine.Work(id)
}

// ReadItem reads an item from the log.
func (s *Server) ReadItem(at wal.Location) (job.Item, error) {
	encoded, err := s.disk.wal.Read(at)
	if err != nil {
		return job.Item{}, err
	}
	return job.DecodeItem(encoded)
}

// ReadEvents reads events from the log.
func (s *Server) ReadEvents(at []wal.Location) ([][]byte, error) {
	events := make([][]byte, len(at))
	for i := range at {
		event, err := s.disk.wal.Read(at[i])
		if err != nil {
			return nil, err
		}
		events[i] = event
	}
	return events, nil
}

// Progress saves events of a running item. The first of them is the one that follows the event with the id after;
// the last of them has the id last.
func (s *Server) Progress(id string, index int, after, last int64, events [][]byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stateMachine.SaveProgress(id, index, after, last, events)
}

// Failures records how often servers have failed an item of a batch job, for this store and later owners.
func (s *Server) Failures(id string, index int, failures replica.Failures) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stateMachine.RecordFailures(id, index, failures)
}

// MayRun reports whether this store may send an item to a server now.
func (s *Server) MayRun(id string, index int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stateMachine.MayRun(id, index)
}

// Finish adds an item's result to its batch job. It returns false if the store can't accept the result now.
func (s *Server) Finish(id string, index int, state job.State, text []byte) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stateMachine.Finish(id, index, state, text)
}

// Configuration returns the configuration in force, nil while none is known.
func (s *Server) Configuration() *configuration.Snapshot { return s.subscription.Configuration() }

// Servers returns the servers of a backend.
func (s *Server) Servers(backend string) []protocol.Server {
	table := s.endpoints.Current()
	if table == nil {
		return nil
	}
	endpoints := table.ForBackend(backend)
	servers := make([]protocol.Server, len(endpoints))
	for i := range endpoints {
		servers[i] = endpoints[i].Server
	}
	return servers
}
