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
	// Identity identifies the system and the machine. Start sets its Address and Incarnation.
	Identity transport.Identity
	// Listen is the coordination address, "ip:port", at which other nodes reach this node.
	Listen string
	// Bind listens on Listen, and Dial connects to another node. If nil, TCP is used.
	Bind func(address string) (net.Listener, error)
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Seeds are coordination addresses of machines with a disk, which a node without contact to its view queries
	// for the newest view. Some may be outdated. With Bootstrap, they are the members of the first view and must
	// be the same on all machines.
	Seeds []string
	// Bootstrap means that the whole system starts for the first time. It is ignored if the disk isn't empty.
	Bootstrap bool
	// DataDir is the directory that holds the durable state. If it is "" and Disk is nil, the node has no disk and
	// is a learner.
	DataDir string
	// Disk replaces the directory DataDir, for simulations.
	Disk slots.FS
	// Tolerance is the number of disks that may be lost at once: an acknowledged command is on more disks than
	// this. A chain of Tolerance members or fewer accepts no commands. A system needs 2 x Tolerance + 1 machines
	// with a disk.
	Tolerance int
	// StateMachine is the state machine to which the commands are applied. It is called from one goroutine.
	StateMachine chain.StateMachine
	// Log receives events, each with pairs of keys and values. Events have no level: view_proposed, view_adopted
	// and disk_recovered are routine; disk_corrupt and disk_write_failed mean that this member has lost its vote,
	// or is out of service. Log must not block. If it is nil, events are discarded.
	Log func(event string, fields ...any)
}

// filesystem returns the file system of the disk, nil for a node without a disk.
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
