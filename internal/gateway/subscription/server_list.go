package subscription

import (
	"errors"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverlist"
)

// errStaleList reports a list that was surely read from the platform before the one held.
var errStaleList = errors.New("subscription: the list of servers is older than the one held")

// serverListState is the server list held and an upper bound on its age. It reads no clock. A subscription's mu
// guards it.
//
// Control processes read the list from the platform at different times, and tell with each update how long ago that
// was. A control process that was partitioned or paused may have a list from before the one held, under any version
// number.
type serverListState struct {
	current    *protocol.ServerList // complete
	asOf       time.Time            // the platform was read at that moment or later; zero: not known
	incomplete bool                 // an update wasn't applied: the next poll asks for the complete list
	sentAfter  time.Time            // what the control process sends now was sent after that moment
}

// reconnected begins the subscription to another control process.
func (l *serverListState) reconnected(now time.Time) { l.sentAfter = now }

// apply returns the list after an update. An update that doesn't apply, or whose list is older than the one held, is an
// error, and the complete list is asked for.
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

// answered takes in the answer to a poll, which tells the age of the control process's newest list. That is the list
// held, unless its update wasn't applied.
func (l *serverListState) observeAnswer(sent time.Time, update *protocol.Update) {
	l.sentAfter = sent
	if !l.incomplete && l.current != nil {
		l.noteAge(update)
	}
}

// noteAge takes in how old the list held was when an update was sent.
func (l *serverListState) noteAge(update *protocol.Update) {
	if asOf := l.sentAfter.Add(-update.ListAge); update.ListRead && asOf.After(l.asOf) {
		l.asOf = asOf
	}
}
