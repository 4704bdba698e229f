package subscription

import (
	"errors"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverlist"
)

var errAnswer = errors.New("subscription: the answer to a poll is no update")

// take puts what an update brings in force.
func (s *Subscription) take(update *protocol.Update) {
	s.apply(update)
	if s.opt.Updated != nil {
		s.opt.Updated()
	}
}

func (s *Subscription) apply(update *protocol.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if update.Configuration != nil {
		s.configure(update.Configuration)
	}
	if update.Servers != nil {
		s.list(update.Servers)
	}
	if update.Members != nil {
		s.members.Store(update.Members)
		s.homes.Learn(update.Members.Control)
	}
}

// list puts a newer list of servers in force. Where a difference doesn't apply to the list held it is asked for whole.
func (s *Subscription) list(update *protocol.ServerList) {
	next, err := serverlist.Follow(s.listed, update)
	s.unlisted = err != nil
	if err != nil {
		s.opt.Log.Warn().Err(err).Uint64("version", update.Version).Msg("servers_not_taken")
		return
	}
	s.listed = next
	s.opt.Servers.Apply(next)
}

// configure puts a newer configuration in force. Where the steps to it can't be taken it is asked for again: from what is held,
// or whole where that leads nowhere.
func (s *Subscription) configure(update *protocol.ConfigurationUpdate) {
	held := s.configuration.Load()
	if held != nil && update.Index <= held.Index {
		return
	}
	version, err := s.state.Follow(update)
	if err != nil {
		s.behind = true
		s.whole = !errors.Is(err, configuration.ErrGap)
		s.opt.Log.Warn().Err(err).Uint64("index", update.Index).Msg("configuration_not_taken")
		return
	}
	s.behind, s.whole = false, false
	next := version.Snapshot()
	s.configuration.Store(next)
	if s.opt.Configured != nil {
		s.opt.Configured(next)
	}
	s.opt.Log.Info().Uint64("index", next.Index).Uint64("generation", next.Generation).Msg("configuration_in_force")
}
