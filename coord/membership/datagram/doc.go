// Package datagram runs coord/membership over UDP: one socket, one goroutine that reads it, one timer.
//
// Start a Runner in each process with the addresses of a few others as seeds. Runner.Members then returns all
// machines that are present, and Options.OnChange receives every change of state. Call Runner.Leave for a
// planned end, so that the others don't suspect the process first.
//
// UDP suits the protocol: a heartbeat is one datagram of some 40 bytes, without a connection to each monitor
// and without an acknowledgement, and the protocol tolerates loss, repetition and reordering. Updates that
// don't fit into one datagram of 1,400 bytes go into further ones.
//
// # Format
//
// A datagram holds the letters "SPM", a version byte, a tag of the system's name (8 bytes, xxHash64), and the
// fields of membership.Message in their order: integers as varints, digests in 8 bytes, strings and lists
// after their length in one byte. They are encoded by hand, because encoding/gob would describe its types
// anew in each datagram: any of them may be lost.
//
// Datagrams of other systems, and those that are truncated or too long, are dropped and passed to
// Options.Log. The tag keeps systems apart that share a network by mistake. It is no protection: anybody who
// can send to the socket can take part.
package datagram
