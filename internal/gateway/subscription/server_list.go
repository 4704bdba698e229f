package subscription

import (
	"errors"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverlist"
)

// errStaleList reports a list that was surely read from the platform before the one held.
var errStaleList = errors.New("subscription: the list of servers is older than the one held")

// serverListState is the server list held and an upper bound on its age. It reads no clock. A subscription's
// mu guards it.
//
// Control processes read the list from the platform at different times, and say with each update how long ago
// that was (ListAge). A control process that was partitioned or paused may have a list that is older than the
// one held. Its version number doesn't show that: each control process counts versions by itself. So ages are
// compared.
type serverListState struct {
	current    *protocol.ServerList // complete
	asOf       time.Time            // the platform was read at that moment or later; zero: not known
	incomplete bool                 // an update wasn't applied: the next poll asks for the complete list
	sentAfter  time.Time            // what the control process sends now was sent after that moment
}

// reconnected begins the subscription to another control process.
func (l *serverListState) reconnected(now time.Time) { l.sentAfter = now }

// apply returns the list after an update. It returns an error for an update that doesn't apply to the list
// held, or whose list is older (errStaleList); the next poll then asks for the complete list.
func (l *serverListState) apply(update *protocol.Update, now time.Time) (*protocol.ServerList, error) {
	next, err := serverlist.ApplyUpdate(l.current, update.Servers)
	if err == nil && update.ListRead && now.Add(-update.ListAge).Before(l.asOf) {
		err = errStaleList
	}
	l.incomplete = err != nil
	if err == nil {
		l.current = next
		l.noteAge(update)
	}
	return next, err
}

// observeAnswer updates the bound on the age from the answer to a poll, which has the age of the control
// process's newest list. That is the list held, unless its update wasn't applied.
func (l *serverListState) observeAnswer(sent time.Time, update *protocol.Update) {
	l.sentAfter = sent
	if !l.incomplete && l.current != nil {
		l.noteAge(update)
	}
}

// noteAge raises asOf by an update whose list is the one held. The age was measured when the update was sent,
// which was after sentAfter.
func (l *serverListState) noteAge(update *protocol.Update) {
	if asOf := l.sentAfter.Add(-update.ListAge); update.ListRead && asOf.After(l.asOf) {
		l.asOf = asOf
	}
}
