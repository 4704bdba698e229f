package control

import (
	"context"
	"net"

	"sprucelane.example/sprucelane/coord/slots"
)

// environment replaces a process's connections and disk in simulations, and injects bugs that tests must
// find. The zero value is TCP and the folder of the settings.
type environment struct {
	bind func(address string) (net.Listener, error)
	dial func(ctx context.Context, address string) (net.Conn, error)
	disk slots.FS
	// wrapReplica injects a bug into what the process learns of the chain; nil: none.
	wrapReplica func(Replica) Replica
	// leaseSuspected injects the bug that a batch process under suspicion is granted leases.
	leaseSuspected bool
}

// listen listens on an address by bind or, where that is nil, on TCP.
func (e *environment) listen(address string) (net.Listener, error) {
	if e.bind != nil {
		return e.bind(address)
	}
	return net.Listen("tcp", address)
}
