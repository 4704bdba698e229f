package faultyserver

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"sprucelane.example/sprucelane/internal/fake/memorynet"
)

// Fleet is the servers of a world.
type Fleet struct {
	Checker   *Checker
	Network   *memorynet.Network
	Endpoints []Endpoint

	listeners []net.Listener
	servers   []*server
}

// Address is where a server is, and its id.
type Endpoint struct{ ID, Address string }

// NewFleet starts so many servers.
func NewFleet(seed uint64, count int) *Fleet {
	f := &Fleet{Checker: newChecker(), Network: newNetwork(rand.New(rand.NewPCG(seed, 1)))}
	for i := range count {
		address := fmt.Sprintf("server-%d", i)
		l := f.Network.Listen(address)
		f.listeners = append(f.listeners, l)
		f.Endpoints = append(f.Endpoints, Endpoint{ID: "i-" + address, Address: address})
		s := &server{checker: f.Checker, faultRate: faultRate(seed)}
		s.startIncarnation("i-" + address)
		f.servers = append(f.servers, s)
		go s.accept(l, seed<<8+uint64(i))
	}
	return f
}

// script has all servers take their plans from a script. It is called before anything is sent.
func (f *Fleet) useScript(s *script) {
	for _, one := range f.servers {
		one.script = s
	}
}

// hazards is the share of exchanges in which something goes wrong, against the usual: worlds differ.
func faultRate(seed uint64) float64 { return [...]float64{0.3, 1, 1, 3}[seed%4] }

// Close ends the servers, and waits until all that waits on a connection has ended.
func (f *Fleet) Close() {
	for _, l := range f.listeners {
		l.Close()
	}
	time.Sleep(2 * peerTimeout)
}
