// Package pool is a pool of HTTP/1.1 connections to servers: it dials, writes requests, reads responses, and
// keeps idle connections for further requests, within a bound on open connections. It corresponds to
// http.Transport, to Envoy's connection pool or to the transport of Caddy's reverse proxy, with these
// differences:
//
//   - It never chooses a server, never retries and never writes a byte of a request twice. A failed attempt
//     returns a core.End, which says whether the server can have executed the request; the caller decides on
//     a retry. (http.Transport resends idempotent requests by itself.)
//   - The caller names the servers: [Pool.Apply] and [Pool.Set] give the address and the state of each. A
//     server that drains or has departed gets no new request.
//   - There is no goroutine per connection. A connection belongs to one request at a time, and an idle one to
//     the pool. A response is read by the goroutine that asked for it, and at its pace.
//
// # Interfaces
//
// [Pool.Carry] performs an attempt of the daemon's transactions (a [core.Attempt] with a [Message]; package
// core): it writes the complete request, reads the response's head, and buffers the body or the beginning of
// it.
//
// [Pool.Send] writes a [Request] and returns an [Exchange], from which the caller itself reads the response
// as it arrives. Gateways use this one.
//
// # Reuse of connections
//
// HTTP/1.1 has an unavoidable race (RFC 9112, sections 9.3 and 9.6): a server may close an idle connection at
// the very time at which a request is written to it, and the client can't tell whether the request was
// executed. For a request that is not idempotent that is a failure. So the pool reuses a connection only if:
//
//   - The last request was written whole, its only response was read to its end, and nothing followed it.
//     Otherwise bytes of one exchange could be taken for those of another.
//   - It was idle for at most three quarters of the time after which the server closes it:
//     [Options.IdleTimeout], or the server's own Keep-Alive header if that is shorter. A connection that was
//     taken and not used keeps its idle time.
//   - Connections that were idle for about as long have not been failing lately ([Options.StaleWindow],
//     staleness.go): a middlebox or a server may drop them earlier than configured.
//   - Neither an end nor a byte has arrived on it, which is tested without reading, right before the first
//     byte of the request is written ([Peeker]).
//
// What remains is the race with a close that is in transit. The caller then gets core.EndStale (Carry), or
// the error of a reset (Exchange).
//
// # Right before the first byte
//
// While a connection is dialled the server may start to drain or move, the client may leave, and the time for
// retries may run out. Pool.recheck therefore tests all of it again once there is a connection, right before
// the first byte. A connection that came too late goes to the idle ones, unless its server takes nothing new.
//
// # Limits
//
// [Options.MaxConnections] bounds the open connections, dials included, as each takes a file descriptor. At
// the bound the connection that is idle for the longest is closed for a new one; if none is idle, the attempt
// fails at once with core.EndNoDescriptor. What responses may hold in memory is bounded by
// [Options.ResponseMemory], and each head and body has a maximum size, since a server may claim or send any
// amount.
package pool
