package subscription

import (
	"errors"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverlist"
)

var errOlder = errors.New("subscription: the list of servers is older than the one held")

// listing is the list of servers that is held, and how old it is at most. It is pure.
type listing struct {
	held       *protocol.ServerList // whole
	asOf       time.Time            // the platform was read at that moment or later; zero: not known
	incomplete bool                 // the next poll asks for the whole list
}

// follow gives the list after an update. One that was surely read before the list held is not taken: a control process that was
// cut off or stood still has it, and a list must not go back. Where a list isn't taken it is asked for again, whole.
func (l *listing) follow(update *protocol.Update, now time.Time) (*protocol.ServerList, error) {
	next, err := serverlist.Follow(l.held, update.Servers)
	if err == nil && update.ListRead && now.Add(-update.ListAge).Before(l.asOf) {
		err = errOlder
	}
	l.incomplete = err != nil
	if err == nil {
		l.held = next
	}
	return next, err
}

// answered takes in how old the home's newest list is, which is the one held unless it was not taken. The age is as of a moment
// after the poll was sent.
func (l *listing) answered(sent time.Time, update *protocol.Update) {
	if !update.ListRead || l.incomplete || l.held == nil {
		return
	}
	if asOf := sent.Add(-update.ListAge); asOf.After(l.asOf) {
		l.asOf = asOf
	}
}
