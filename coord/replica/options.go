package replica

import (
	"context"
	"net"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/coord/transport"
)

// Options configure a Node.
type Options struct {
	// Identity names the system and the machine. Start sets its Address and Incarnation.
	Identity transport.Identity
	// Listen is the coordination address, "ip:port", by which other nodes know this one.
	Listen string
	// Bind listens on Listen, and Dial connects to another node. nil: TCP.
	Bind func(address string) (net.Listener, error)
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Seeds are coordination addresses of machines with a disk, where a node without contact asks for the
	// view. Some may be outdated. With Bootstrap, they are the members of the first view and must be the same
	// on all machines.
	Seeds []string
	// Bootstrap says that the whole system starts for the first time. It is ignored if the disk isn't empty.
	Bootstrap bool
	// DataDir is the folder of the disk. Empty: the node has no disk and is a learner.
	DataDir string
	// Disk replaces the folder DataDir, for simulations.
	Disk slots.FS
	// Tolerance is the number of disks that may be lost at once: an acknowledged command is on more. A chain
	// of Tolerance members or fewer takes no commands. A system needs 2 x Tolerance + 1 machines with a disk.
	Tolerance int
	// StateMachine is what the commands change. It is called from one goroutine.
	StateMachine chain.StateMachine
	// Log receives events, each with pairs of keys and values. They carry no level: view_proposed, view_adopted
	// and disk_recovered are routine; disk_corrupt and disk_write_failed say that this member has lost its vote,
	// or is out of service. It must not block. nil: none.
	Log func(event string, fields ...any)
}

// filesystem returns the disk, nil for a node without one.
func (o *Options) filesystem() slots.FS {
	if o.Disk != nil || o.DataDir == "" {
		return o.Disk
	}
	return slots.Directory(o.DataDir)
}

// listen listens on the coordination address.
func (o *Options) listen() (net.Listener, error) {
	if o.Bind != nil {
		return o.Bind(o.Listen)
	}
	return net.Listen("tcp", o.Listen)
}
