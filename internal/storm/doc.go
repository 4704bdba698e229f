// Package storm protects a gateway, and the pool members behind it, from the retry storm that follows an outage. The
// retries of an outage are a multiple of the members' capacity. If all are admitted, each is served too late, which
// causes more retries, and the system stays down after the cause of the outage is gone: a metastable failure (Bronson
// et al., HotOS 2021; Huang et al., OSDI 2022). A Guard detects outages and storms, limits admission while the members
// recover, prefers the most valuable requests, and spreads the returns of rejected clients over time by their
// Retry-After.
//
// # Phases
//
// In Calm the guard admits everything and learns the baseline: the usual rates of arrivals, served attempts and new
// connections. In an Outage almost no attempt is served; the guard admits a small part of the baseline, to detect the
// end of the outage. In Recovery members answer again, but more requests arrive than they can serve. The guard then
// admits at a rate, the ramp, that starts at what the members can serve by their warmth, rises while the admitted
// requests succeed, and falls when too many fail. The thresholds are the constants in phase.go and ramp.go.
//
// # Admission
//
// Admission is a token bucket at the ramp's rate. Each arrival has to leave a reserve in it, which is larger for
// retries, for cheap requests and for idempotent ones, so that first attempts pass before retries and valuable
// requests before cheap ones. Retries also need a token of a retry budget (as in Finagle and Envoy), which is a
// fixed ratio of the first attempts of all gateways, unless there is capacity to spare.
//
// A retry is recognized by the client's mark if clients of that account mark retries at all. Otherwise an arrival is
// taken for a retry if work of the same account, class and units has failed recently, here or at a peer.
//
// # Retry-After
//
// A rejected client is told to return at a time slot that has room. Each gateway counts the returns that it has
// scheduled for each slot, and knows those of its peers, so that clients which honor Retry-After return at a rate
// that the ramp will admit by then.
//
// # Peers
//
// Outside of Calm, guards exchange messages of 90 bytes at each tick: phase, counts, scheduled returns, and a Bloom
// filter of the work that failed.
//
// The package is pure: it does no I/O and reads no clock; times are arguments. It doesn't choose members, enforce
// quotas or delay answers: an arrival is admitted or rejected at once.
package storm
