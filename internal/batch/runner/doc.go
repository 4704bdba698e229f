// Package runner runs the items of the batch jobs that this store owns. It gets the items from the Store,
// has package scheduler decide which item goes to which server next, sends the item with package
// serverclient, and submits the result to the Store.
//
// # Attempts
//
// Each attempt sends the item to one server and reads a stream of events. An attempt ends in one of these
// ways:
//
//   - Completed: the joined events are the item's result.
//   - Interrupted: the stream broke. The events are kept, and the next attempt resumes after the last one
//     (Last-Event-Id), possibly at another server. Store.Progress saves the events, so that the item also
//     resumes after a restart of this store; another store that takes over the batch job starts the item
//     from the beginning.
//   - Failed (500): the item is retried, up to its route's max-attempts in total, and is then a dead letter.
//   - Unprocessable (422): the item is a dead letter at once.
//   - Rejected, not executed, or not sent: the item is retried without limit until it expires. It expires
//     when the route's retention has passed since the batch job was first submitted, plus a margin for clock
//     skew.
//
// Items whose route was removed become dead letters too.
//
// # Invariants
//
//   - No byte of an item is sent unless the Store permits it immediately before (Store.MayRun: this store
//     has a lease and the batch job hasn't ended). serverclient calls the gate that asks for this permission
//     once it has a connection.
//   - Events of different attempts are joined only if one attempt resumed where the other stopped.
//   - An item runs at one server at a time: a task is either queued or running.
//   - The failure count of an item is kept when its batch job is stopped at this store (failures.go).
package runner
