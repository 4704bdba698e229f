// Package simulation is deterministic simulation testing for state machines, in the way of FoundationDB and
// TigerBeetle: virtual time, machines, a network and disks in one goroutine, in which a seed determines
// every random decision. Nothing in it waits or reads the real clock, and the same seed gives the
// same run, so that a seed is enough to replay a failure.
//
// # Simulation
//
// A [Simulation] runs events in the order of their times. [Simulation.Send] delivers a message through the
// [Links], which have a delay, a jitter and a probability of loss, and can be partitioned in one direction
// only. A machine is just a name: it can be stopped (what arrives is lost, and its timers never run), paused
// (what arrives waits, as for a process after SIGSTOP), or made to lag.
//
// The code under test is driven by calls: it must take time as an argument and return its messages. Processes
// with goroutines of their own are simulated by package bubble.
//
// # Disk
//
// A [Disk] implements slots.FS and tracks what processes see and what is durable separately. [Disk.LosePower]
// keeps, loses or tears each write that was not synced, in any combination, so that later writes may survive
// earlier ones; the same holds for names that were created, renamed or removed without [Disk.SyncDir].
// [Disk.Kill] ends the process and keeps everything, as the page cache does; [Disk.Wipe] loses everything.
// [Disk.FailAt] cuts the power during a chosen operation: a test that tries each operation in turn covers
// every crash point. [Disk.SetCapacity] fills the disk and [Disk.FlipBit] corrupts it.
//
// # Randomness
//
// All draws come from one [Rand], in the order in which the simulation makes them: a change that adds,
// removes or reorders a draw changes every run after it. [Rand.Fork] gives independent sources that are not
// affected by each other's draws.
//
// None of the types may be used by several goroutines at once.
package simulation
