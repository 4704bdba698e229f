package subscription

import (
	"encoding/json"
	"errors"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

var (
	errAnswer = errors.New("subscription: the answer to a poll is no update")
	// errSteps reports steps that lead on from a configuration which is not held here.
	errSteps = errors.New("subscription: steps from a configuration that is not held")
)

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
		s.opt.Servers.Apply(update.Servers)
	}
	if update.Members != nil {
		s.members.Store(update.Members)
		s.homes.Learn(update.Members.Control)
	}
}

// configure puts a newer configuration in force. Where its steps can't be taken the whole is asked for.
func (s *Subscription) configure(update *protocol.ConfigurationUpdate) {
	held := s.configuration.Load()
	if held != nil && update.Index <= held.Index {
		return
	}
	next, err := follow(held, update)
	if err != nil {
		s.whole = true
		s.opt.Log.Warn().Err(err).Uint64("index", update.Index).Msg("configuration_not_taken")
		return
	}
	s.whole = false
	s.configuration.Store(next)
	s.opt.Log.Info().Uint64("index", next.Index).Uint64("generation", next.Generation).Msg("configuration_in_force")
}

// follow gives the configuration that an update leads to.
func follow(held *configuration.Snapshot, update *protocol.ConfigurationUpdate) (*configuration.Snapshot, error) {
	if update.Whole == nil {
		return nil, errSteps
	}
	var document configuration.Document
	if err := json.Unmarshal(update.Whole, &document); err != nil {
		return nil, err
	}
	return configuration.NewSnapshot(document, update.Index), nil
}
