// Package admission decides which live requests a gateway sheds while the servers are overloaded. Each
// gateway decides independently, from its own counts.
//
// # Mechanism
//
// The mechanism is RUDA ("Towards a degradation-based mechanism for adaptive overload control"; its score is
// computed by package ruda). Requests are grouped by route. At the end of each interval every group gets a
// score: its share of the attempts' latency, divided by its share of the requests and by its priority. The
// group with the highest score uses the most of the servers' time in proportion to its priority.
//
// A route is overloaded when the 90th percentile of its attempts' latency exceeds the route's latency target
// while its servers are known to be loaded. While a route is overloaded, each interval ends with one more
// shedding step: first for the group with the highest score, in the following interval for the group with the
// next highest one. After a few intervals without overload the steps are reverted, one per interval, the
// latest first.
//
// Nothing is shed while the utilization of the servers is low or unknown: late responses from idle servers
// have other causes, and shedding doesn't make them faster.
//
// # What a step sheds
//
// A step sheds a share of a group's requests, those of the least urgent tenants first. It sheds
//
//   - at most maxShed of any group and tenant priority, so that none is rejected completely;
//   - never a larger share of more urgent requests than of less urgent ones at the same servers, where the
//     tenant's priority takes precedence over the route's;
//   - the same share of requests of each size.
//
// Clients that retry after a rejection are favored while the shares are small.
//
// # Use
//
// The package does no input or output and reads no clock: callers pass the time of a monotonic clock. Tenant
// quotas are applied by package quotaclient. All methods are safe for concurrent use.
package admission
