// Package runner runs the items of the batch jobs that this store owns. It takes their work from the Store,
// has package scheduler decide which item goes to which server next, sends it with package serverclient,
// and submits what became of it to the Store.
//
// # Attempts
//
// Each attempt sends the item to one server and reads a stream of events. An attempt ends in one of these
// ways:
//
//   - Completed: the joined events are the item's result.
//   - Interrupted: the stream broke. The events are kept, and the next attempt resumes after the last one
//     (Last-Event-Id), also at another server. Store.Progress saves them, so that a restart of this store
//     resumes as well; another store that takes the batch job over begins the item anew.
//   - Failed (500): the item is tried again, up to its route's max-attempts in all; then it is a dead letter.
//   - Unprocessable (422): it is a dead letter at once.
//   - Rejected, not executed, or not sent: it is tried again, without limit, until it expires: the route's
//     retention after the batch job was first submitted, with a margin for clocks that differ.
//
// Items whose route is gone are dead letters too.
//
// # Invariants
//
//   - No byte of an item is sent without the Store's consent right before it (Store.MayRun: a lease and a
//     batch job that hasn't ended). serverclient calls the gate for that after it has a connection.
//   - Events of different attempts are joined only if one attempt resumed where the other stopped.
//   - An item runs at one server at a time: a task is either queued or running.
//   - Failures count beyond a stop of the batch job at this store (failures.go).
package runner
