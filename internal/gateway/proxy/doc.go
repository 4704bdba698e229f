// Package proxy serves clients' requests in the gateway, from the head of a request to the last byte of its
// response.
//
// # Steps
//
// A request passes through the following steps:
//
//  1. proxy.go runs the steps in order (ServeHTTP). request.go checks the request's framing; routing.go finds
//     the route in the configuration in force, authentication.go finds the tenant by its API key and checks
//     the key lease.
//  2. request.go checks the head against the configuration's limits and computes the deadline; body.go reads
//     the body into memory, because it may be sent to more than one server.
//  3. Admission (admission.go) admits or rejects the request, by its tenant's quota and by the load of the
//     servers.
//  4. selection.go selects a server that the request hasn't been sent to, and reserves capacity there
//     (package serverselection).
//  5. attempt.go sends the request to that server, and validation.go checks that the response belongs to this
//     request and comes from the server itself. Package retry decides whether another attempt may follow.
//  6. buffered.go forwards a complete response, stream.go an event stream as it arrives. A truncated stream is
//     resumed at another server after its last event if the route allows it (resumption.go).
//  7. gateway_responses.go writes the responses that the gateway generates itself, and outcome.go counts the
//     outcomes of requests.
//
// Calls for batch jobs end after step 2 with batch.go, which forwards them to a batch process.
//
// # Invariants
//
//   - A client receives either one server's complete response (or, on resumable routes, one stream of
//     consecutive events from several servers), or an error that the gateway generates. A truncated response
//     never looks complete to the client: its connection is aborted.
//   - Status 503 promises that no server has run the request and none will. A request that may have run and
//     has no response ends with 502 or 504 (package retry).
//   - Immediately before the first byte is sent to a server, the client must still be connected, the key lease
//     must be valid and the admission recent; see request.maySend.
//   - A request is sent to each server at most once, and at most the route's max-attempts servers may run it;
//     at most one if the route isn't idempotent.
//
// This package uses neither the transactions of internal/core, on which the daemon is built, nor the retry
// decisions of package policy. A transaction has one response, from one server, and its servers differ only in
// load. In the gateway a stream may continue at another server, and servers also differ in the contents of
// their prefix caches.
package proxy
