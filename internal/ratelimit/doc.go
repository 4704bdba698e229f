// Package ratelimit divides rate limits that hold for all gateways together among the single gateways, which admit
// requests without asking each other. It is pure: it does no I/O and reads no clock; times are arguments.
//
// It has four kinds of limit:
//
//   - BucketShare: a hard rate limit. Each gateway has a token bucket with its share of rate and burst, and grants
//     tokens that it doesn't need to the others. The shares together never exceed the limit.
//   - QuotaView: a quota below the hard limit, which is kept on average. Gateways that know each other's draws use one
//     bucket together; otherwise each has a share in proportion to its demand. Beyond the burst, requests are admitted
//     with a probability.
//   - SlotAvailable: a limit on the requests in flight.
//   - SlowStartBudget: a limit on the attempts that all gateways send to a server that has just started.
//
// The invariant of the hard limits: the shares of all gateways together never exceed the limit, whichever messages are
// lost or late, and whichever gateways restart, except for the excess by grants in transit that BucketShare describes.
package ratelimit
