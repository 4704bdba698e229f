// Package inflight lets the gateways of a large fleet balance by least outstanding requests (least loaded), although
// each gateway sees only its own small part of the requests in flight.
//
// Gateways and pool members are placed on a ring: gateways by their number, members by a hash of their name. Each
// gateway prefers the subset of members near its position, as in deterministic aperture (Finagle) and deterministic
// subsetting (Site Reliability Engineering, chapter 20), so that a member is preferred only by gateways that are
// neighbors on the ring. Neighbors report to each other, in datagrams, how many requests they have in flight at each
// member, and how many failed. With these reports a gateway knows most of the load of a member in its subset, where one
// of 80 gateways alone would know an 80th of it.
//
// In contrast to plain subsetting, a gateway may use every member. Members outside its subset, whose load it doesn't
// know, are assumed to be busier than the mean of the subset by a penalty.
//
// Tracker makes the estimates. It does no I/O and reads no clock. Exchange connects it with the gateway and the
// network. The package never makes a member usable or unusable; it only estimates how busy each member is.
package inflight
