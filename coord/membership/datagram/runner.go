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

// receiveBuffer is the size in bytes of the largest datagram that is received whole.
const receiveBufferSize = 4096

// readPause is how long a runner waits after a failed read.
const readErrorBackoff = 50 * time.Millisecond

// Options adjusts a Runner.
type Options struct {
	// System tells systems apart: datagrams of another one are dropped.
	System string
	// Config is that of the node. Its addresses are ip:port.
	Config membership.Config
	// Listen is the ip:port of the socket, Config.Self.Address if empty.
	Listen string
	// OnChange receives changes in order. It must return soon and must not call the Runner.
	OnChange func([]membership.Change)
	// Log receives what goes wrong. It must not block.
	Log func(event string, err error, remote string)
}

// Members is an immutable view of all machines.
type Members struct {
	list   []membership.Update
	byName map[string]membership.Update
}

// List returns all machines that are alive or suspected, in the order of their names. It must not be changed.
func (m *Members) List() []membership.Update {
	return m.list
}

// Get returns a machine that is alive or suspected.
func (m *Members) Get(name string) (membership.Update, bool) {
	update, ok := m.byName[name]
	return update, ok
}

// Runner runs a membership node over a UDP socket.
type Runner struct {
	options   Options
	systemTag uint64
	socket    *net.UDPConn
	members   atomic.Pointer[Members]
	done      chan struct{} // closed once nothing is read any more

	mutex  sync.Mutex
	node   *membership.Node
	timer  *time.Timer
	closed bool
}

// Start opens the socket and joins the system.
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
		done:      make(chan struct{}),
		node:      membership.New(options.Config, time.Now()),
	}
	r.publish()
	go r.read()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.timer = time.AfterFunc(0, r.tick)
	return r, nil
}

// Members returns the present view of all machines.
func (r *Runner) Members() *Members {
	return r.members.Load()
}

// Isolated tells whether this machine has heard nobody for so long that others must count it as dead or cut off.
func (r *Runner) Isolated() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.node.Isolated(time.Now())
}

// SetSeeds replaces the addresses at which a machine may answer.
func (r *Runner) SetSeeds(seeds []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.node.SetSeeds(seeds)
}

// Leave tells others that this machine ends as planned, and closes the runner.
func (r *Runner) Leave() {
	r.mutex.Lock()
	if !r.closed {
		r.apply(r.node.Leave(time.Now()))
	}
	r.mutex.Unlock()
	r.Close()
}

// Close closes the socket without a word to others.
func (r *Runner) Close() {
	r.mutex.Lock()
	wasClosed := r.closed
	r.closed = true
	r.timer.Stop()
	r.mutex.Unlock()
	if !wasClosed {
		_ = r.socket.Close()
	}
	<-r.done
}

// tick runs the node's timer and sets it anew.
func (r *Runner) tick() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	r.apply(r.node.Tick(time.Now()))
	r.timer.Reset(time.Until(r.node.Next()))
}

// read takes datagrams in until the socket is closed.
func (r *Runner) read() {
	defer close(r.done)
	buffer := make([]byte, receiveBufferSize)
	for {
		size, from, err := r.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.options.Log("read failed", err, "")
			time.Sleep(readErrorBackoff)
			continue
		}
		message, err := decode(r.systemTag, buffer[:size])
		if err != nil {
			r.options.Log("datagram dropped", err, from.String())
			continue
		}
		r.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), message)
	}
}

// receive hands a message to the node.
func (r *Runner) receive(from netip.AddrPort, message membership.Message) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.closed {
		r.apply(r.node.Receive(time.Now(), from.String(), message))
	}
}

// handle sends messages and reports changes. The caller holds the mutex.
func (r *Runner) apply(output membership.Output) {
	for _, envelope := range output.Messages {
		r.send(envelope)
	}
	if len(output.Changes) > 0 {
		r.publish()
		r.options.OnChange(output.Changes)
	}
}

// send sends one message. What can't be sent is lost, as any datagram may be.
func (r *Runner) send(envelope membership.Envelope) {
	address, err := netip.ParseAddrPort(envelope.Address)
	if err != nil {
		r.options.Log("bad address", err, envelope.Address)
		return
	}
	for _, data := range encode(r.systemTag, envelope.Message) {
		if _, err := r.socket.WriteToUDPAddrPort(data, address); err != nil {
			r.options.Log("datagram not sent", err, envelope.Address)
		}
	}
}

// publish makes the present view the one that Members returns.
func (r *Runner) publish() {
	list := r.node.Members()
	byName := make(map[string]membership.Update, len(list))
	for _, member := range list {
		byName[member.Member.Name] = member
	}
	r.members.Store(&Members{list: list, byName: byName})
}
