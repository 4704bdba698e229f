// Package placement decides which stores keep a batch job and which stores vote on its acceptance. The
// decision is a pure function of the job's id and the agreed membership of the stores, so that every process
// computes the same result without communication.
//
// Stores are ranked by rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998): when a
// store joins or leaves, only the batch jobs that rank it among their first stores are affected. Replicas are
// spread over zones first, and chosen by rank second. Load and time are not considered.
package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/internal/protocol"
)

// Key identifies a store together with the incarnation of its disk: a store that lost its disk rejoins under
// a different key.
type Key string

// KeyOf returns the key of a process.
func KeyOf(process protocol.Process) Key { return Key(process.Node + "/" + process.Incarnation) }

// Node returns the name of the store's node.
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

// Contains reports whether stores contains the store with a key.
func Contains(stores []protocol.Process, key Key) bool {
	return slices.ContainsFunc(stores, func(p protocol.Process) bool { return KeyOf(p) == key })
}

// MemberOf returns the view's member with a key, and false if there is none.
func MemberOf(view protocol.StoreView, key Key) (protocol.StoreMember, bool) {
	for _, member := range view.Members {
		if KeyOf(member.Process) == key {
			return member, true
		}
	}
	return protocol.StoreMember{}, false
}

// Rank returns stores ordered by their weight for a job, heaviest first. Removing a store doesn't change the
// order of the others.
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
// weights, so the hash must not change while stores of different versions run.
func rendezvousWeight(job string, store protocol.Process) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(job)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(KeyOf(store)))
	return digest.Sum64()
}

// Arbiters returns the stores that vote on which store may accept a job: the 2r-1 heaviest active stores,
// where r is the number of replicas, or all active stores if there are fewer. A majority of 2r-1 remains when
// r-1 stores are lost at once, which is also the loss that r replicas survive.
func Arbiters(job string, view protocol.StoreView, replicas int) []protocol.Process {
	ranked := Rank(job, ActiveMembers(view))
	return ranked[:min(len(ranked), 2*replicas-1)]
}

// Majority returns the number of votes that is a majority of a number of arbiters.
func Majority(arbiters int) int { return arbiters/2 + 1 }

// Replicas extends the replica set kept to count members. The stores in kept come first, in their order. They
// are followed by active stores in order of weight: first stores in a zone without a replica, then others, and
// stores in avoid last. It returns fewer than count stores if there are not enough active ones.
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

// pickNext returns the index of the first candidate that is not chosen yet, not to be avoided and in a zone
// without a chosen store. If there is none, it returns the index of the first candidate that is not chosen yet,
// or -1 if all are chosen.
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

// avoidRank returns a sort key: 1 for a store to avoid and 0 for any other store.
func avoidRank(store protocol.Process, avoid []Key) int {
	if slices.Contains(avoid, KeyOf(store)) {
		return 1
	}
	return 0
}

// hasZone reports whether any of the stores is in a zone.
func hasZone(stores []protocol.Process, zone string) bool {
	return slices.ContainsFunc(stores, func(p protocol.Process) bool { return p.Zone == zone })
}
