package server

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// leaseMargin is subtracted from each lease. It covers messages that are in transit when the lease ends: an answer
// to a client, or a request to a server that the gate has just allowed.
const leaseMargin = 100 * time.Millisecond

// onUpdate handles an update from control. It installs a new view of the stores, and wakes the runner, which reads
// the configuration and the servers by itself.
func (s *Server) onUpdate() {
	if members := s.subscription.Members(); members != nil {
		s.mutex.Lock()
		before, acted := s.stateMachine.Epoch(), s.stateMachine.ActedIn()
		s.stateMachine.InstallView(members.Stores)
		after := s.stateMachine.Epoch()
		missing := s.stateMachine.Status().MissingStores
		s.mutex.Unlock()
		s.runner.SetStoreCount(len(placement.ActiveMembers(members.Stores)))
		if after != before {
			s.log.Info().Uint64("epoch", after).Uint64("acted_in_epoch", acted).
				Int("stores", len(members.Stores.Members)).Strs("missing_stores", keyStrings(missing)).Msg("store_view")
			s.closeDepartedPeers(members.Stores)
		}
	}
	s.runner.Wake()
}

// onGrant renews the lease. The lease counts from the time when the poll was sent, which is before control granted
// it. So it ends at this store before control considers it ended.
func (s *Server) onGrant(grant protocol.StoreGrant, sent time.Time) {
	until := sent.Sub(s.origin) + grant.Lease - leaseMargin
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stateMachine.GrantLease(grant.Epoch, grant.Member, until)
}

// report returns the report that each poll sends to control.
func (s *Server) report() *protocol.BatchReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	report := s.stateMachine.Report()
	return &report
}
