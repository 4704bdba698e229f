package control

import (
	"context"
	"errors"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Codes of errors that callers can distinguish.
const (
	// CodeUnknownMessage is the code of the error for a message that control doesn't handle.
	CodeUnknownMessage = "unknown-message"
)

// subscriber is a gateway or batch process that is connected to this process, with the versions that it has
// been sent. Messages on a connection arrive in order or the connection ends, so the versions that were sent
// are taken as the versions that the subscriber has. Its fields are guarded by Control.mutex.
type subscriber struct {
	process        protocol.Process
	firstContactAt time.Duration // when its first message was received
	lastPollAt     time.Duration
	configuration  uint64 // index of the configuration that it has reported or was sent
	servers        uint64 // version of the server list that it was sent; 0: none
	members        uint64 // version of the member list that it was sent completely
	controlMembers uint64 // version of the member list whose control processes it was sent
}

// handle processes a message of a session.
func (c *Control) handle(_ context.Context, session *transport.Session, message any) (any, error) {
	switch m := message.(type) {
	case protocol.Poll:
		return c.handlePoll(session, m), nil
	case protocol.QuotaRequest:
		return c.quota.Request(m)
	case peerReport:
		c.handleReport(session, &m)
		return nil, nil
	}
	return nil, transport.NewError(CodeUnknownMessage, "control doesn't handle this message")
}

// handlePoll answers a poll. Pending changes are pushed to the subscriber before the answer, so that the answer
// can't overtake a push that it depends on: when the subscriber receives the confirmation of a state, it already
// has that state.
func (c *Control) handlePoll(session *transport.Session, poll protocol.Poll) protocol.Update {
	age, fresh := c.staleness() // must precede reading the state that the answer confirms
	if poll.Process.Role == protocol.RoleBatch && !c.mayGrantLeases() {
		fresh = false
	}
	c.mutex.Lock()
	c.checkPause()
	sub := c.subscribe(session, poll)
	urgent := c.trustsSession(session) &&
		c.liveness.Observe(liveness.Contact{Process: poll.Process, Ready: poll.Ready, Batch: poll.Batch, At: c.now()})
	sub.configuration = poll.Configuration
	if poll.WholeServers {
		sub.servers = 0
	}
	c.push(session, sub, fresh)
	update := protocol.Update{Sequence: poll.Sequence, Fresh: fresh, Age: age}
	c.setListAge(&update)
	c.mutex.Unlock()
	if urgent {
		wake(c.wakeRoles)
		wake(c.wakeReport)
	}
	if poll.Process.Role == protocol.RoleBatch {
		update.Store = c.storeGrant(poll.Process, fresh, age)
	}
	return update
}

// subscribe returns the subscriber of a session, and creates it on the first poll. It is called with the mutex
// held.
func (c *Control) subscribe(session *transport.Session, poll protocol.Poll) *subscriber {
	sub, known := c.subscribers[session]
	if !known {
		sub = &subscriber{firstContactAt: c.now()}
		c.subscribers[session] = sub
		// If the session has already ended, OnClose calls the function immediately, while the mutex is held here.
		session.OnClose(func() { go c.unsubscribe(session) })
	}
	sub.process = poll.Process
	sub.lastPollAt = c.now()
	return sub
}

// unsubscribe drops the subscriber of a session that has closed.
func (c *Control) unsubscribe(session *transport.Session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.subscribers, session)
}

// pushLoop pushes changes to subscribers. Changes in quick succession are combined into one push.
func (c *Control) pushLoop() {
	for {
		select {
		case <-c.wakePush:
		case <-c.ctx.Done():
			return
		}
		c.refreshMembers()
		c.pushAll()
	}
}

// pushAll pushes pending changes to every subscriber.
func (c *Control) pushAll() {
	_, fresh := c.staleness()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for session, sub := range c.subscribers {
		c.push(session, sub, fresh)
	}
}

// setListAge sets the age of the server list that is held here.
func (c *Control) setListAge(update *protocol.Update) {
	update.ListRead = c.servers.version > 0
	update.ListAge = c.now() - c.servers.readAt
}

// push queues the changes that a subscriber doesn't have yet. A subscriber without a configuration is sent one
// only if this process confirms its state (fresh): the configuration of a partitioned process may be outdated,
// and the subscriber would start to serve with it. It is called with the mutex held.
func (c *Control) push(session *transport.Session, sub *subscriber, fresh bool) {
	update := protocol.Update{}
	if fresh || sub.configuration > 0 {
		update.Configuration = c.state.ConfigurationSince(sub.configuration)
	}
	if c.servers.version > sub.servers {
		update.Servers = c.servers.messageFrom(c.incarnation, sub.servers, c.now())
	}
	update.Members = c.membersFor(sub, fresh)
	if update.Configuration == nil && update.Servers == nil && update.Members == nil {
		return
	}
	c.setListAge(&update)
	if err := session.Push(update); err != nil {
		if !errors.Is(err, transport.ErrNotConnected) {
			c.log.Warn().Err(err).Str("to", sub.process.Node).Msg("push_failed")
		}
		return
	}
	if update.Configuration != nil {
		sub.configuration = update.Configuration.Index
	}
	sub.servers = c.servers.version
	if update.Members != nil {
		c.noteMembersSent(sub, update.Members)
	}
}
