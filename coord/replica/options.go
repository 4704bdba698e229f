package replica

import (
	"context"
	"errors"
	"net"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/coord/view"
)

// Errors of Propose and Read.
var (
	// ErrUnavailable says that the order was surely not taken and never will be, or that a read can't
	// be answered now.
	ErrUnavailable = errors.New("replica: unavailable")
	// ErrUncertain says that the order may have been applied, may be applied later, or not at all.
	ErrUncertain = errors.New("replica: outcome unknown")
	// ErrClosed says that the node was closed.
	ErrClosed = errors.New("replica: closed")
	// ErrSeeds says that a founding needs at least one seed.
	ErrNoSeeds = errors.New("replica: no seeds")
)

// Options say what a node is.
type Options struct {
	// Identity names the machine. Address and Incarnation are set by Start.
	Identity transport.Identity
	// Listen is the coordination address, "ip:port", by which the node is known to others.
	Listen string
	// Bind listens on Listen, and Dial opens a connection to another machine. Nil takes TCP.
	Bind func(address string) (net.Listener, error)
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Seeds are coordination addresses of core machines. They may be stale.
	Seeds []string
	// Bootstrap says that the whole system starts for the first time. It counts only for an empty disk.
	Bootstrap bool
	// DataDir is the folder of the disk; empty for a machine without one, which only observes.
	DataDir string
	// Disk is the disk itself in place of DataDir, for worlds of tests.
	Disk slots.FS
	// Tolerance is the number of disks that may be lost at once: an acknowledged order is on more.
	Tolerance int
	// Machine is the state that orders change. It is called from one goroutine.
	StateMachine chain.StateMachine
	// Log receives what happens, as an event and pairs of keys and values. It must not block. It may be nil.
	Log func(event string, fields ...any)
}

// disk gives the folder of the disk, nil for a machine without one.
func (o *Options) filesystem() slots.FS {
	if o.Disk != nil || o.DataDir == "" {
		return o.Disk
	}
	return slots.Directory(o.DataDir)
}

// bind listens.
func (o *Options) listen() (net.Listener, error) {
	if o.Bind != nil {
		return o.Bind(o.Listen)
	}
	return net.Listen("tcp", o.Listen)
}

// Peer is what a node knows of a core machine.
type Peer struct {
	Member    view.Member
	Voter     bool
	InChain   bool
	Reachable bool // in touch with this node, both ways; known on core machines only
	Candidate bool // has a disk and waits for a place
}

// Lead says until when this node holds the singleton roles.
type LeaderLease struct {
	Epoch uint64
	Since time.Time
	Until time.Time
}
