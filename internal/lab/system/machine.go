package system

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// Role is what a process does in the system. Its program has the role's name, with programPrefix.
type Role string

// The roles of processes.
const (
	RoleGateway Role = "gateway"
	RoleControl Role = "control"
	RoleBatch   Role = "batch"

	programPrefix = "sprucelane-"
)

// Class is the kind of a machine, which tells its roles.
type Class string

// The kinds of machines.
const (
	ClassFront Class = "front" // with a gateway, and mostly a control process
	ClassStore Class = "store" // with a batch process and a disk for batch jobs
)

// Ports are the same on all machines, as each machine has an address of its own.
const (
	portFront       = 8689 // of gateways, for clients
	portReady       = 8687 // of gateways, for readiness checks
	portControl     = 8683
	portPlatform    = 8688
	portModelServer = 8080
	portRangeFrom   = 7360 // of the connections between processes
	portRangeTo     = 7375
)

// Machine is one machine: an address, a folder as its disk, and the processes on it.
type Machine struct {
	Name  string
	Class Class
	Zone  string
	IP    string
	Roles []Role
}

// processName is the name of a role's process on the machine.
func (m Machine) processName(role Role) string { return m.Name + "-" + string(role) }

// ControlAddress returns the address of the operator's API on a front machine.
func ControlAddress(m Machine) string { return hostPort(m.IP, portControl) }

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// clusterCount is the number of clusters that this process has opened.
var clusterCount atomic.Uint32

// uniqueNetworkPrefix returns the first three numbers of loopback addresses for one cluster. They follow from
// the process id and a count, so that clusters of tests that run at the same time don't meet.
func uniqueNetworkPrefix() string {
	pid, n := uint32(os.Getpid()), clusterCount.Add(1)
	return fmt.Sprintf("127.%d.%d", 128+(pid>>8+n)&63, pid&255)
}
