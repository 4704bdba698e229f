// Package front is the server for clients: net/http's, with what a gateway needs beyond it. It doesn't read
// what a request asks for, and doesn't decide whether clients are accepted: package service does.
//
// # Connections
//
// net/http handles requests; this package wraps its listener and its connections to add:
//
//   - A bound on open connections ([Options.MaxConnections]), with eviction (listener.go). At the bound the
//     connection that is idle for the longest is closed for a new one, else one that was opened a while ago
//     and has sent nothing. A connection in the kernel's accept queue (the backlog) counts as accepted by its
//     client, so it must not wait for long.
//   - A lingering close (linger.go, as in nginx's lingering_close). To close a socket with unread input sends
//     a reset, which may destroy the last response before the client has read it. So the sending side is
//     closed first, and input is read and discarded for a short time.
//   - A watch for the client's disconnect that pipelined requests don't defeat (pipelining.go). net/http
//     watches by reading one byte while a handler runs; if that byte begins the next request, it stops
//     watching.
//   - A scan of message framing (framing.go) that detects requests with both Content-Length and
//     Transfer-Encoding, which net/http accepts and which request smuggling uses (RFC 9112, section 6.1).
//   - An idle timeout that may change while the server runs (idletimeout.go).
//
// # Races of a close with a request
//
// Each close of an idle connection races with the client's next request. A request that is read after this
// side has closed its connection could not be answered, and so is never handed to a handler
// (clientConn.recordRead): the client sees a close without a response, after which it may retry. A connection
// with unread input is not closed as idle.
//
// # Draining and shutdown
//
// While clients are to leave (service.State.ClosesAfterResponse) each response says Connection: close, idle
// connections are closed after a grace period, and new ones are still accepted. At shutdown the listener
// stops after a while. Closing it at once would reset the connections in its backlog, so that is drained
// first: they are accepted until none arrives any more.
//
// An upgraded process takes the listening socket over ([Server.File], [Options.Listener]); [Server.Pause]
// leaves the backlog to it.
//
// # Locks
//
// The listener's mutex guards the set of connections and each connection's state; a connection's own mutex
// guards what was read from it. The listener's is taken first.
package front
