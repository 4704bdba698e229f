// Package placement decides which stores keep a batch job and which stores vote on its acceptance: a pure
// function of the job's id and the agreed membership of the stores, so that every process comes to the same
// answer without asking.
//
// Stores are ranked by rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998): when a
// store joins or leaves, only the batch jobs that rank it among their first ones are affected. Replicas are
// spread over zones before rank counts. Load and time play no part.
package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/internal/protocol"
)

// Key identifies a store together with the incarnation of its disk: a store that lost its disk comes back
// under another key.
type Key string

// KeyOf returns the key of a process.
func KeyOf(process protocol.Process) Key { return Key(process.Node + "/" + process.Incarnation) }

// Node returns the node that has the disk.
func (k Key) Node() string {
	return string(k[:max(strings.LastIndexByte(string(k), '/'), 0)])
}

// ActiveMembers returns the members of a view that accept batch jobs.
func ActiveMembers(view protocol.StoreView) []protocol.Process {
	active := make([]protocol.Process, 0, len(view.Members))
	for _, member := range view.Members {
		if member.State == protocol.StoreActive {
			active = append(active, member.Process)
		}
	}
	return active
}

// Contains reports whether a store is among others.
func Contains(stores []protocol.Process, key Key) bool {
	return slices.ContainsFunc(stores, func(p protocol.Process) bool { return KeyOf(p) == key })
}

// MemberOf returns the view's member with a key; false if there is none.
func MemberOf(view protocol.StoreView, key Key) (protocol.StoreMember, bool) {
	for _, member := range view.Members {
		if KeyOf(member.Process) == key {
			return member, true
		}
	}
	return protocol.StoreMember{}, false
}

// Rank orders stores by their weight for a job, heaviest first. Removing a store leaves the order of the
// others.
func Rank(job string, stores []protocol.Process) []protocol.Process {
	type weighted struct {
		store  protocol.Process
		weight uint64
	}
	list := make([]weighted, 0, len(stores))
	for _, store := range stores {
		list = append(list, weighted{store: store, weight: rendezvousWeight(job, store)})
	}
	slices.SortFunc(list, func(a, b weighted) int {
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}
		return cmp.Compare(KeyOf(a.store), KeyOf(b.store))
	})
	ranked := make([]protocol.Process, len(list))
	for i := range list {
		ranked[i] = list[i].store
	}
	return ranked
}

// rendezvousWeight hashes a job's id together with a store's key. All processes must compute the same
// weights: the hash can't change while stores of different versions run.
func rendezvousWeight(job string, store protocol.Process) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(job)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(KeyOf(store)))
	return digest.Sum64()
}

// Arbiters returns the stores that vote on which store may accept a job: the 2r-1 heaviest active ones,
// where r is the number of replicas, or all active ones if there are fewer. A majority of 2r-1 is left when
// r-1 are lost at once, which is also what r replicas survive.
func Arbiters(job string, view protocol.StoreView, replicas int) []protocol.Process {
	ranked := Rank(job, ActiveMembers(view))
	return ranked[:min(len(ranked), 2*replicas-1)]
}

// Majority returns how many votes decide among a number of arbiters.
func Majority(arbiters int) int { return arbiters/2 + 1 }

// Replicas extends a replica set to count members. The stores already in it come first, in their order;
// then active stores by weight, those in a zone without a replica before others, and stores in avoid last.
// It returns fewer if there are no more.
func Replicas(
	job string, view protocol.StoreView, kept []protocol.Process, count int, avoid ...Key,
) []protocol.Process {
	chosen := slices.Clone(kept)
	candidates := Rank(job, ActiveMembers(view))
	slices.SortStableFunc(candidates, func(a, b protocol.Process) int {
		return cmp.Compare(avoidRank(a, avoid), avoidRank(b, avoid))
	})
	for len(chosen) < count {
		next := pickNext(candidates, chosen, avoid)
		if next < 0 {
			break
		}
		chosen = append(chosen, candidates[next])
	}
	return chosen
}

// pickNext returns the index of the first candidate that is not chosen and in a new zone, or else of the
// first that is not chosen, or -1 if there is none.
func pickNext(candidates, chosen []protocol.Process, avoid []Key) int {
	fallback := -1
	for i, candidate := range candidates {
		if Contains(chosen, KeyOf(candidate)) {
			continue
		}
		if avoidRank(candidate, avoid) == 0 && !hasZone(chosen, candidate.Zone) {
			return i
		}
		if fallback < 0 {
			fallback = i
		}
	}
	return fallback
}

// avoidRank returns 1 for a store to avoid and 0 for others, as a sort key.
func avoidRank(store protocol.Process, avoid []Key) int {
	if slices.Contains(avoid, KeyOf(store)) {
		return 1
	}
	return 0
}

// hasZone reports whether a store is in a zone.
func hasZone(stores []protocol.Process, zone string) bool {
	return slices.ContainsFunc(stores, func(p protocol.Process) bool { return p.Zone == zone })
}
