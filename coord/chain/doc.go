// Package chain holds the data of chain replication: the log of orders, which an index and an epoch
// identify, and the deterministic machine that they change, with the outcomes of recent requests.
//
// It is pure: no sockets, disks or clocks. coord/replica carries it.
package chain
