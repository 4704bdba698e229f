// Package bubble provides the network and the disks for simulations that run real processes, goroutines
// included, in a bubble of testing/synctest, where time is virtual.
//
// The connections of a [Network] are net.Conns in memory with the delay of a local network. They do what TCP
// does under faults:
//
//   - A partition, in one direction or both, holds bytes back until it heals.
//   - The sender ends a connection whose data stays without acknowledgement, as with TCP_USER_TIMEOUT.
//   - Keep-alive probes end an idle connection over a partition.
//   - A process that is killed resets its connections; a machine without power sends nothing.
//
// A [Disk] is a simulation.Disk whose syncs take virtual time. It outlives the incarnations of its
// process: each incarnation mounts it again, and files of earlier mounts fail.
//
// Networks and disks must be created inside the bubble that uses them, and are safe for concurrent use. Unlike
// in package simulation, the scheduler decides the order of goroutines that run at the same virtual time: a seed
// replays the faults and the calls of a simulation exactly, but their consequences may differ in some runs.
package bubble
