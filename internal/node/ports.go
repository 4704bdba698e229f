package node

import (
	"net"
	"strconv"
)

// PortUse is a use of one of the ports between machines. Its value is the port's offset in the range (setting
// port-range).
type PortUse int

// The uses of ports between machines. All machines have the same range, and the processes of one machine
// share it.
const (
	PortCoordination PortUse = iota // control processes with each other: membership, views and replication
	PortControl                     // gateways and batch processes to control: subscriptions and quota
	PortGateway                     // reserved for messages between gateways
	PortBatch                       // gateways and batch processes to batch processes
	PortLoad                        // gateways and batch processes with each other: load that servers reported
	numPorts                        // the least size of a range

	// PortMetrics is where a batch process serves its metrics, if the range has the port.
	PortMetrics = numPorts
)

// Port returns the port of a use.
func (s *Settings) Port(use PortUse) int { return s.FirstPort + int(use) }

// Endpoint returns the address, host:port, of a use on this machine.
func (s *Settings) Endpoint(use PortUse) string { return s.EndpointAt(s.IP, use) }

// EndpointAt returns the address, host:port, of a use on another machine.
func (s *Settings) EndpointAt(ip string, use PortUse) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Port(use)))
}

// SeedHosts returns the IP addresses of the seeds.
func (s *Settings) SeedHosts() []string {
	hosts := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // Parse has reported it
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// SeedEndpoints returns the addresses, host:port, of a use on the seeds' machines.
func (s *Settings) SeedEndpoints(use PortUse) []string {
	endpoints := s.SeedHosts()
	for i, host := range endpoints {
		endpoints[i] = s.EndpointAt(host, use)
	}
	return endpoints
}
