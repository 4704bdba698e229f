package subscription

import (
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	// unsureMost is how long a home may go without vouching for what it says.
	maxUnconfirmed = 600 * time.Millisecond
	// unsurePoll is the time between polls while it doesn't.
	unconfirmedPollInterval = 120 * time.Millisecond
	// soonest is the least time between polls that somebody waits for.
	minPollInterval = 50 * time.Millisecond
)

// polling is how one home has answered since it became the home.
type pollState struct {
	confirmedAt time.Time // when the last poll was sent that it vouched in the answer to
}

func newPollState(now time.Time) pollState { return pollState{confirmedAt: now} }

// answered takes in what an answer says of itself, after what it brings was taken in: in how long after the poll the next is due,
// and whether the home is still one.
func (s *Subscription) handlePollAnswer(p *pollState, sent, now time.Time, update *protocol.Update) (pause time.Duration, stays bool) {
	s.noteListAge(sent, update)
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

// vouched takes in that all which was acknowledged longer than age before an answer is known here. What waited for it is in force
// before the lease counts from it.
func (s *Subscription) confirm(sent time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behind {
		return // what was sent could not be put in force
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

// lacks tells whether something newer is known to be in force than what is held here.
func (s *Subscription) isBehind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behind
}
