// Package memorynet is a network in memory, for tests within a bubble of testing/synctest.
//
// Bytes take a latency to arrive, and a direction holds no more unread bytes than its window, so that writes
// block as on a socket with full buffers. Either end may close a connection, reset it, or just stop reading,
// at any byte. Closing an end over unread bytes resets the connection, as on Linux, and what arrived before a
// reset can still be read.
//
// Nothing here blocks on the operating system, so that virtual time passes whenever all goroutines of the
// bubble are blocked. The package must not be linked into a program that is deployed.
package memorynet
