package subscription

import (
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	// maxUnconfirmed is how long a control process may answer without confirming its state before another is
	// tried.
	maxUnconfirmed = 600 * time.Millisecond
	// unconfirmedPollInterval is the time between polls while the control process doesn't confirm its state.
	unconfirmedPollInterval = 120 * time.Millisecond
)

// pollState is the state of polling one control process since the subscription to it began. Only poll's
// goroutine uses it.
type pollState struct {
	confirmedAt time.Time // when the last poll was sent whose answer confirmed the state
}

// newPollState returns the state at the beginning of a subscription, which counts as a confirmation.
func newPollState(now time.Time) pollState { return pollState{confirmedAt: now} }

// handlePollAnswer evaluates whether the answer to a poll confirms the control process's state, after the
// update in the answer was applied. It returns how long after this poll the next one is due, and whether the
// subscription to this control process continues.
func (s *Subscription) handlePollAnswer(p *pollState, sent, now time.Time, update *protocol.Update) (
	pause time.Duration, stays bool) {
	s.observeListAge(sent, update)
	pause = protocol.PollInterval
	if update.Fresh {
		p.confirmedAt = sent
		s.confirm(sent, update.Age)
	} else {
		pause = unconfirmedPollInterval
		if now.Sub(p.confirmedAt) > maxUnconfirmed {
			return 0, false
		}
	}
	if s.isBehind() {
		pause = minPollInterval
	}
	return pause, true
}

// confirm handles a confirmation: the current state includes everything that was acknowledged longer than age
// before the poll was sent. A pending configuration takes effect before the lease is renewed, because the lease
// is for that configuration.
func (s *Subscription) confirm(sent time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behind {
		return // the confirmed configuration couldn't be applied
	}
	s.everConfirmed = true
	if s.pending != nil {
		s.activate(s.pending)
		s.pending = nil
	}
	s.lease.Renew(sent, age)
	s.confirmedAt.Store(int64(sent.Sub(s.origin)))
	close(s.confirmed)
	s.confirmed = make(chan struct{})
}

// isBehind reports whether a newer configuration than the current one was received but couldn't be applied.
func (s *Subscription) isBehind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behind
}
