// Package storm protects a gateway, and the pool members behind it, from the retry storm that follows an outage. The
// retries of an outage are a multiple of what the members can do; if all are let in, each is served too late, which
// causes more retries, and the system stays down though the cause has gone: a metastable failure (Bronson et al.,
// HotOS 2021; Huang et al., OSDI 2022). A Guard detects outages and storms, limits admission while the members come
// back, prefers the requests that are worth most, and spreads the returns of rejected clients over time by their
// Retry-After.
//
// # Phases
//
// In Calm the guard admits everything and learns the baseline: the usual rates of arrivals, served attempts and new
// connections. In an Outage next to nothing is served; the guard admits a small part of the baseline, to see its
// end. In Recovery members answer again, and more arrives than they can do; the guard admits at a rate, the ramp,
// that starts at what the members can do by their warmth, rises while what is admitted succeeds, and falls when too
// much fails. The thresholds are at the constants in phase.go.
//
// # Admission
//
// Admission is a token bucket at the ramp's rate. Each arrival has to leave a reserve in it, which is larger for
// retries, for cheap requests and for idempotent ones, so that first attempts pass before retries and valuable
// requests before cheap ones. Retries also need a token of a retry budget (as in Finagle and Envoy), which is a
// fixed ratio of the first attempts of all gateways, unless there is capacity to spare.
//
// A retry is recognized by the client's mark, if clients of that account mark retries at all, else by account, class
// and units of the work that failed a moment ago, here or at a peer.
//
// # Retry-After
//
// A rejected client is told to return at a time slot that has room. Each gateway counts the returns that it has
// scheduled for each slot, and knows those of its peers, so that clients which honor Retry-After return at a rate
// that the ramp will admit by then.
//
// # Peers
//
// While not in Calm, guards exchange messages of about ninety bytes at each tick: phase, counts, scheduled returns,
// and a Bloom filter of the work that failed.
//
// The package is pure: it does no I/O and reads no clock; times are arguments. It chooses no member, judges no quota
// and delays no answer: an arrival is admitted or rejected at once.
package storm
