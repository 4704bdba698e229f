// Package serverclient sends items of batch jobs to model servers over HTTP/1.1 and reads the streams of
// events that come back. It is an HTTP client of its own, and not net/http's, because it must hold what
// that doesn't offer:
//
//   - The gate. Request.Gate is called when the connection is there, right before the first byte is
//     written. If it says no nothing is written. So the consent that it checks can't expire while a
//     connection is being dialed.
//   - No retries. An item that may have reached a server is sent again only by the caller, who knows what
//     has been received.
//   - Response and request belong together. A response must carry the request's id, only whole events in
//     order of their ids count, and a response is complete only if its framing and its last event are.
//     Whatever doesn't fit makes the outcome Interrupted, and the connection is closed: servers and what
//     lies between them and this process may be faulty.
//   - Early responses. A server may answer before it has read the whole body; that answer is read, although
//     the rest of the request isn't sent.
//
// # Connections
//
// Connections are kept idle for reuse per server instance. One is reused only if its last response was
// complete, nothing was received on it since, and the item didn't go over it before without a final answer:
// an answer that comes late would carry the same id as the next one.
package serverclient
