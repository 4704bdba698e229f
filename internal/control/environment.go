package control

import (
	"context"
	"net"

	"sprucelane.example/sprucelane/coord/slots"
)

// environment replaces a process's connections and disk in simulations, and injects bugs that tests must
// find. With the zero value the process uses TCP and the data-dir of the settings, without injected bugs.
type environment struct {
	bind func(address string) (net.Listener, error)
	dial func(ctx context.Context, address string) (net.Conn, error)
	disk slots.FS
	// wrapReplica injects a bug into the process's view of the chain; nil: none.
	wrapReplica func(Replica) Replica
	// leaseSuspected injects the bug that a batch process under suspicion is granted leases.
	leaseSuspected bool
}

// listen listens on an address with bind, or on TCP if bind is nil.
func (e *environment) listen(address string) (net.Listener, error) {
	if e.bind != nil {
		return e.bind(address)
	}
	return net.Listen("tcp", address)
}
