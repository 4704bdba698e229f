// Package discovery brings server lists from their source to the gateway: from the platform's agent by long polls, or
// from a Consul agent by blocking queries. It neither judges the health of servers nor holds changes back; that is the
// policy's.
//
// # Parts
//
// [Watch] and [WatchConsul] follow a source (watch.go, consul.go). Both pass lists to a [Membership], which gives
// every instance a number, its server ID, and passes each list on twice: to the pool, then to the policy, so that the
// policy never chooses a server whose address the pool doesn't know. A [Backoff] spaces the calls of a source that
// failed.
//
// # Invariants
//
//   - An instance keeps its server ID for as long as it is listed. An ID is never used again, so what keeps one
//     after its instance has left the list refers to no other.
//   - Lists and changes are applied in the order in which the source sent them; after a gap, the whole list is.
//   - A change is known updateDeadline after the source could have sent it, although any one call fails in any way.
package discovery
