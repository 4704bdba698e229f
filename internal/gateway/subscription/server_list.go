package subscription

import (
	"errors"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverlist"
)

// errStaleList reports a list that was certainly read from the platform before the current one.
var errStaleList = errors.New("subscription: the received list of servers is older than the current one")

// serverListState is the current server list and an upper bound on its age. It reads no clock. The
// subscription's mu guards it.
//
// Control processes read the list from the platform at different times, and state in each update how long ago
// that was (ListAge). A control process that was partitioned or paused may have a list that is older than the
// current one. Its version number doesn't show that, because each control process numbers its versions itself.
// So ages are compared.
type serverListState struct {
	current    *protocol.ServerList // complete
	asOf       time.Time            // the platform was read at that time or later; zero: unknown
	incomplete bool                 // an update wasn't applied: the next poll requests the complete list
	sentAfter  time.Time            // messages that are received now were sent after that time
}

// reconnected records the beginning of the subscription to a control process.
func (l *serverListState) reconnected(now time.Time) { l.sentAfter = now }

// apply applies an update and returns the resulting list. It returns an error if the update doesn't apply to the
// current list or if its list is older (errStaleList); the next poll then requests the complete list.
func (l *serverListState) apply(update *protocol.Update, now time.Time) (*protocol.ServerList, error) {
	next, err := serverlist.ApplyUpdate(l.current, update.Servers)
	if err == nil && update.ListRead && now.Add(-update.ListAge).Before(l.asOf) {
		err = errStaleList
	}
	l.incomplete = err != nil
	if err == nil {
		l.current = next
		l.advanceAsOf(update)
	}
	return next, err
}

// observeAnswer updates the bound on the age from the answer to a poll, which states the age of the control
// process's newest list. That is the current list, unless its update wasn't applied.
func (l *serverListState) observeAnswer(sent time.Time, update *protocol.Update) {
	l.sentAfter = sent
	if !l.incomplete && l.current != nil {
		l.advanceAsOf(update)
	}
}

// advanceAsOf advances asOf by the ListAge of an update whose list is the current one. The age was measured when the
// update was sent, which was after sentAfter.
func (l *serverListState) advanceAsOf(update *protocol.Update) {
	if asOf := l.sentAfter.Add(-update.ListAge); update.ListRead && asOf.After(l.asOf) {
		l.asOf = asOf
	}
}
