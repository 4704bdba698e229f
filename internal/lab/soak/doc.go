// Package soak runs a whole system of real processes on loopback under random faults, and checks from outside
// that the system keeps what it promises to clients and operators.
//
// # A run
//
// A run ([Run]) starts a [system.Cluster] and has four kinds of activity go on at the same time:
//
//   - load: clients send streams and batch jobs, and some of them close the connection before the response, or use
//     one connection until its gateway is gone; others send values that must not reach a server;
//   - an operator, who changes the configuration through any control process, repeats old changes, and reads
//     back, beside a rival;
//   - fault injection: kills, pauses, partitions, lost disks, a loss of power, retirements of stores, signals, and
//     model servers that are silent, reject, break off or are replaced;
//   - checking: the [Rule] values say what is held. A broken rule is a [Violation], reported with the faults
//     around it.
//
// Faults come in rounds. Some rounds are planned work alone: signals, beside changes of the configuration and faults of
// model servers. The others inject several faults at a time, mostly end with a loss of all power and
// of some disks. Each round is followed by a recovery: all faults are healed, and the system has to be well again
// within [RecoveryTimeout]. After the last round every batch job is read back at every gateway.
//
// # What the checker may rely on
//
// The checker judges by what clients and operators observe, never by what a process says of itself, as Jepsen
// does. Two kinds of log lines are read nevertheless: violated invariants, which are reported as violations,
// and the state of stores and the chain, which only tell when recovery is over.
//
// A call without a response is judged as indeterminate: it may have taken effect or not. It is a violation
// only where the gateway wasn't disturbed, which the timeline knows.
//
// No more disks are lost between two recoveries than the system is configured to tolerate (diskBudget): what
// it does beyond that isn't specified.
//
// # Reproducibility
//
// All random draws follow from the seed, in streams of their own (random.go). Processes and sockets have
// their own timing, so a seed gives the same kinds of faults again, not the same run.
//
// A loss of power is a kill of all processes at once. The operating system keeps running, so written bytes
// that weren't synced survive it. Their loss is tested on simulated disks, in internal/batch.
package soak
