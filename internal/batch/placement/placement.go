// Package placement owns which stores keep a batch job: a pure function of the job's id and the agreed set of stores, by
// rendezvous hashing, so that any process comes to the same answer. It must never look at load or time.
package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/internal/protocol"
)

// Key tells stores apart, lives of a disk included: a store whose disk was lost comes back under another key.
type Key string

// KeyOf gives the key of a process.
func KeyOf(process protocol.Process) Key { return Key(process.Node + "/" + process.Incarnation) }

// Node gives the node whose disk it is.
func (k Key) Node() string {
	return string(k[:max(strings.LastIndexByte(string(k), '/'), 0)])
}

// Active gives the members of a view that take batch jobs.
func ActiveMembers(view protocol.StoreView) []protocol.Process {
	active := make([]protocol.Process, 0, len(view.Members))
	for _, member := range view.Members {
		if member.State == protocol.StoreActive {
			active = append(active, member.Process)
		}
	}
	return active
}

// Rank orders stores by their weight for a job, heaviest first. Taking one store away leaves the order of the others.
func Rank(job string, stores []protocol.Process) []protocol.Process {
	type weighed struct {
		process protocol.Process
		weight  uint64
	}
	list := make([]weighed, 0, len(stores))
	for _, store := range stores {
		list = append(list, weighed{process: store, weight: rendezvousWeight(job, store)})
	}
	slices.SortFunc(list, func(a, b weighed) int {
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}
		return cmp.Compare(KeyOf(a.process), KeyOf(b.process))
	})
	ranked := make([]protocol.Process, len(list))
	for i := range list {
		ranked[i] = list[i].process
	}
	return ranked
}

func rendezvousWeight(job string, store protocol.Process) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(job)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(KeyOf(store)))
	return digest.Sum64()
}

// Arbiters gives the stores that decide who may accept a job: the heaviest of the active ones, so many that a majority is left
// when as many as may be lost at once are lost.
func Arbiters(job string, view protocol.StoreView, replicas int) []protocol.Process {
	ranked := Rank(job, ActiveMembers(view))
	return ranked[:min(len(ranked), 2*replicas-1)]
}

// Majority tells how many of a number of arbiters decide.
func Majority(arbiters int) int { return arbiters/2 + 1 }

// Replicas fills a replica set up to count members: those already in it stay in their order, then come active stores by
// weight, those first that stand in a zone without one. Stores in avoid come last. It gives fewer where there are no more.
func Replicas(job string, view protocol.StoreView, kept []protocol.Process, count int, avoid ...Key) []protocol.Process {
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

// pick gives the first candidate that is not chosen, one in a new zone before others, -1 where there is none.
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

func avoidRank(process protocol.Process, avoid []Key) int {
	if slices.Contains(avoid, KeyOf(process)) {
		return 1
	}
	return 0
}

func hasZone(stores []protocol.Process, zone string) bool {
	return slices.ContainsFunc(stores, func(p protocol.Process) bool { return p.Zone == zone })
}

// Contains tells whether a store is among others.
func Contains(stores []protocol.Process, key Key) bool {
	return slices.ContainsFunc(stores, func(p protocol.Process) bool { return KeyOf(p) == key })
}

// MemberOf gives a view's member with a key.
func MemberOf(view protocol.StoreView, key Key) (protocol.StoreMember, bool) {
	for _, member := range view.Members {
		if KeyOf(member.Process) == key {
			return member, true
		}
	}
	return protocol.StoreMember{}, false
}
