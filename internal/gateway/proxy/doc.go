// Package proxy is the life of a client's request in the gateway, from its head to the last byte of its
// response.
//
// # Steps
//
// A request passes through these steps; each has its file:
//
//  1. proxy.go has the steps' order (ServeHTTP). request.go checks the request's framing; routing.go finds the
//     route in the configuration in force, authentication.go finds the tenant by its API key and checks the
//     key lease.
//  2. request.go checks the head against the configuration's limits and computes the deadline; body.go reads
//     the body into memory, because it may be sent to more than one server.
//  3. admission.go has the request admitted or rejected, by its tenant's quota and by the load of the
//     servers.
//  4. selection.go reserves a place at a server that the request wasn't sent to yet (package
//     serverselection).
//  5. attempt.go sends the request to it and validation.go decides whether what comes back is the server's
//     response to this request. Package retry decides whether another attempt may follow.
//  6. buffered.go forwards a complete response, stream.go an event stream as it arrives. A stream that breaks
//     off is resumed at another server after its last event, where the route allows it (resumption.go).
//  7. gateway_responses.go writes the gateway's own responses, and outcome.go counts how the request ended.
//
// Calls for batch jobs leave this path after step 2: batch.go hands them to a batch process.
//
// # Invariants
//
//   - A client receives either one server's complete response (or, on resumable routes, one stream of
//     consecutive events from several servers), or the gateway's own error. A response that breaks off midway
//     never looks complete: the connection is aborted.
//   - 503 promises that no server has run the request and none will. A request that may have run, without a
//     response, ends with 502 or 504 (package retry).
//   - Right before the first byte goes to a server, the client must still be connected, the key lease valid
//     and the admission recent; see request.maySend.
//   - A request reaches no server twice, and at most the route's max-attempts servers may run it; at most one
//     if the route isn't idempotent.
//
// The transactions of internal/core, on which the daemon runs, aren't used here, nor is package policy's
// choice of retries: a transaction has one response, from one server, and its servers differ in load alone.
// Here a stream may continue at another server, and servers also differ in what their prefix caches hold.
package proxy
