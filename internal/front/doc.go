// Package front is the HTTP server for clients: the one of net/http, with additions for a gateway. It doesn't
// interpret requests. Whether clients are accepted is decided by package service.
//
// # Connections
//
// net/http handles requests; this package wraps its listener and its connections to add:
//
//   - A limit on open connections ([Options.MaxConnections]), with eviction (listener.go). At the limit, the
//     connection that has been idle for the longest is closed to make room for a new one, or, if none is idle,
//     the oldest one that has sent nothing for some time. To its client, a connection in the kernel's accept
//     queue (the backlog) is already accepted, so it must not wait there for long.
//   - A lingering close (linger.go, as in nginx's lingering_close). Closing a socket with unread input sends a
//     reset, which may discard the last response before the client has read it. So the sending side is closed
//     first, and input is read and discarded for a short time.
//   - Detection of the client's disconnect in spite of pipelined requests (pipelining.go). net/http detects it
//     by reading one byte while a handler runs; if that byte begins the next request, it stops watching.
//   - A scan of message framing (framing.go) that detects requests with both Content-Length and
//     Transfer-Encoding, which net/http accepts and request smuggling uses (RFC 9112, section 6.1).
//   - An idle timeout that may change while the server runs (idletimeout.go).
//
// # Races of a close with a request
//
// Closing an idle connection races with the client's next request. A request that is read after this side has
// closed the connection can't be answered, so it is not passed to a handler (clientConn.recordRead): the client
// sees a close without a response, after which it may retry. A connection with unread input is not closed as
// idle.
//
// # Draining and shutdown
//
// While clients have to leave (service.State.ClosesAfterResponse), responses have the header Connection: close,
// idle connections are closed after a grace period, and new ones are still accepted. At shutdown the listener
// stops after the accept period. Closing the socket at once would reset the connections in its backlog, so the
// backlog is drained first: connections are accepted until no more arrive.
//
// At an upgrade the new process takes over the listening socket ([Server.File], [Options.Listener]);
// [Server.Pause] leaves the backlog to the new process.
//
// # Locks
//
// The listener's mutex guards the set of connections and the state of each connection. A connection's own mutex
// guards what was read from it. The listener's mutex is locked first.
package front
