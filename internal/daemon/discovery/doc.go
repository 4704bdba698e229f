// Package discovery fetches server lists from their source: from the platform's agent by long polls, or from a Consul
// agent by blocking queries. It neither judges the health of servers nor delays changes; the policy does that.
//
// # Parts
//
// [Watch] and [WatchConsul] follow a source (watch.go, consul.go). Both pass lists to a [Membership], which assigns a
// number, the server ID, to every instance. It passes each list first to the pool and then to the policy, so that the
// policy never selects a server whose address the pool doesn't know. A [Backoff] computes the pauses after failed calls
// of a source.
//
// # Invariants
//
//   - An instance keeps its server ID as long as it is listed. IDs are never reused, so an ID that is still held
//     after its instance has left the list refers to no other instance.
//   - Lists and changes are applied in the order in which the source sent them; after a gap the whole list is applied.
//   - A change is known at most updateDeadline after the source could have sent it, even if any one call fails in any
//     way.
package discovery
