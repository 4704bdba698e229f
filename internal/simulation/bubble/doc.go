// Package bubble has the network and the disks of worlds that run real processes in a bubble of testing/synctest, where time is
// virtual.
//
// The connections of a Network are net.Conns in memory with the delay of a local network, and with what TCP does under trouble: a
// cut, in one direction or both, holds bytes back until it ends, data that stays without acknowledgement ends its connection at
// the sender, probes end an idle one, a dead process resets its connections, and a machine without power says nothing. A Disk is
// a simulation.Disk whose syncs take their time, for one life of a process after the other.
//
// Both are made inside of the bubble that uses them, and are safe for concurrent use. Goroutines of one moment run in the order
// that the scheduler gives them: a seed repeats the troubles and the calls of a world, and mostly what follows.
package bubble
