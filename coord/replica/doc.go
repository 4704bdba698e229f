// Package replica keeps control state by chain replication over a few machines with a disk, and
// carries it to any number of nodes without one.
//
// The head orders writes; each member syncs a batch and hands it on; the tail's disk completes it;
// acknowledgements travel back. coord/view says who forms the chain. The protocol is a pure state
// machine (core): messages and time go in; records and messages come out. A Node carries it with
// sockets (coord/transport), a disk (coord/slots) and the steady clock.
package replica
