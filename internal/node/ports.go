package node

import (
	"net"
	"strconv"
)

// PortUse is the use of a port between machines. Its value is the offset of the port in the range of the setting
// port-range.
type PortUse int

// The uses of ports between machines. All machines have the same range, which the processes of one machine
// share.
const (
	PortCoordination PortUse = iota // between control processes: membership, views and replication
	PortControl                     // from gateways and batch processes to control: subscriptions and quota
	PortGateway                     // reserved for messages between gateways
	PortBatch                       // from gateways and batch processes to batch processes
	PortLoad                        // between gateways and batch processes: load that servers have reported
	numPorts                        // the minimum size of a range

	// PortMetrics is the port on which a batch process serves its metrics, if the range includes it.
	PortMetrics = numPorts
)

// Port returns the port of a use.
func (s *Settings) Port(use PortUse) int { return s.FirstPort + int(use) }

// Endpoint returns the address, host:port, for a use on this machine.
func (s *Settings) Endpoint(use PortUse) string { return s.EndpointAt(s.IP, use) }

// EndpointAt returns the address, host:port, for a use on the machine with an IP address.
func (s *Settings) EndpointAt(ip string, use PortUse) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Port(use)))
}

// SeedHosts returns the IP addresses of the seeds.
func (s *Settings) SeedHosts() []string {
	hosts := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // Parse has reported the invalid address
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// SeedEndpoints returns the addresses, host:port, for a use on the machines of the seeds.
func (s *Settings) SeedEndpoints(use PortUse) []string {
	endpoints := s.SeedHosts()
	for i, host := range endpoints {
		endpoints[i] = s.EndpointAt(host, use)
	}
	return endpoints
}
