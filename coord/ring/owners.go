package ring

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the name with the highest score for a key, or an empty string if the ring is empty. It is the first
// name that Owners returns, but Owner doesn't allocate.
func (r *Ring) Owner(key string) string {
	hash := xxhash.Sum64String(key)
	var best node
	var bestScore uint64
	for i, node := range r.nodes {
		score := mix64(node.hash ^ hash)
		if i == 0 || score > bestScore || score == bestScore && node.name > best.name {
			best, bestScore = node, score
		}
	}
	return best.name
}

// Owners returns up to count names in descending order of their scores for a key, the owner first.
func (r *Ring) Owners(key string, count int) []string {
	return r.OwnersFunc(key, count, nil)
}

// OwnersFunc is like Owners, but leaves out the names for which accept returns false. A nil accept accepts all
// names.
func (r *Ring) OwnersFunc(key string, count int, accept func(name string) bool) []string {
	hash := xxhash.Sum64String(key)
	best := make([]scoredName, 0, min(count, len(r.nodes)))
	for _, node := range r.nodes {
		if accept != nil && !accept(node.name) {
			continue
		}
		best = insertBest(best, scoredName{name: node.name, score: mix64(node.hash ^ hash)}, count)
	}
	names := make([]string, 0, len(best))
	for _, candidate := range best {
		names = append(names, candidate.name)
	}
	return names
}

// scoredName is a name with its score for a key.
type scoredName struct {
	name  string
	score uint64
}

// compareScores orders by descending score, and by descending name where scores are equal.
func compareScores(a, b scoredName) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(b.name, a.name))
}

// insertBest inserts a candidate into best, which is sorted by compareScores, and keeps at most the first count
// names.
func insertBest(best []scoredName, candidate scoredName, count int) []scoredName {
	if count <= 0 {
		return best
	}
	index, _ := slices.BinarySearchFunc(best, candidate, compareScores)
	if index >= count {
		return best
	}
	if len(best) == count {
		best = best[:count-1]
	}
	return slices.Insert(best, index, candidate)
}

// mix64 spreads a hash over all bits, so that the scores of a name for different keys are independent. It is
// the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators",
// 2014).
func mix64(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}
