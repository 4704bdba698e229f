// Package pool is a pool of HTTP/1.1 connections to servers: it dials, writes requests, reads responses, and
// keeps idle connections for further requests, within a limit on open connections. It is comparable
// to http.Transport, Envoy's connection pool or the transport of Caddy's reverse proxy, with these
// differences:
//
//   - It never chooses a server, never retries and never writes a byte of a request twice. A failed attempt
//     returns a core.End, which says whether the server may have executed the request; the caller decides
//     whether to retry. (http.Transport resends idempotent requests by itself.)
//   - The caller names the servers: [Pool.Apply] and [Pool.Set] give the address and the state of each. A
//     server that drains or has departed gets no new requests.
//   - There is no goroutine per connection. A connection in use belongs to one request, and an idle one to the
//     pool. A response is read by the goroutine that sent the request, at the speed of that goroutine.
//
// # Interfaces
//
// [Pool.Carry] performs one attempt of a request of the daemon (a [core.Attempt] with a [Message]; see package
// core): it writes the complete request, reads the head of the response, and buffers all or the beginning of
// the body.
//
// [Pool.Send] writes a [Request] and returns an [Exchange], from which the caller reads the response as it
// arrives. Gateways use Send.
//
// # Reuse of connections
//
// HTTP/1.1 has an unavoidable race (RFC 9112, sections 9.3 and 9.6): a server may close an idle connection
// while a request is being written to it, and the client can't tell whether the request was executed. A
// request that is not idempotent then fails. So the pool reuses a connection only if:
//
//   - The last request was written completely, its only response was read to the end, and no bytes followed.
//     Otherwise bytes of one exchange could be taken for those of another.
//   - It was idle for at most three quarters of the time after which the server closes it:
//     [Options.IdleTimeout], or the server's own Keep-Alive header if that is shorter. A connection
//     that was acquired and released without a request keeps its idle time.
//   - Connections that were idle for about as long have not been failing recently ([Options.StaleWindow],
//     staleness.go): a middlebox or a server may drop them earlier than configured.
//   - No unread byte, close or reset has arrived on it. This is tested without reading, right before the first
//     byte of the request is written ([Peeker]).
//
// The race with a close that is in transit remains. The caller then gets core.EndStale (Carry), or the error
// of the reset (Exchange).
//
// # Checks before the first byte
//
// While a connection is being dialled, the server may start to drain or change its address, the client may
// leave, and the time for retries may run out. Pool.recheck therefore tests all of this again when the
// connection is established, right before the first byte is written. A connection that is no longer needed is
// kept as idle, unless its server accepts no new requests.
//
// # Limits
//
// [Options.MaxConnections] limits the open connections, including those being dialled, as each takes a file
// descriptor. At the limit, the connection that has been idle for the longest is closed to make room for a new
// one; if none is idle, the attempt fails at once with core.EndNoDescriptor. [Options.ResponseMemory] limits
// the memory for buffered responses, and each head and body has a maximum size, since a server may announce or
// send any amount.
package pool
