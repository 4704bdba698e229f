// Package serverclient sends items of batch jobs to model servers over HTTP/1.1 and reads the streams of
// events that they return. It has its own HTTP client instead of net/http's, because it must guarantee the
// following, which net/http doesn't:
//
//   - The gate. Request.Gate is called once there is a connection, right before the first byte is written. If
//     it returns false nothing is written. So the permission that it checks can't expire while a connection is
//     being dialed.
//   - No retries. An item that may have reached a server is sent again only by the caller, who knows what
//     has been received.
//   - Responses match requests. A response must carry the request's id, only complete events in order of their
//     ids count, and a response is complete only if its framing and its last event are. Anything that violates
//     this makes the outcome Interrupted, and the connection is closed: servers, and anything between them and
//     this process, may be faulty.
//   - Early responses. A server may answer before it has read the whole body; that answer is read, although
//     the rest of the request isn't sent.
//
// # Connections
//
// Idle connections are kept for reuse per server instance. A connection is reused for an item only if its last
// response was complete, nothing was received on it since, and the item wasn't sent over it before without a
// final answer: a late answer to that earlier request would carry the same id as the next answer.
package serverclient
