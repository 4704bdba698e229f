// Package knowledge merges what the gateways report to each other about pool members, and derives priors for members
// that the gateway itself has not seen answer: which are probably slow, how many attempts they can hold, which are
// suspected to be stuck. It helps a gateway that has just started, or that sends a member few attempts.
//
// # Facts
//
// A Fact is one gateway's observation of one incarnation of one member. A Table holds the latest fact of each member
// and observer, by the observer's incarnation and sequence number. Hence the merge is commutative, associative and
// idempotent, a join-semilattice (Shapiro et al., "Conflict-Free Replicated Data Types", 2011): in whatever order,
// however often and over however many hops facts are received, the tables of all gateways converge. Facts on members
// that are not listed here, or that are listed in another incarnation, are dropped.
//
// # Priors
//
// Each fact is weighted by its age with a half-life, by how well its observer is connected to service discovery, and
// by whether the observer receives any answers at all. An observer that finds most members unhealthy is assumed
// to be faulty itself. The gateway's own evidence overrules all that its peers report, and at most a fraction of
// the members is suspected, so that the others can carry the load.
//
// The package is pure: it does no I/O and reads no clock; times are arguments. Clocks of different gateways are
// never compared: facts carry ages. It neither lists nor excludes members and raises no limits; it only
// returns priors, which package policy weighs.
//
// Package link exchanges facts over gRPC, in a helper process that package helper runs; package pipe has the
// messages between the gateway and that process. Package datagram exchanges them in small datagrams. The names Life,
// Pace, Room, Cold, Deaf and Blind are fixed by the gob encoding of package pipe.
package knowledge
