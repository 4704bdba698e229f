// Package connectionshare decides how many of a server's connections one gateway may use, so that all gateways together
// stay within the server's bound (max-conns) without asking each other.
//
// Each gateway takes an equal part, by the number of gateways in the member list of control. A number that is too
// low is what does harm: gateways that each take themselves for one of a few open many times the bound. A control
// process that has just started, or was without a majority, knows few gateways or none, so the number may rise at
// once and falls only on evidence:
//
//   - the list says that its sender has counted for long enough to know all (protocol.MemberList.GatewaysComplete);
//   - the gateway is in contact with control: lists that it was sent before may be outdated;
//   - both have held without a gap for Options.FallAfter, and the number falls to the highest one of that time.
//
// Until the first complete list a gateway doesn't know how many others there are. It uses few connections a server
// (unknownPart), and no more than its part by the gateways that are listed so far. One connection was too few: after a
// loss of all power every gateway is in that state for some seconds, and refused what its servers had places for. Only
// where more gateways than the bound over unknownPart start in the same second may their parts exceed it for that
// second, if each has as many requests for one server.
//
// The remainder of the division goes to the gateways of the lowest ranks, one connection each: rounded up, the parts
// of hundreds of gateways would be beyond the bound, and rounded down half of it would lie idle. A rank is taken
// only from a complete list of as many gateways as are divided by. Lists of one number and other members give some
// rank twice, so that the sum may be above what is divided by as many connections as gateways changed; the caller
// divides nine tenths of the bound.
package connectionshare

import (
	"slices"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// unknownPart is the most connections a server of a gateway that doesn't know how many others there are.
const unknownPart = 6

// Share is one gateway's part. It is safe for concurrent use. A nil Share is that of the only gateway.
type Share struct {
	node      string
	fallAfter time.Duration

	mutex     sync.Mutex // guards the fields below
	divisor   int        // number of gateways that is divided by; 0: not known yet
	listed    int        // number of gateways in the newest list, this one included
	rank      int        // of this gateway by node, among those of a complete list; -1: not known for the divisor
	lowerFrom time.Time  // since when complete lists have had fewer gateways; zero: they have not
	highest   int        // highest number since then
}

// New returns the share of the gateway of a node. The number of gateways falls after it was lower for fallAfter, in
// which a gateway that was away would have come back: liveness-ms.
func New(node string, fallAfter time.Duration) *Share {
	return &Share{node: node, fallAfter: fallAfter}
}

// Observe takes in the newest member list, nil for none. inContact says that control confirmed its state lately. It
// must be called again while a list stays the same, as time passes.
func (s *Share) Observe(now time.Time, list *protocol.MemberList, inContact bool) {
	if s == nil || list == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rank := slices.IndexFunc(list.Gateways, func(one protocol.Process) bool { return one.Node == s.node })
	count, evidence := len(list.Gateways), list.GatewaysComplete && inContact
	if rank < 0 {
		count++ // this one
	}
	s.listed = count
	switch {
	case s.divisor == 0:
		if evidence {
			s.divisor = count
		}
	case count >= s.divisor:
		s.divisor = count
		s.lowerFrom = time.Time{}
	case !evidence:
		s.lowerFrom = time.Time{}
	default:
		s.observeLower(now, count)
	}
	switch {
	case count != s.divisor:
		s.rank = -1
	case evidence:
		s.rank = rank
	}
}

// observeLower takes in a lower number with evidence. The mutex is held.
func (s *Share) observeLower(now time.Time, count int) {
	if s.lowerFrom.IsZero() {
		s.lowerFrom, s.highest = now, count
	}
	s.highest = max(s.highest, count)
	if now.Sub(s.lowerFrom) >= s.fallAfter {
		s.divisor = s.highest
		s.lowerFrom = time.Time{}
	}
}

// Part returns how many of a number of connections this gateway may use, at least one.
func (s *Share) Part(connections int) int {
	if s == nil {
		return max(1, connections)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.divisor == 0 {
		return max(1, min(unknownPart, connections/max(1, s.listed)))
	}
	part := connections / s.divisor
	if s.rank >= 0 && s.rank < connections%s.divisor {
		part++
	}
	return max(1, part)
}
