// Package datagram runs a coord/membership node over UDP, with one socket, one goroutine that reads it and one
// timer.
//
// Start a Runner in each process with the addresses of a few others as seeds. Runner.Members then returns all
// machines that are present, and Options.OnChange receives every change of state. Call Runner.Leave before a
// planned shutdown, so that the other machines don't suspect this one first.
//
// UDP suits the protocol: a heartbeat is one datagram of some 40 bytes, without a connection to each monitor
// and without an acknowledgement, and the protocol tolerates loss, repetition and reordering. Updates that
// don't fit into one datagram of 1,400 bytes go into further ones.
//
// # Format
//
// A datagram holds the letters "SPM", a version byte, a tag of the system's name (8 bytes, xxHash64), and the
// fields of membership.Message in their order: integers as varints, digests in 8 bytes, strings and lists
// after their length in one byte. They are encoded by hand, because any datagram may be lost, so that
// encoding/gob would have to describe its types again in each of them.
//
// Datagrams of other systems, and those that are truncated or too long, are dropped and passed to
// Options.Log. The tag separates systems that share a network by mistake. It doesn't authenticate: anybody who
// can send to the socket can take part.
package datagram
