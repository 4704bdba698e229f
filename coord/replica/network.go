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
	// maxFrameBytes bounds one message. A snapshot of the state machine must fit into it.
	maxFrameBytes = 64 << 20
	// sendQueueLength is the number of messages that may be queued for one connection; further ones are dropped.
	sendQueueLength = 4096
	// idleTimeout is the time after which a connection on which nothing was sent is closed.
	idleTimeout = 10 * time.Second
	// sweepInterval is the time between two searches for idle connections.
	sweepInterval = 2 * time.Second
)

func init() { transport.RegisterNamed(wireTypes()...) }

// network sends and receives a node's messages. It dials voters. Messages to other members are sent over the
// connection that these members opened, because they may be unreachable from this node.
type network struct {
	node    *Node
	options transport.Options
	server  *transport.Server

	outbound map[string]*outbound // by address; used by the loop only
	sweptAt  time.Time            // used by the loop only

	sessionsMu sync.Mutex
	sessions   map[string]*transport.Session // newest open session by member ID; guarded by sessionsMu
}

// outbound is a connection that this node opened.
type outbound struct {
	client *transport.Client
	ready  chan struct{} // closed once client is set
	usedAt time.Time
}

// newNetwork returns the network of a member. It accepts connections only after serve is called.
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
			Queue:    sendQueueLength,
		},
		outbound: make(map[string]*outbound),
		sessions: make(map[string]*transport.Session),
		sweptAt:  time.Now(),
	}
}

// memberOf returns the member identified by a transport identity.
func memberOf(identity transport.Identity) view.Member {
	return view.Member{Node: identity.Node, Address: identity.Address, Incarnation: identity.Incarnation}
}

// serve accepts connections.
func (n *network) serve(listener net.Listener) {
	n.server = transport.Serve(listener, n.options, n.handle)
}

// handle handles a message of a session that the other side opened.
func (n *network) handle(_ context.Context, session *transport.Session, message any) (any, error) {
	from := memberOf(session.Remote())
	n.rememberSession(from, session)
	n.receive(from, message)
	return nil, nil
}

// receive queues a message for the loop. It blocks while the queue of the loop is full, which slows down the sender.
func (n *network) receive(from view.Member, message any) {
	_ = n.node.enqueue(context.Background(), func() { n.node.core.step(n.node.now(), from, message) })
}

// rememberSession keeps the session, until it closes, for sending messages to the member.
func (n *network) rememberSession(from view.Member, session *transport.Session) {
	n.sessionsMu.Lock()
	defer n.sessionsMu.Unlock()
	if n.sessions[from.ID()] == session {
		return
	}
	n.sessions[from.ID()] = session
	go func() {
		<-session.Done()
		n.sessionsMu.Lock()
		defer n.sessionsMu.Unlock()
		if n.sessions[from.ID()] == session {
			delete(n.sessions, from.ID())
		}
	}()
}

// send sends a message, or drops it if it can't be sent now: the protocol retransmits messages that it needs.
func (n *network) send(m envelope) {
	if m.to.Incarnation != "" && !n.node.core.view().IsVoter(m.to) {
		n.sessionsMu.Lock()
		session := n.sessions[m.to.ID()]
		n.sessionsMu.Unlock()
		if session != nil {
			_ = session.Push(m.body)
			return
		}
	}
	n.sendOutbound(m)
}

// sendOutbound sends a message over a connection that this node opens. If there is none, it starts to open one.
// Messages are dropped until the connection is open. A message to a member whose address is now used by another
// incarnation is dropped, too.
func (n *network) sendOutbound(m envelope) {
	out := n.outbound[m.to.Address]
	if out == nil {
		out = &outbound{ready: make(chan struct{})}
		out.client = transport.NewClient(m.to.Address, n.options, n.onPush(out), nil)
		close(out.ready)
		n.outbound[m.to.Address] = out
	}
	out.usedAt = time.Now()
	if !out.client.Connected() {
		return
	}
	actual := memberOf(out.client.Remote())
	if m.to.Incarnation != "" && !actual.Same(m.to) {
		n.node.core.onIncarnationMismatch(n.node.now(), actual)
		return
	}
	_ = out.client.Send(m.body)
}

// onPush returns the handler of messages that the other side sends over a connection that this node opened. The
// handler may run before NewClient has returned, so it waits until out.client is set.
func (n *network) onPush(out *outbound) func(any) {
	return func(message any) {
		<-out.ready
		n.receive(memberOf(out.client.Remote()), message)
	}
}

// closeIdle closes connections on which nothing was sent for idleTimeout.
func (n *network) closeIdle() {
	if time.Since(n.sweptAt) < sweepInterval {
		return
	}
	n.sweptAt = time.Now()
	for address, out := range n.outbound {
		if time.Since(out.usedAt) > idleTimeout {
			out.client.Close()
			delete(n.outbound, address)
		}
	}
}

// close closes all connections.
func (n *network) close() {
	if n.server != nil {
		n.server.Close()
	}
	for _, out := range n.outbound {
		out.client.Close()
	}
}
