// Package ring places keys and machines by hashing, the same on every machine that knows the same names.
//
// A Ring is an immutable set of names. It answers two kinds of question:
//
//   - Which machines own a key? Owner and Owners order the names by rendezvous hashing (highest random weight): each
//     name has a score for each key. A name that joins or leaves moves only the keys that it owns, and the names
//     after the owner are where a key goes next. OwnersWithin leaves out names, those that are full for instance,
//     which bounds the load.
//   - Who is next to whom? Each name has a position, by its hash, on a circle. Successors and Predecessors walk it.
//     Where each machine sends heartbeats to its k successors, each is watched by k machines spread over all zones,
//     and watches k itself, whatever the number of machines.
//
// Names are hashed with xxHash64. Owners costs time in proportion to the number of names, without allocation beyond
// its result; keep the answer where it is asked for often.
package ring

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// node is a name with its hash, which is also its position.
type node struct {
	name string
	hash uint64
}

// compareNodes orders nodes by position, and by name where positions are equal.
func compareByPosition(one, other node) int {
	return cmp.Or(cmp.Compare(one.hash, other.hash), cmp.Compare(one.name, other.name))
}

// Ring is an immutable set of names. The zero value is empty.
type Ring struct {
	nodes []node // in order of their positions
}

// New returns the ring of some names. Repeated names count once.
func New(names ...string) *Ring {
	nodes := make([]node, 0, len(names))
	for _, name := range names {
		nodes = append(nodes, makeNode(name))
	}
	slices.SortFunc(nodes, compareByPosition)
	return &Ring{nodes: slices.Compact(nodes)}
}

// makeNode returns the node of a name.
func makeNode(name string) node {
	return node{name: name, hash: xxhash.Sum64String(name)}
}

// Len returns the number of names.
func (r *Ring) Len() int {
	return len(r.nodes)
}

// Names returns all names in the order of their positions.
func (r *Ring) Names() []string {
	names := make([]string, 0, len(r.nodes))
	for _, member := range r.nodes {
		names = append(names, member.name)
	}
	return names
}

// Contains tells whether a name is in the ring.
func (r *Ring) Contains(name string) bool {
	_, found := r.search(name)
	return found
}

// With returns the ring with another name.
func (r *Ring) With(name string) *Ring {
	place, found := r.search(name)
	if found {
		return r
	}
	return &Ring{nodes: slices.Insert(slices.Clone(r.nodes), place, makeNode(name))}
}

// Without returns the ring without a name.
func (r *Ring) Without(name string) *Ring {
	place, found := r.search(name)
	if !found {
		return r
	}
	return &Ring{nodes: slices.Delete(slices.Clone(r.nodes), place, place+1)}
}

// find returns where a name is, or where it would be.
func (r *Ring) search(name string) (int, bool) {
	return slices.BinarySearchFunc(r.nodes, makeNode(name), compareByPosition)
}

// Successors returns up to count other names that follow a name on the circle, the next first. The name itself need
// not be in the ring.
func (r *Ring) Successors(name string, count int) []string {
	place, found := r.search(name)
	if found {
		place++
	}
	others := r.otherCount(found)
	names := make([]string, 0, min(count, others))
	for i := range min(count, others) {
		names = append(names, r.nodes[(place+i)%len(r.nodes)].name)
	}
	return names
}

// Predecessors returns up to count other names that precede a name on the circle, the nearest first. The name itself
// need not be in the ring.
func (r *Ring) Predecessors(name string, count int) []string {
	place, found := r.search(name)
	others := r.otherCount(found)
	names := make([]string, 0, min(count, others))
	for i := range min(count, others) {
		names = append(names, r.nodes[(place-1-i+2*len(r.nodes))%len(r.nodes)].name)
	}
	return names
}

// others returns how many names there are besides one that is or isn't in the ring.
func (r *Ring) otherCount(found bool) int {
	if found {
		return len(r.nodes) - 1
	}
	return len(r.nodes)
}

// Owner returns the name with the highest score for a key, or an empty string if there are no names.
func (r *Ring) Owner(key string) string {
	hash := xxhash.Sum64String(key)
	var best node
	var bestScore uint64
	for i, member := range r.nodes {
		score := mix64(member.hash ^ hash)
		if i == 0 || score > bestScore || score == bestScore && member.name > best.name {
			best, bestScore = member, score
		}
	}
	return best.name
}

// Owners returns up to count names in the order of their scores for a key, the owner first.
func (r *Ring) Owners(key string, count int) []string {
	return r.OwnersFunc(key, count, nil)
}

// OwnersWithin is Owners without the names for which accept returns false.
func (r *Ring) OwnersFunc(key string, count int, accept func(name string) bool) []string {
	hash := xxhash.Sum64String(key)
	best := make([]scoredName, 0, min(count, len(r.nodes)))
	for _, member := range r.nodes {
		if accept != nil && !accept(member.name) {
			continue
		}
		best = insertBest(best, scoredName{name: member.name, score: mix64(member.hash ^ hash)}, count)
	}
	names := make([]string, 0, len(best))
	for _, candidate := range best {
		names = append(names, candidate.name)
	}
	return names
}

// scored is a name with its score for a key.
type scoredName struct {
	name  string
	score uint64
}

// compareScored orders the highest scores first.
func compareScores(one, other scoredName) int {
	return cmp.Or(cmp.Compare(other.score, one.score), cmp.Compare(other.name, one.name))
}

// insert adds a candidate to the count best ones, which are in order.
func insertBest(best []scoredName, candidate scoredName, count int) []scoredName {
	if count <= 0 {
		return best
	}
	place, _ := slices.BinarySearchFunc(best, candidate, compareScores)
	if place >= count {
		return best
	}
	if len(best) == count {
		best = best[:count-1]
	}
	return slices.Insert(best, place, candidate)
}

// mix spreads a hash over all bits (the finalizer of SplitMix64).
func mix64(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}
