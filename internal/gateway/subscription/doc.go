// Package subscription keeps a process's copy of the control processes' state up to date: the configuration,
// the list of servers and the list of the system's processes. Gateways and batch processes use it.
//
// # How updates arrive
//
// A process is subscribed to one control process at a time. It polls that control process at short intervals,
// over a connection on which the control process also pushes updates as soon as it has applied them. If the
// control process fails, or can't confirm that its state is the latest, the process subscribes to another one
// (ControlSelector).
//
// Each part of the state is an immutable snapshot that is replaced as a whole. Readers load a snapshot without
// locks and see one version for as long as they use it.
//
// # Confirmation
//
// A control process that is partitioned from the others may send an outdated state without knowing that it is
// outdated. The answer to a poll therefore states whether the control process can confirm its state, that is,
// whether it has applied everything that was acknowledged longer ago than an age (its staleness bound). In the
// messages, Update.Fresh and Update.Age state this for the configuration, MemberList.Vouched for the list of
// processes. Confirmations are used as follows:
//
//   - A configuration takes effect in a new process only once it has been confirmed, because a new process has
//     no earlier configuration to compare it with.
//   - The key lease (KeyLease) is renewed by confirmations only, and runs from the time at which the poll was
//     sent, minus the age. Once it has expired, no request with an API key may be forwarded. So a removed key
//     stops working everywhere within a bounded time, even at a gateway that receives no updates.
//   - A request is rejected for an unknown route or key only after a confirmation (AwaitConfirmation).
//   - A gateway without recent confirmations reports itself as not ready.
//
// # Files
//
// connection.go connects and polls; apply.go applies updates, with server_list.go for the list of servers;
// confirmation.go evaluates the answers to polls; key_lease.go has the lease; control_selector.go chooses the
// control process. Except in connection.go and subscription.go, the current time is passed as an argument, so
// that simulations can run the rest in virtual time (random_test.go).
//
// # Invariants
//
//   - Neither the configuration nor the server list nor the set of batch processes is ever replaced by an older
//     version, not even after a change of the control process.
//   - All times of leases and confirmations are measured from the sending of a poll, never from the receipt of
//     its answer, because the answer may have been in transit for a long time (Gray and Cheriton, 1989).
package subscription
