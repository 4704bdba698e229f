package subscription

import (
	"errors"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverlist"
)

var errStaleList = errors.New("subscription: the list of servers is older than the one held")

// listing is the list of servers that is held, and how old it is at most. It is pure.
type serverListState struct {
	current    *protocol.ServerList // whole
	asOf       time.Time            // the platform was read at that moment or later; zero: not known
	incomplete bool                 // the next poll asks for the whole list
	sentAfter  time.Time            // what the home sends now it sent after that moment
}

// turn begins with another home.
func (l *serverListState) reconnected(now time.Time) { l.sentAfter = now }

// follow gives the list after an update. One that was surely read before the list held is not taken: a control process that was
// cut off or stood still has it, and a list must not go back. Where a list isn't taken it is asked for again, whole.
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

// answered takes in the answer to a poll, which tells how old the home's newest list is: the one held, unless it was not taken.
func (l *serverListState) answered(sent time.Time, update *protocol.Update) {
	l.sentAfter = sent
	if !l.incomplete && l.current != nil {
		l.noteAge(update)
	}
}

// note takes in how old the list held was when an update was sent.
func (l *serverListState) noteAge(update *protocol.Update) {
	if asOf := l.sentAfter.Add(-update.ListAge); update.ListRead && asOf.After(l.asOf) {
		l.asOf = asOf
	}
}
