package faultyserver

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"sprucelane.example/sprucelane/internal/fake/memorynet"
)

// Fleet is the servers of a simulation, with the network that reaches them and the checker that they report to.
type Fleet struct {
	Checker   *Checker
	Network   *memorynet.Network
	Endpoints []Endpoint

	listeners []net.Listener
	servers   []*server
}

// Endpoint is the address of a server, and the id of its first incarnation.
type Endpoint struct{ ID, Address string }

// NewFleet starts a number of servers. It must be called in a bubble of testing/synctest.
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

// useScript has all servers take their plans from a script. It is called before anything is sent.
func (f *Fleet) useScript(s *script) {
	for _, one := range f.servers {
		one.script = s
	}
}

// faultRate returns the fault rate of a seed: some simulations have few faults, some many.
func faultRate(seed uint64) float64 { return [...]float64{0.3, 1, 1, 3}[seed%4] }

// Close ends the servers, and waits until everything that waits for a peer has timed out.
func (f *Fleet) Close() {
	for _, l := range f.listeners {
		l.Close()
	}
	time.Sleep(2 * peerTimeout)
}
