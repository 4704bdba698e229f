package server

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// leaseMargin is subtracted from each lease, for what is on its way when it ends: an answer to a client, or
// a request to a server that the gate has just let through.
const leaseMargin = 100 * time.Millisecond

// onUpdate takes over what control sent: a new view of the stores, and configuration and servers, which the
// runner reads by itself.
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

// onGrant renews the lease. It counts from when the poll was sent, which is before control granted it: so
// this store's lease ends before control takes it to have ended.
func (s *Server) onGrant(grant protocol.StoreGrant, sent time.Time) {
	until := sent.Sub(s.origin) + grant.Lease - leaseMargin
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stateMachine.GrantLease(grant.Epoch, grant.Member, until)
}

// report returns what each poll reports to control.
func (s *Server) report() *protocol.BatchReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	report := s.stateMachine.Report()
	return &report
}
