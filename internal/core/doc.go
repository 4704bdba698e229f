// Package core carries out the decisions of package policy. It owns each transaction from when a front has read the
// request to the one final answer.
//
// # Concepts
//
// A transaction is one request of a client. A front passes it to Core.Serve, which blocks until the final answer.
// An Attempt sends a transaction to one server, once; a Carrier transmits it, reads the response and returns the End.
// A generation is one version of the settings, with its own policy.Gateway, which decides on the transactions that
// arrived while that version was in force, until they end.
//
// # Invariants
//
//   - Gateways are called under one mutex, one event at a time, in the order of the clock readings passed to them.
//     The actions that they order are queued; messages to peers are sent and log lines written after the mutex is
//     released. No I/O is done while it is held.
//   - Core makes no decision on a request itself. It delegates to policy, to internal/storm (whether a retry storm is
//     under way) and to internal/recovery (what a process that starts, or resumes after a pause, may rely on).
//   - A transaction gets one final answer, and no attempt begins to write after it (Attempt.Begin). The end of each
//     attempt is reported to policy even after the answer, because it still says something about the server.
//   - No transaction moves from one generation to another.
//
// # Files
//
// core.go has the mutex and the events, transaction.go the life cycle of a transaction, attempt.go that of an attempt,
// host.go the implementation of policy.Host, generation.go changes of settings and the handover to another process,
// recovery.go and storm.go the calls to internal/recovery and internal/storm, answer.go the types End and Answer,
// clock.go the clock, counters.go the counters.
package core
