package subscription

import (
	"errors"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// handleUpdate applies an update that was pushed or that answers a poll, and calls Options.OnUpdate.
func (s *Subscription) handleUpdate(update *protocol.Update, now time.Time) {
	s.apply(update, now)
	if s.opt.OnUpdate != nil {
		s.opt.OnUpdate()
	}
}

// apply applies the parts that an update contains. A part of the state whose update is nil stays unchanged.
func (s *Subscription) apply(update *protocol.Update, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if update.Configuration != nil {
		s.applyConfiguration(update.Configuration)
	}
	if update.Servers != nil {
		s.applyServers(update, now)
	}
	if update.Members != nil {
		s.applyMembers(update.Members)
	}
}

// applyMembers applies a list of processes. Its control processes become candidates to subscribe to even if the
// list isn't confirmed, because at worst a poll to one of them fails. The rest of the list is used only if
// control confirms it (Vouched), and the set of batch processes is never replaced by one of an older epoch. mu
// must be held.
func (s *Subscription) applyMembers(list *protocol.MemberList) {
	s.control.Update(list.Control)
	if !list.Vouched {
		return
	}
	if current := s.members.Load(); current != nil && current.Stores.Newer(list.Stores) {
		next := *list
		next.Stores = current.Stores
		list = &next
	}
	s.members.Store(list)
}

// applyServers applies an update of the server list. mu must be held.
func (s *Subscription) applyServers(update *protocol.Update, now time.Time) {
	next, err := s.serverList.apply(update, now)
	if err != nil {
		s.opt.Log.Warn().Err(err).Uint64("version", update.Servers.Version).Msg("server_list_rejected")
		return
	}
	s.opt.Servers.Apply(next)
}

// observeListAge updates the bound on the server list's age from the answer to a poll; sent is when the poll
// was sent.
func (s *Subscription) observeListAge(sent time.Time, update *protocol.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverList.observeAnswer(sent, update)
}

// applyConfiguration applies an update to a newer configuration; one to the same or an older configuration is
// ignored. An update may be a delta to another configuration than the current one and is then rejected. The
// next poll, which follows after minPollInterval, requests the configuration again: after a gap a delta to the
// current one, after any other error the complete configuration. mu must be held.
func (s *Subscription) applyConfiguration(update *protocol.ConfigurationUpdate) {
	if update.Index <= s.state.Current().Index {
		return
	}
	version, err := s.state.ApplyUpdate(update)
	if err != nil {
		s.behind = true
		s.requestFull = !errors.Is(err, configuration.ErrGap)
		s.opt.Log.Warn().Err(err).Uint64("index", update.Index).Msg("configuration_rejected")
		return
	}
	s.behind, s.requestFull = false, false
	if !s.everConfirmed {
		s.pending = version.Snapshot()
		return
	}
	s.activate(version.Snapshot())
}

// activate puts a configuration in force. mu must be held.
func (s *Subscription) activate(next *configuration.Snapshot) {
	s.configuration.Store(next)
	if s.opt.OnConfiguration != nil {
		s.opt.OnConfiguration(next)
	}
	s.opt.Log.Info().Uint64("index", next.Index).Uint64("generation", next.Generation).Msg("configuration_applied")
}
