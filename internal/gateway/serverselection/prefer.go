package serverselection

import (
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/policy"
)

// preference is the beginning of the order in which the servers of a service stand for a part. All gateways that hold the same
// list find the same one.
type preference struct {
	first, second policy.ServerID
}

// prefer gives the two servers with the highest weights for a chain.
func prefer(chain uint64, list []*endpoints.Server) (order preference) {
	var highest, next uint64
	for _, server := range list {
		weight := mix(chain ^ server.Hash)
		switch {
		case weight >= highest || order.first == 0:
			next, order.second = highest, order.first
			highest, order.first = weight, server.Number
		case weight >= next || order.second == 0:
			next, order.second = weight, server.Number
		}
	}
	return order
}

// share gives the part of a beginning that a server is taken to hold.
func (o preference) share(number policy.ServerID) float64 {
	switch number {
	case 0:
		return 0
	case o.first:
		return firstShare
	case o.second:
		return secondShare
	}
	return 0
}
