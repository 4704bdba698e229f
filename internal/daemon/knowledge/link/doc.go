// Package link exchanges knowledge on pool members between gateways over gRPC, in the helper process of each gateway
// (cmd/sprucelane-link). A gateway calls Watch at each of its peers, and receives a snapshot of the peer's table,
// and then its changes, as long as the call lasts. Package knowledge merges the facts; this package only
// transports them.
//
// The cost of a peer is bounded by limits on the size of a message, the facts in it, the concurrent calls, and the time
// that a call may hang. A call that ends is repeated with exponential backoff and jitter.
package link
