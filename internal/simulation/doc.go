// Package simulation is a seeded world for tests of state machines: a disk that loses what was not synced, a clock
// with a queue of events, and links that delay, lose, reorder and cut messages. Nothing in it waits or looks at the
// real clock, and the same seed gives the same run.
//
// A Disk implements slots.FS. What was written without a sync is kept, lost or torn by PowerLoss; Kill keeps it, as
// the death of a process does; Wipe loses all; SetCapacity fills the disk; FailAt takes the power away in the middle
// of a chosen operation.
//
// A World runs events in the order of their times. Send delivers a message through the Links, which have a delay,
// a jitter, a chance of loss, and cuts that may hold in one direction only. A machine is stopped, and frozen or
// slowed, by its name: what arrives at a stopped one is lost, and what arrives at a frozen one waits.
//
// None of the types may be used by several goroutines at once.
package simulation
