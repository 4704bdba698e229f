// Package connectionshare computes how many of a server's connections one gateway may use, so that all gateways
// together stay within the server's limit (max-conns) without communicating with each other.
//
// Each gateway uses an equal part of the connections, by the number of gateways in control's member list. A number
// that is too low does harm: if each gateway assumes that there are only a few, all together open many times the
// limit. A control process that has just started, or had no majority, knows few gateways or none. So the number
// rises at once, and falls only under these conditions:
//
//   - the list says that its sender has counted for long enough to know all gateways
//     (protocol.MemberList.GatewaysComplete);
//   - the gateway is in contact with control, as lists that it received earlier may be outdated;
//   - both have held without interruption for a time (fallAfter of New). The number then falls to the highest one
//     listed in that time.
//
// Until the first complete list a gateway doesn't know how many other gateways there are. It then uses at most
// maxPartWhileUnknown connections per server, and no more than its part by the gateways listed so far. A maximum of
// one connection was too low: after a loss of all power every gateway is in this state for some seconds, and rejected
// requests for which its servers had room. The parts of the gateways may exceed the limit only where more gateways
// than the limit divided by maxPartWhileUnknown start in the same second, for that second, and if each has as many
// requests for one server.
//
// The remainder of the division goes to the gateways with the lowest ranks, one connection each: if the parts were
// rounded up, those of hundreds of gateways would exceed the limit; if they were rounded down, half of the
// connections could stay unused. A rank is taken only from a complete list with as many gateways as the divisor.
// Lists with the same number of gateways but different members may give two gateways the same rank. The sum of the
// parts may then exceed the number that is divided, by as many connections as there are gateways that changed;
// therefore the caller divides nine tenths of the limit.
package connectionshare

import (
	"slices"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// maxPartWhileUnknown is the largest number of connections per server while the number of gateways is unknown.
const maxPartWhileUnknown = 6

// Share computes the part of one gateway. It is safe for concurrent use. A nil Share is that of the only gateway.
type Share struct {
	node      string
	fallAfter time.Duration

	mutex        sync.Mutex // guards the fields below
	divisor      int        // number of gateways by which connections are divided; 0: unknown
	listed       int        // number of gateways in the newest list, including this one
	rank         int        // index of this gateway in a complete list with divisor gateways; -1: unknown
	lowerSince   time.Time  // since when complete lists have had fewer gateways than divisor; zero: they don't
	highestSince int        // highest number of gateways listed since lowerSince
}

// New returns the share of the gateway on a node. The number of gateways falls after it was lower for fallAfter, a
// time in which a gateway that was away would have come back: the setting liveness-ms.
func New(node string, fallAfter time.Duration) *Share {
	return &Share{node: node, fallAfter: fallAfter}
}

// Observe updates the number of gateways from the newest member list, which is nil if there is none. inContact says
// that control has confirmed its state recently. Observe must be called repeatedly also while the list stays the
// same, because the number falls only after a time.
func (s *Share) Observe(now time.Time, list *protocol.MemberList, inContact bool) {
	if s == nil || list == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rank := slices.IndexFunc(list.Gateways, func(gateway protocol.Process) bool { return gateway.Node == s.node })
	count, reliable := len(list.Gateways), list.GatewaysComplete && inContact
	if rank < 0 {
		count++ // this gateway, which the list lacks
	}
	s.listed = count
	switch {
	case s.divisor == 0:
		if reliable {
			s.divisor = count
		}
	case count >= s.divisor:
		s.divisor = count
		s.lowerSince = time.Time{}
	case !reliable:
		s.lowerSince = time.Time{}
	default:
		s.observeLower(now, count)
	}
	switch {
	case count != s.divisor:
		s.rank = -1
	case reliable:
		s.rank = rank
	}
}

// observeLower handles a complete list, received in contact with control, of fewer gateways than divisor. The mutex is
// held.
func (s *Share) observeLower(now time.Time, count int) {
	if s.lowerSince.IsZero() {
		s.lowerSince, s.highestSince = now, count
	}
	s.highestSince = max(s.highestSince, count)
	if now.Sub(s.lowerSince) >= s.fallAfter {
		s.divisor = s.highestSince
		s.lowerSince = time.Time{}
	}
}

// Part returns how many of a server's connections this gateway may use, at least one. connections is the number that
// all gateways together may use.
func (s *Share) Part(connections int) int {
	if s == nil {
		return max(1, connections)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.divisor == 0 {
		return max(1, min(maxPartWhileUnknown, connections/max(1, s.listed)))
	}
	part := connections / s.divisor
	if s.rank >= 0 && s.rank < connections%s.divisor {
		part++
	}
	return max(1, part)
}
