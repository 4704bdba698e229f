// Package ring assigns keys and positions to machines by hashing. All machines that know the same names compute
// the same assignment.
//
// A Ring is an immutable set of names. It determines two relations:
//
//   - The owners of a key. Owner and Owners order the names by rendezvous hashing, also called highest random
//     weight (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998): each name has a
//     score for each key. A name that joins or leaves moves only the keys that it owns. If the owner of a key
//     leaves, the key moves to the next name in the order. OwnersFunc excludes names, for instance machines
//     that are full, which bounds the load.
//   - The neighbours of a machine. Each name has a position on a circle by its hash, as in consistent hashing
//     (Karger et al., "Consistent Hashing and Random Trees", 1997). Successors and Predecessors follow the
//     circle. If each machine sends heartbeats to its k successors, each machine is monitored by k machines
//     that are spread at random over all zones, and monitors k machines itself, whatever the number of
//     machines.
//
// Keys are not assigned by the circle, because rendezvous hashing spreads them evenly without virtual nodes.
// Its cost for each key is time in proportion to the number of names, which is small for hundreds of names.
// Callers that often need the owner of the same key should cache it.
//
// Names are hashed with xxHash64. All machines of a system must agree on the owners of keys and on the
// positions, so the hashing must not change between versions.
package ring
