// Package link exchanges knowledge on pool members between gateways over gRPC, in the helper process of each gateway
// (cmd/sprucelane-link). A gateway calls Watch at each of its peers, and receives a snapshot of the peer's table,
// and then its changes, as long as the call lasts. Package knowledge merges the facts; this package never judges
// one.
//
// What a peer can cost is bounded: the size of a message, the facts in it, the calls at once, and the time that a
// call may hang. A call that ends is repeated with exponential backoff and jitter.
package link
