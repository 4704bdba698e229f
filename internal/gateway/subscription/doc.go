// Package subscription keeps a process supplied with the control processes' state: the configuration, the list of
// servers and the list of the system's processes. Gateways use it, and batch processes as well.
//
// # How updates arrive
//
// A process is subscribed to one control process at a time (its home). It polls it in short intervals, over a
// connection on which the control process also pushes updates as soon as they are known. If the control process
// fails, or can't confirm that its state is the latest, another is chosen (ControlSelector).
//
// Each part of the state is an immutable snapshot that is replaced as a whole. A reader sees one version from the
// moment when it loads it, without locks.
//
// # Confirmation
//
// A control process that is partitioned from the others may hand out an old state without knowing. So the answer to a
// poll says whether the control process can confirm (vouch, in the messages' words) that it has applied all that was
// acknowledged longer ago than an age (its staleness bound). What follows from it:
//
//   - A configuration takes effect in a new process only once it was confirmed: such a process has none to compare it with.
//   - The key lease is renewed by confirmations only, and counts from when the poll was sent, minus the age. When it expires
//     no request with an API key may be forwarded; so a removed key stops working everywhere within a bounded time, also
//     at a gateway that no update reaches.
//   - A request is denied for an unknown route or key only after a confirmation (AwaitConfirmation).
//   - A gateway without recent confirmations reports itself as not ready.
//
// # Invariants
//
//   - Neither the configuration nor the server list nor the set of batch processes ever goes back to an older version, also
//     when the home changes.
//   - All times of leases and confirmations count from the sending of a poll, never from the receipt of its answer, which
//     may have been in transit for long (Gray and Cheriton, 1989).
package subscription
