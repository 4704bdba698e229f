package replica

import (
	"context"
	"net"
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/coord/view"
)

const (
	maxFrameBytes     = 64 << 20
	idleConnection    = 10 * time.Second // a connection that nothing was sent on for so long is closed
	housekeepInterval = 2 * time.Second
	sendQueue         = 4096
)

func init() { transport.RegisterNamed(wireTypes()...) }

// network carries a node's messages: voters are dialled; everybody else is answered over the
// connection that it opened.
type network struct {
	node      *Node
	options   transport.Options
	server    *transport.Server
	outbound  map[string]*outbound // by address; used on the loop only
	swept     time.Time
	sessionMu sync.Mutex
	sessions  map[string]*transport.Session // by ID of the member
}

type outbound struct {
	client *transport.Client
	ready  chan struct{} // closed once client is set
	usedAt time.Time
}

func newNetwork(n *Node, member view.Member) *network {
	identity := n.options.Identity
	identity.Address = member.Address
	identity.Incarnation = member.Incarnation
	return &network{
		node: n,
		options: transport.Options{
			Identity: identity,
			Dial:     n.options.Dial,
			MaxFrame: maxFrameBytes,
			Queue:    sendQueue,
		},
		outbound: make(map[string]*outbound),
		sessions: make(map[string]*transport.Session),
		swept:    time.Now(),
	}
}

func memberOf(identity transport.Identity) view.Member {
	return view.Member{Node: identity.Node, Address: identity.Address, Incarnation: identity.Incarnation}
}

func (w *network) serve(listener net.Listener) {
	w.server = transport.Serve(listener, w.options, w.handle)
}

// handle takes in a message of a session.
func (w *network) handle(_ context.Context, session *transport.Session, message any) (any, error) {
	from := memberOf(session.Remote())
	w.keep(from, session)
	w.receive(from, message)
	return nil, nil
}

func (w *network) receive(from view.Member, message any) {
	_ = w.node.input(context.Background(), func() { w.node.core.step(w.node.now(), from, message) })
}

// keep remembers the session over which a member is answered.
func (w *network) keep(from view.Member, session *transport.Session) {
	w.sessionMu.Lock()
	defer w.sessionMu.Unlock()
	if w.sessions[from.ID()] == session {
		return
	}
	w.sessions[from.ID()] = session
	go func() {
		<-session.Done()
		w.sessionMu.Lock()
		defer w.sessionMu.Unlock()
		if w.sessions[from.ID()] == session {
			delete(w.sessions, from.ID())
		}
	}()
}

// send sends a message, or loses it: the protocol repeats what matters.
func (w *network) send(m envelope) {
	if m.to.Incarnation != "" && !w.node.core.view().IsVoter(m.to) {
		w.sessionMu.Lock()
		session := w.sessions[m.to.ID()]
		w.sessionMu.Unlock()
		if session != nil {
			_ = session.Push(m.body)
			return
		}
	}
	w.dial(m)
}

func (w *network) dial(m envelope) {
	out := w.outbound[m.to.Address]
	if out == nil {
		out = &outbound{ready: make(chan struct{})}
		out.client = transport.NewClient(m.to.Address, w.options, w.pushed(out), nil)
		close(out.ready)
		w.outbound[m.to.Address] = out
	}
	out.usedAt = time.Now()
	if !out.client.Connected() {
		return
	}
	actual := memberOf(out.client.Remote())
	if m.to.Incarnation != "" && !actual.Same(m.to) {
		w.node.core.stranger(w.node.now(), actual)
		return
	}
	_ = out.client.Send(m.body)
}

// pushed takes in what comes back over a connection that this node opened.
func (w *network) pushed(out *outbound) func(any) {
	return func(message any) {
		<-out.ready
		w.receive(memberOf(out.client.Remote()), message)
	}
}

// housekeep closes connections that aren't used any more.
func (w *network) housekeep() {
	if time.Since(w.swept) < housekeepInterval {
		return
	}
	w.swept = time.Now()
	for address, out := range w.outbound {
		if time.Since(out.usedAt) > idleConnection {
			out.client.Close()
			delete(w.outbound, address)
		}
	}
}

func (w *network) close() {
	if w.server != nil {
		w.server.Close()
	}
	for _, out := range w.outbound {
		out.client.Close()
	}
}
