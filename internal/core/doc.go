// Package core carries the decisions of package policy out: it owns the life of each transaction, from when a front
// has read a request to its one final answer.
//
// # Concepts
//
// A transaction is one request of a client. A front hands it in with Core.Serve, which blocks until the final answer.
// An Attempt is one sending of it to a server; a Carrier takes it there and back and reports its End. A generation is
// the time in which one version of the settings is in force: it has a policy.Gateway of its own, which keeps the
// transactions that came in under it to their end.
//
// # Invariants
//
//   - Gateways are called under one mutex, one event at a time, in the order of the clock readings that they are given.
//     Their actions are queued meanwhile; messages to peers and log lines leave once the mutex is free. No input or
//     output is done while it is held.
//   - Core decides nothing about requests itself: what it doesn't hand to policy it hands to internal/storm (whether a
//     retry storm is under way) and internal/recovery (what a process that starts or resumes may believe).
//   - A transaction gets one final answer. An attempt writes no byte after it (Attempt.Begin), and the end of each
//     attempt goes to policy, also after the answer: it still says something of its server.
//   - No transaction moves from one generation to another.
//
// # Files
//
// core.go has the mutex and the events, transaction.go the life of a transaction, attempt.go that of an attempt,
// host.go the actions of policy, generation.go changes of settings and the hand-over to another process, recovery.go
// and storm.go the ties to these packages, answer.go the ends and answers, clock.go the clock, counters.go the
// counters.
package core
