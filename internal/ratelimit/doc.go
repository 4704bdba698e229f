// Package ratelimit divides rate limits that hold for all gateways together among the single gateways, which admit
// requests without asking each other. It is pure: it does no I/O and reads no clock; times are arguments.
//
// It has four kinds of limit:
//
//   - BucketShare: a hard rate limit. Each gateway has a token bucket with its share of rate and burst, and gives
//     tokens that it doesn't need to the others. The shares together never exceed the limit.
//   - QuotaView: a quota below the hard limit, kept on average. Gateways that know each other's draws use one bucket
//     together; else each has a share in proportion to its demand. Beyond the burst, requests pass with a probability.
//   - SlotAvailable: a limit of requests in flight.
//   - SlowStartBudget: what a server that has just started may be sent by all gateways.
//
// The invariant of the hard limits: the shares of all gateways together never exceed the whole, whatever messages are
// lost or late, and whichever gateways restart, but for what BucketShare states about grants under way.
package ratelimit
