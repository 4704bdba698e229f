package system

import (
	"fmt"

	"sprucelane.example/sprucelane/internal/node"
)

// listedHost gives the address of a listed server that doesn't run, from the network that RFC 2544 keeps for benchmarks.
func listedHost(number int) string { return fmt.Sprintf("198.18.%d.%d", number>>8&255, number&255) }

// List puts so many servers that don't run on the platform's list.
func (f *Fleet) List(servers int) {
	f.Platform.PutListed(ServiceName, engineSlots, f.Plan.Zones, servers,
		func(number int) string { return endpoint(listedHost(number), portEngine) })
}

// HollowSettings gives the settings of a gateway that runs in this process and listens nowhere; its address is only a name.
func (f *Fleet) HollowSettings(number int) (*node.Settings, error) {
	zone := f.Plan.Zones[number%len(f.Plan.Zones)]
	machine := Machine{Name: fmt.Sprintf("front-%s-hollow-%d", zone, number), Class: "front", Zone: zone, IP: listedHost(number),
		Roles: []string{RoleGateway}}
	return node.Parse(machine.Name, []byte(f.settings.text(machine, RoleGateway)))
}

// LastLines gives the ends of all processes' logs.
func (f *Fleet) LastLines() string { return f.lastLines() }
