// Package handover transfers the open sockets and the state of a gateway's process to the process that replaces it in
// an upgrade, and afterwards updates on the work that the old process still has. The package doesn't decide when a
// process serves; the [Process] does.
//
// # Protocol
//
// The processes communicate through a Unix socket in a directory that both can access ([Path]): the predecessor listens
// ([Listen]) and the successor connects ([Connect]). Each message is a frame: the length of kind and content (4 bytes,
// big endian), the kind (1 byte), and the content.
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
// Connections and datagrams that arrive while neither process accepts wait in the sockets' queues, so that none is
// lost. If the successor fails before it serves, or exits while its predecessor still runs, the predecessor serves
// again (Process.Resume). An incomplete state is discarded as a whole, and the successor serves without it.
//
// Neither side trusts the other: processes of other users are rejected, the sizes of frames and of the state are
// limited, and every wait has a timeout.
package handover
