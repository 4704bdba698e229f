// Package handover carries what a process of a gateway hands over to the one that follows it in an upgrade: its open
// sockets, its state, and afterwards updates on what it still does. It decides nothing about when to serve; the
// [Process] does.
//
// # Protocol
//
// The processes meet at a Unix socket in a folder that both have ([Path]): the predecessor listens ([Listen]), the
// successor connects ([Connect]). Each message is a frame: its length (4 bytes, big endian, of what follows), its
// kind (1 byte), and its content.
//
//	successor                     predecessor
//	hello (version, name)   ->
//	                        <-    offer (JSON, with the sockets' descriptors), or busy
//	... starts ...
//	take                    ->
//	                              ... stops accepting ...
//	                        <-    state (several frames), state end (CRC-32C)
//	done                    ->
//	                        <-    serve
//	... serves ...
//	                        <-    update (repeated until the predecessor exits)
//
// # Failures
//
// Connections and datagrams that arrive while neither process accepts wait in the sockets' queues, so none is lost. If
// the successor fails before it serves, or exits while its predecessor still runs, the predecessor takes all back
// (Process.Resume). A state that is incomplete is dropped as a whole, and the successor serves without it.
//
// Neither side relies on the other: processes of other users are rejected, frames and the state are bounded, and every
// wait has a time-out.
package handover
