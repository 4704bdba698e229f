package serverselection

import (
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/policy"
)

// preference is the beginning of the order in which the servers of a service stand for a part. All gateways that hold the same
// list find the same one.
type affinityOrder struct {
	primary, secondary policy.ServerID
}

// prefer gives the two servers with the highest weights for a chain.
func rendezvous(chain uint64, list []*endpoints.Server) (preferred affinityOrder) {
	var highest, next uint64
	for _, server := range list {
		weight := mix(chain ^ server.Hash)
		switch {
		case weight >= highest || preferred.primary == 0:
			next, preferred.secondary = highest, preferred.primary
			highest, preferred.primary = weight, server.Number
		case weight >= next || preferred.secondary == 0:
			next, preferred.secondary = weight, server.Number
		}
	}
	return preferred
}

// share gives the part of a beginning that a server is taken to hold.
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
