package serverselection

import (
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/policy"
)

const (
	// minAffinityTokens is the least length of a shared prefix for which the same servers are preferred.
	minAffinityTokens = 1024
	// Shares of a shared prefix that the first two servers of its order are assumed to hold in their caches,
	// unless this gateway's cache model (prefixCache) has more.
	firstCachedShare, secondCachedShare = 0.9, 0.45
)

// affinityOrder holds the first two servers in a backend's order of preference for a prefix. All gateways with the
// same list of servers compute the same order. The zero value prefers no server.
type affinityOrder struct {
	primary, secondary policy.ServerID
}

// rendezvous returns the two servers with the highest weights for a prefix (rendezvous hashing).
func rendezvous(prefix uint64, list []*endpoints.Server) (order affinityOrder) {
	var highest, next uint64
	for _, server := range list {
		weight := mix(prefix ^ server.Hash)
		switch {
		case weight >= highest || order.primary == 0:
			next, order.secondary = highest, order.primary
			highest, order.primary = weight, server.Number
		case weight >= next || order.secondary == 0:
			next, order.secondary = weight, server.Number
		}
	}
	return order
}

// cachedShare returns the share of the prefix that a server is assumed to hold in its cache.
func (o affinityOrder) cachedShare(number policy.ServerID) float64 {
	switch number {
	case 0:
		return 0
	case o.primary:
		return firstCachedShare
	case o.secondary:
		return secondCachedShare
	}
	return 0
}

// affinityKey returns the hash of the prefix that determines the preferred servers: the shortest one with at least
// half of the tokens that other requests may share. found is false if these are fewer than minAffinityTokens.
func (w *Workload) affinityKey() (prefix uint64, found bool) {
	shared := w.shared()
	if len(shared) == 0 {
		return 0, false
	}
	all := shared[len(shared)-1].Tokens
	if all < minAffinityTokens {
		return 0, false
	}
	for _, part := range shared {
		if 2*part.Tokens >= all {
			return part.Hash, true
		}
	}
	return 0, false
}

// mix spreads the bits of a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
