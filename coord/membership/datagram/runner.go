package datagram

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/coord/membership"
)

const (
	// receiveBufferSize is the size in bytes of the largest datagram that is received. Longer ones are
	// truncated by the system, and then dropped as malformed.
	receiveBufferSize = 4096
	// readErrorBackoff is how long a runner waits after a failed read, so that a lasting error doesn't use up
	// a core.
	readErrorBackoff = 50 * time.Millisecond
)

// Options configures a Runner.
type Options struct {
	// System is the name of the system. Datagrams of systems with another name are dropped.
	System string
	// Config configures the node. All addresses in it are ip:port, without host names.
	Config membership.Config
	// Listen is the ip:port of the socket, if it isn't Config.Self.Address, as behind address translation.
	Listen string
	// OnChange receives changes in order, after Members reflects them. It must return soon, as it holds up
	// the protocol, and must not call the Runner except for Members. If nil, changes are only reflected by
	// Members.
	OnChange func([]membership.Change)
	// Log receives errors: the event (read_failed, datagram_dropped, address_invalid or datagram_not_sent),
	// the error, and the other side's address. It must return soon. If nil, nothing is logged.
	Log func(event string, err error, remote string)
}

// Runner runs a membership node over a UDP socket. Its methods may be called by several goroutines at once.
type Runner struct {
	options   Options
	systemTag uint64 // hash of Options.System, sent in each datagram
	socket    *net.UDPConn
	members   atomic.Pointer[Members] // replaced by publish
	readDone  chan struct{}           // closed once the socket isn't read any more

	// mutex guards the fields below. It is held through each step of the node with the sends and OnChange
	// that it leads to, so that messages and changes keep their order.
	mutex  sync.Mutex
	node   *membership.Node
	timer  *time.Timer // of the node's next tick
	closed bool        // no step is made any more
}

// Start opens the socket and begins to join the system. The error is that of an address or of the socket.
func Start(options Options) (*Runner, error) {
	if options.Listen == "" {
		options.Listen = options.Config.Self.Address
	}
	if options.OnChange == nil {
		options.OnChange = func([]membership.Change) {}
	}
	if options.Log == nil {
		options.Log = func(string, error, string) {}
	}
	address, err := netip.ParseAddrPort(options.Listen)
	if err != nil {
		return nil, fmt.Errorf("datagram: %w", err)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("datagram: %w", err)
	}
	r := &Runner{
		options:   options,
		systemTag: xxhash.Sum64String(options.System),
		socket:    socket,
		readDone:  make(chan struct{}),
		node:      membership.New(options.Config, time.Now()),
	}
	r.publish()
	go r.read()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.timer = time.AfterFunc(0, r.tick)
	return r, nil
}

// Members returns the machines that are present now. It takes no lock.
func (r *Runner) Members() *Members {
	return r.members.Load()
}

// Isolated reports whether this machine has received nothing for so long that the others must have declared
// it dead, or be partitioned from it.
func (r *Runner) Isolated() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.node.Isolated(time.Now())
}

// SetSeeds replaces the addresses through which this machine joins.
func (r *Runner) SetSeeds(seeds []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.node.SetSeeds(seeds)
}

// Leave tells the others that this machine ends as planned, so that they don't suspect it, and closes the
// runner.
func (r *Runner) Leave() {
	r.mutex.Lock()
	if !r.closed {
		r.apply(r.node.Leave(time.Now()))
	}
	r.mutex.Unlock()
	r.Close()
}

// Close closes the socket without telling the others, which will suspect this machine and declare it dead.
func (r *Runner) Close() {
	r.mutex.Lock()
	wasClosed := r.closed
	r.closed = true
	r.timer.Stop()
	r.mutex.Unlock()
	if !wasClosed {
		_ = r.socket.Close()
	}
	<-r.readDone
}

// tick lets the node tick and sets the timer for the next time.
func (r *Runner) tick() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	r.apply(r.node.Tick(time.Now()))
	r.timer.Reset(time.Until(r.node.Next()))
}

// read receives datagrams until the socket is closed.
func (r *Runner) read() {
	defer close(r.readDone)
	buffer := make([]byte, receiveBufferSize)
	for {
		size, from, err := r.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.options.Log("read_failed", err, "")
			time.Sleep(readErrorBackoff)
			continue
		}
		message, err := decode(r.systemTag, buffer[:size])
		if err != nil {
			r.options.Log("datagram_dropped", err, from.String())
			continue
		}
		r.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), message)
	}
}

// receive passes a message to the node.
func (r *Runner) receive(from netip.AddrPort, message membership.Message) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.closed {
		r.apply(r.node.Receive(time.Now(), from.String(), message))
	}
}

// apply sends messages and reports changes. The caller holds the mutex.
func (r *Runner) apply(output membership.Output) {
	for _, envelope := range output.Messages {
		r.send(envelope)
	}
	if len(output.Changes) > 0 {
		r.publish()
		r.options.OnChange(output.Changes)
	}
}

// send sends one message. If that fails it isn't repeated: the protocol tolerates the loss of any datagram.
func (r *Runner) send(envelope membership.Envelope) {
	address, err := netip.ParseAddrPort(envelope.Address)
	if err != nil {
		r.options.Log("address_invalid", err, envelope.Address)
		return
	}
	for _, data := range encode(r.systemTag, envelope.Message) {
		if _, err := r.socket.WriteToUDPAddrPort(data, address); err != nil {
			r.options.Log("datagram_not_sent", err, envelope.Address)
		}
	}
}

// publish makes the node's current members those that Members returns. The caller holds the mutex, or hasn't
// started yet.
func (r *Runner) publish() {
	r.members.Store(newMembers(r.node.Members()))
}
