package serverload

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/internal/protocol"
)

// aggregatorsPerZone is the number of aggregators of a zone: one may be down while the list of processes doesn't
// show that yet.
const aggregatorsPerZone = 2

// targets holds the addresses of the processes to which this process sends datagrams. It is immutable.
type targets struct {
	aggregators    []netip.AddrPort   // of the zone of this process, without itself
	allAggregators [][]netip.AddrPort // of each zone, sorted by the zones' names

	// Empty unless this process is an aggregator.
	zoneProcesses     []netip.AddrPort // all other processes of the zone
	zoneGateways      []netip.AddrPort // the other gateways of the zone
	remoteAggregators []netip.AddrPort // the aggregators of other zones
}

// updateTargets recomputes the targets if the list of processes has changed.
func (s *Sharing) updateTargets() {
	members := s.members()
	if members == nil || s.targets.Load() != nil && members.Version == s.membersVersion {
		return
	}
	s.membersVersion = members.Version
	aggregators := aggregatorsByZone(members.Gateways)
	next := &targets{}
	isAggregator := slices.ContainsFunc(aggregators[s.self.Zone],
		func(aggregator protocol.Process) bool { return aggregator.Node == s.self.Node })
	for _, zone := range slices.Sorted(maps.Keys(aggregators)) {
		var ofZone []netip.AddrPort
		for _, aggregator := range aggregators[zone] {
			ofZone = s.appendAddress(ofZone, aggregator.IP)
			switch {
			case zone != s.self.Zone && isAggregator:
				next.remoteAggregators = s.appendAddress(next.remoteAggregators, aggregator.IP)
			case zone == s.self.Zone && aggregator.Node != s.self.Node:
				next.aggregators = s.appendAddress(next.aggregators, aggregator.IP)
			}
		}
		if len(ofZone) > 0 {
			next.allAggregators = append(next.allAggregators, ofZone)
		}
	}
	if isAggregator {
		next.zoneGateways, next.zoneProcesses = s.zoneAddresses(members)
	}
	s.targets.Store(next)
}

// zoneAddresses returns the addresses of the other gateways of this zone, and of all its other processes.
func (s *Sharing) zoneAddresses(members *protocol.MemberList) (gateways, all []netip.AddrPort) {
	for i := range members.Gateways {
		if member := &members.Gateways[i]; member.Zone == s.self.Zone && member.Node != s.self.Node {
			gateways = s.appendAddress(gateways, member.IP)
		}
	}
	all = slices.Clone(gateways)
	for i := range members.Stores.Members {
		if member := &members.Stores.Members[i]; member.Zone == s.self.Zone {
			all = s.appendAddress(all, member.IP)
		}
	}
	return gateways, all
}

// appendAddress appends a process's address. It leaves out a process whose IP can't be parsed, so that the other
// processes still get hints.
func (s *Sharing) appendAddress(list []netip.AddrPort, ip string) []netip.AddrPort {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return list
	}
	return append(list, netip.AddrPortFrom(address, s.port))
}

// aggregatorsByZone returns the aggregators of each zone: the aggregatorsPerZone gateways with the highest weights
// (rendezvous hashing), so that the others remain aggregators if one is removed.
func aggregatorsByZone(gateways []protocol.Process) map[string][]protocol.Process {
	aggregators := map[string][]protocol.Process{}
	for _, gateway := range gateways {
		ofZone := append(aggregators[gateway.Zone], gateway)
		for i := len(ofZone) - 1; i > 0 && weight(ofZone[i]) > weight(ofZone[i-1]); i-- {
			ofZone[i], ofZone[i-1] = ofZone[i-1], ofZone[i]
		}
		aggregators[gateway.Zone] = ofZone[:min(len(ofZone), aggregatorsPerZone)]
	}
	return aggregators
}

// weight returns a gateway's weight among the gateways of its zone.
func weight(process protocol.Process) uint64 { return xxhash.Sum64String(process.Node) }
