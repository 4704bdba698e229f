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
	// receiveBufferSize is the size in bytes of the largest datagram that is received whole. The system
	// truncates longer ones, which are then dropped as malformed.
	receiveBufferSize = 4096
	// readErrorBackoff is how long a runner waits after a failed read, so that a persistent error doesn't keep
	// a core busy.
	readErrorBackoff = 50 * time.Millisecond
)

// Options configures a Runner.
type Options struct {
	// System is the name of the system. Datagrams of systems with another name are dropped.
	System string
	// Config configures the node. All addresses in it are ip:port, without host names.
	Config membership.Config
	// Listen is the ip:port of the socket, if that differs from Config.Self.Address, as behind address
	// translation. If empty, the socket uses Config.Self.Address.
	Listen string
	// OnChange receives changes in order, after Members reflects them. It must return quickly, as it blocks the
	// protocol, and must not call any method of the Runner except Members. If nil, only Members reflects
	// changes.
	OnChange func([]membership.Change)
	// Log receives errors: the event (read_failed, datagram_dropped, address_invalid or datagram_not_sent),
	// the error, and the remote address. It must return quickly. If nil, nothing is logged.
	Log func(event string, err error, remote string)
}

// Runner runs a membership node over a UDP socket. Its methods are safe for concurrent use.
type Runner struct {
	options   Options
	systemTag uint64 // hash of Options.System, sent in each datagram
	socket    *net.UDPConn
	members   atomic.Pointer[Members] // replaced by publish
	readDone  chan struct{}           // closed when read returns

	// mutex guards the fields below. It is held during each step of the node and while the resulting messages
	// are sent and OnChange is called, so that messages and changes keep their order.
	mutex  sync.Mutex
	node   *membership.Node
	timer  *time.Timer // of the node's next tick
	closed bool        // the node takes no further steps
}

// Start opens the socket and begins to join the system. It returns an error if the address to listen on is
// invalid or the socket can't be opened.
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

// Isolated reports whether this machine has received nothing for so long that the others should have declared it
// dead, or are partitioned from it.
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

// Leave informs other machines that this machine shuts down as planned, so that they don't suspect it, and
// closes the runner.
func (r *Runner) Leave() {
	r.mutex.Lock()
	if !r.closed {
		r.apply(r.node.Leave(time.Now()))
	}
	r.mutex.Unlock()
	r.Close()
}

// Close closes the socket without informing the other machines, which will suspect this machine and declare it
// dead.
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

// tick runs the node's tick and sets the timer for the next one.
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

// apply sends the messages and reports the changes of a step. The caller holds the mutex.
func (r *Runner) apply(output membership.Output) {
	for _, envelope := range output.Messages {
		r.send(envelope)
	}
	if len(output.Changes) > 0 {
		r.publish()
		r.options.OnChange(output.Changes)
	}
}

// send sends one message. It doesn't retry on failure, as the protocol tolerates the loss of any datagram.
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

// publish stores a snapshot of the node's current members for Members. The caller holds the mutex, or no other
// goroutine uses the runner yet.
func (r *Runner) publish() {
	r.members.Store(newMembers(r.node.Members()))
}
