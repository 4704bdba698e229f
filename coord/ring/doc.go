// Package ring places keys and machines by hashing, the same on every machine that knows the same names.
//
// A Ring is an immutable set of names. It answers two kinds of question:
//
//   - Which machines own a key? Owner and Owners order the names by rendezvous hashing, also called highest
//     random weight (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998): each
//     name has a score for each key. A name that joins or leaves moves only the keys that it owns, and the
//     names after the owner are where a key goes next. OwnersFunc leaves out names, for instance those that
//     are full, which bounds the load.
//   - Which machines are adjacent? Each name has a position on a circle by its hash, as in consistent hashing
//     (Karger et al., "Consistent Hashing and Random Trees", 1997). Successors and Predecessors walk the
//     circle. If each machine sends heartbeats to its k successors, each is watched by k machines that are
//     spread at random over all zones, and watches k itself, whatever the number of machines.
//
// Keys are not placed by the circle: rendezvous hashing spreads them evenly without virtual nodes. Its cost
// is time in proportion to the number of names for each key, which is small for hundreds of names; keep the
// answer where it is asked for often.
//
// Names are hashed with xxHash64. Which machine owns a key, and the positions, are an agreement between the
// machines of a system, and must not change between versions.
package ring
