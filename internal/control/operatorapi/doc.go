// Package operatorapi is the operator's HTTP API: the configuration, and the retirement of store machines.
//
//	PUT   /config        replaces the configuration; If-Match names the generation that it builds on
//	PATCH /config        changes the configuration, likewise
//	GET   /config        returns the configuration
//	POST  /retire/NODE   begins the retirement of a store machine
//	GET   /retire/NODE   returns its state
//
// # Guarantees
//
// A response describes acknowledged state only. A 200 is durable. A 400, 404, 409 or 412 follows from a state
// that was read through the chain, at or after the moment of the request, so it holds for all control
// processes. Where the chain can't be read the answer is 503 and the operator turns to another control
// process. 504 says that a change may have been accepted or not; to send it again is safe.
//
// # How a change is decided
//
// The body is read within the limits on memory (body.go). Changes are identified by a digest of If-Match,
// method and body: the same change sent again while it is being decided shares the decision (changegroup.go),
// and one that was accepted before is answered 200 again. Otherwise the acknowledged state is read, the
// change is evaluated against it, and is proposed to the chain if it would be accepted (decision.go). The
// state machine evaluates it once more where the chain has put it, and its outcome is the answer: this
// package doesn't decide what is valid.
//
// A change is decided also if its caller disconnects, since what was proposed can't be withdrawn.
package operatorapi
