// Package operatorapi implements the operator's HTTP API for the configuration and the retirement of store machines.
//
//	PUT   /config        replaces the configuration; If-Match is the generation that the change builds on
//	PATCH /config        changes parts of the configuration; If-Match as with PUT
//	GET   /config        returns the configuration
//	POST  /retire/NODE   begins the retirement of a store machine
//	GET   /retire/NODE   returns its state
//
// # Guarantees
//
// A response describes acknowledged state only. A change answered with 200 is durable. A 400, 404, 409 or 412 is
// based on state that was read through the chain at or after the time of the request, so it holds for all control
// processes. If the chain can't be read the response is 503, and the operator should ask another control process.
// A 504 means that the change may or may not have been accepted; sending it again is safe.
//
// # How a change is decided
//
// The body is read within the memory limits (body.go). Changes are identified by a digest of If-Match, method and
// body. If a change is sent again while it is being decided, the requests share the decision (changegroup.go). A
// change that was accepted before is answered with 200 again. Otherwise the acknowledged state is read, the change
// is evaluated against it, and it is proposed to the chain if it would be accepted (decision.go). The state machine
// evaluates the change again at its position in the chain's log, and its outcome determines the response: this
// package doesn't decide what is valid.
//
// A change is decided even if its caller disconnects, because a proposed command can't be withdrawn.
package operatorapi
