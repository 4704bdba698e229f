// Package datagram carries coord/membership over UDP: one socket, one goroutine that reads it, one timer.
//
// A heartbeat is a datagram of some 40 bytes, without a connection to each monitor and without an answer. News that
// doesn't fit into one datagram of 1,400 bytes goes into more of them. Datagrams are encoded by hand: gob would
// describe its types anew in each one, since any of them may be lost.
//
// A datagram is: the letters "SPM", a version byte, a tag of the system's name (8 bytes, xxHash64), and the fields of
// membership.Message in their order, integers as varints, strings and lists after their length. Datagrams of other
// systems, and such as are cut short or too long, are dropped. The tag tells systems apart; it is no protection.
package datagram
