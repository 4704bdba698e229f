package inflight

// This file implements deterministic subsetting, which determines the members that a gateway prefers.

import (
	"hash/fnv"
	"math"
	"slices"

	"sprucelane.example/sprucelane/policy"
)

// subsetMargin is the number of gateways' positions by which the subset extends beyond the neighbors on either side.
const subsetMargin = 1

// Member is a pool member in the list of servers.
type Member struct {
	ID       policy.ServerID // differs from gateway to gateway
	Instance string          // the member's name, the same at all gateways
}

// SetMembers sets the list of members and computes the subset. Members are spread evenly on the ring in the order of
// their hashes, gateways in the order of their numbers. The subset consists of the members whose distance from this
// gateway is at most half the number of neighbors plus subsetMargin, in positions of gateways. All gateways compute it
// from the same data, so that neighbors' subsets overlap and every member is in about the same number of subsets.
// Members whose hash is ambiguous are in no subset.
func (t *Tracker) SetMembers(list []Member) {
	t.members = t.members[:0]
	for _, m := range list {
		t.members = append(t.members, member{id: m.ID, hash: instanceHash(m.Instance)})
	}
	slices.SortFunc(t.members, func(x, y member) int { return int(x.hash) - int(y.hash) })
	reach := float64(len(t.neighbors)/2 + subsetMargin)
	for i := range t.members {
		m := &t.members[i]
		m.ambiguous = i > 0 && t.members[i-1].hash == m.hash || i+1 < len(t.members) && t.members[i+1].hash == m.hash
		distance := math.Abs(float64(i)/float64(len(t.members)) - float64(t.self)/float64(t.gateways))
		m.inSubset = !m.ambiguous && min(distance, 1-distance)*float64(t.gateways) <= reach
	}
}

// instanceHash returns the hash that identifies a member in reports: 32-bit FNV-1a, folded to two bytes.
func instanceHash(instance string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(instance))
	sum := h.Sum32()
	return uint16(sum>>16) ^ uint16(sum)
}
