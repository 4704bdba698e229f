// Package admission decides which live requests a gateway sheds while the servers are overloaded. Each
// gateway decides for itself, from its own counts.
//
// # Mechanism
//
// The mechanism is RUDA ("Towards a degradation-based mechanism for adaptive overload control"; its score is
// package ruda). Requests are grouped by route. At the end of each interval every group gets a score: its
// share of the attempts' latency, set against its share of the requests and its priority. The group with the
// highest score takes most of the servers' time in proportion to its priority.
//
// A route is overloaded when the 90th percentile of its attempts' latency misses the route's target while its
// servers are known to be loaded. While one is, each interval sheds a step more: of the group with the
// highest score first, of the next in the following interval. After a few calm intervals the steps are taken
// back, one each interval, the last one first.
//
// Nothing is shed while little of the servers' capacity is in use, or while that isn't known: late responses
// of idle servers have other causes, and shedding can't help them.
//
// # What a step sheds
//
// A step sheds a share of a group's requests, of the least urgent tenants first:
//
//   - at most maxShed of any group and tenant priority: none is shut out;
//   - never a larger share of more urgent requests than of less urgent ones at the same servers. The tenant's
//     priority counts before the route's;
//   - the same share of requests of each size.
//
// Clients that were rejected before, and come back, are favored while the shares are small.
//
// # Use
//
// The package does no input or output and reads no clock: the time is an argument, from a steady clock.
// Quotas of tenants are package quotaclient's. All methods may be called from several goroutines.
package admission
