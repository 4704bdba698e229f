// Package subscription keeps a process supplied with the control processes' state: the configuration, the
// list of servers and the list of the system's processes. Gateways use it, and batch processes as well.
//
// # How updates arrive
//
// A process is subscribed to one control process at a time. It polls that one in short intervals, over a
// connection on which the control process also pushes updates as soon as it has applied them. If the control
// process fails, or can't confirm that its state is the latest, the subscription goes to another
// (ControlSelector).
//
// Each part of the state is an immutable snapshot that is replaced as a whole. A reader sees one version from
// the moment when it loads it, without locks.
//
// # Confirmation
//
// A control process that is partitioned from the others may send an old state without knowing that it is old.
// So the answer to a poll says whether the control process can confirm its state: that it has applied all
// that was acknowledged longer ago than an age (its staleness bound). In the messages, Update.Fresh and
// Update.Age say so for the configuration, MemberList.Vouched for the list of processes. What follows from
// it:
//
//   - A configuration takes effect in a new process only once it was confirmed: such a process has no earlier
//     one to compare it with.
//   - The key lease (KeyLease) is renewed by confirmations only, and counts from when the poll was sent,
//     minus the age. Once it has expired no request with an API key may be forwarded. So a removed key stops
//     working everywhere within a bounded time, also at a gateway that no update reaches.
//   - A request is denied for an unknown route or key only after a confirmation (AwaitConfirmation).
//   - A gateway without recent confirmations reports itself as not ready.
//
// # Files
//
// connection.go connects and polls; apply.go applies updates, with server_list.go for the list of servers;
// confirmation.go evaluates the answers to polls; key_lease.go is the lease; control_selector.go chooses the
// control process. Times are arguments everywhere but in connection.go and subscription.go, so that
// simulations can run the rest in virtual time (random_test.go).
//
// # Invariants
//
//   - Neither the configuration nor the server list nor the set of batch processes ever goes back to an older
//     version, also when the subscription goes to another control process.
//   - All times of leases and confirmations count from the sending of a poll, never from the receipt of its
//     answer, which may have been in transit for long (Gray and Cheriton, 1989).
package subscription
