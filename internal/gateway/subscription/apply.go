package subscription

import (
	"errors"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

var errNotUpdate = errors.New("subscription: the answer to a poll is no update")

// take puts what an update brings in force.
func (s *Subscription) handleUpdate(update *protocol.Update, now time.Time) {
	s.apply(update, now)
	if s.opt.OnUpdate != nil {
		s.opt.OnUpdate()
	}
}

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

// processes takes a list of processes in. Who else may be asked is a hint from whomever it comes; all else is taken only from one
// that vouches for it, and a set of batch processes never goes back.
func (s *Subscription) applyMembers(list *protocol.MemberList) {
	s.control.Update(list.Control)
	if !list.Vouched {
		return
	}
	if held := s.members.Load(); held != nil && held.Stores.Newer(list.Stores) {
		next := *list
		next.Stores = held.Stores
		list = &next
	}
	s.members.Store(list)
}

// list puts a newer list of servers in force.
func (s *Subscription) applyServers(update *protocol.Update, now time.Time) {
	next, err := s.serverList.apply(update, now)
	if err != nil {
		s.opt.Log.Warn().Err(err).Uint64("version", update.Servers.Version).Msg("servers_not_taken")
		return
	}
	s.opt.Servers.Apply(next)
}

func (s *Subscription) noteListAge(sent time.Time, update *protocol.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverList.answered(sent, update)
}

// configure takes a newer configuration in. Where the steps to it can't be taken it is asked for again: from what is held,
// or whole where that leads nowhere.
func (s *Subscription) applyConfiguration(update *protocol.ConfigurationUpdate) {
	if update.Index <= s.state.Current().Index {
		return
	}
	version, err := s.state.ApplyUpdate(update)
	if err != nil {
		s.behind = true
		s.requestFull = !errors.Is(err, configuration.ErrGap)
		s.opt.Log.Warn().Err(err).Uint64("index", update.Index).Msg("configuration_not_taken")
		return
	}
	s.behind, s.requestFull = false, false
	if !s.everConfirmed {
		s.pending = version.Snapshot()
		return
	}
	s.activate(version.Snapshot())
}

// enforce puts a configuration in force.
func (s *Subscription) activate(next *configuration.Snapshot) {
	s.configuration.Store(next)
	if s.opt.OnConfiguration != nil {
		s.opt.OnConfiguration(next)
	}
	s.opt.Log.Info().Uint64("index", next.Index).Uint64("generation", next.Generation).Msg("configuration_in_force")
}
