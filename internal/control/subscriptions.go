package control

import (
	"context"
	"errors"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Codes of refusals that callers can tell apart.
const (
	// CodeUnknownMessage is of a message that control doesn't handle.
	CodeUnknownMessage = "unknown-message"
)

// freshMost is how old this process's proof of what it knows may be where it vouches. One that is cut off from the others falls
// over it at once, and whom it serves turn to another; heartbeats keep it at a third of that.
const maxStaleness = 800 * time.Millisecond

// fresh gives the age of what is known here: all that was acknowledged longer ago is applied. False: it is too old to vouch.
func (c *Control) staleness() (time.Duration, bool) {
	age, proven := c.replica.Staleness()
	return age, proven && age <= maxStaleness
}

// subscriber is a gateway or batch process with a connection to this process. What was queued on a connection arrives, in order,
// or the connection ends: what was sent is what the other side has.
type subscriber struct {
	process        protocol.Process
	firstContactAt time.Duration // first heard
	lastPollAt     time.Duration
	configuration  uint64
	servers        uint64
	members        uint64 // version of the list of processes that it was told whole
	controlMembers uint64 // ... of which it was told the control processes
}

// handle answers the messages of one session.
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

// handlePoll answers a poll. What the asker lacks is pushed ahead of the answer, so that a push that is due at the same time
// can't be overtaken by it.
func (c *Control) handlePoll(session *transport.Session, poll protocol.Poll) protocol.Update {
	age, fresh := c.staleness() // before anything is looked at that is vouched for
	if poll.Process.Role == protocol.RoleBatch && !c.mayGrantLeases() {
		fresh = false
	}
	c.mutex.Lock()
	c.checkPause()
	one := c.subscribe(session, poll)
	news := c.trustsSession(session) &&
		c.liveness.Observe(liveness.Contact{Process: poll.Process, Ready: poll.Ready, Batch: poll.Batch, At: c.now()})
	one.configuration = poll.Configuration
	if poll.WholeServers {
		one.servers = 0
	}
	c.push(session, one, fresh)
	update := protocol.Update{Sequence: poll.Sequence, Fresh: fresh, Age: age}
	c.setListAge(&update)
	c.mutex.Unlock()
	if news {
		wake(c.wakeRoles)
	}
	if poll.Process.Role == protocol.RoleBatch {
		update.Store = c.storeGrant(poll.Process, fresh, age)
	}
	return update
}

func (c *Control) subscribe(session *transport.Session, poll protocol.Poll) *subscriber {
	one, known := c.subscribers[session]
	if !known {
		one = &subscriber{firstContactAt: c.now()}
		c.subscribers[session] = one
		session.OnClose(func() { go c.unsubscribe(session) })
	}
	one.process = poll.Process
	one.lastPollAt = c.now()
	return one
}

func (c *Control) unsubscribe(session *transport.Session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.subscribers, session)
}

// grantsLeases tells whether this process may grant leases: in the chain, so that nobody is evicted unheard of while it says nothing
// of who polls here. One outside of it is fresh through another, and the head may not hear it.
func (c *Control) mayGrantLeases() bool { return c.replica.View().InChain(c.replica.Self()) }

// storeGrant gives a batch process's right to act. It is given only by a process that can vouch for the set, and shortened by the
// age of what that knows: whoever is under suspicion has no right left StoreLease after that was acknowledged.
func (c *Control) storeGrant(process protocol.Process, fresh bool, age time.Duration) *protocol.StoreGrant {
	view := c.state.Stores()
	grant := &protocol.StoreGrant{Epoch: view.Epoch}
	for i := range view.Members {
		if fresh && view.Members[i].Process == process {
			grant.Member = true
			if c.environment.leaseSuspected || c.state.Suspicion(process.Node, process.Incarnation) == 0 {
				grant.Lease = liveness.StoreLease - age
			}
		}
	}
	return grant
}

// pushLoop tells subscribers what has changed. Changes that come together go together.
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

func (c *Control) pushAll() {
	_, fresh := c.staleness()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for session, one := range c.subscribers {
		c.push(session, one, fresh)
	}
}

// ageList tells how old the list of servers is that is held here.
func (c *Control) setListAge(update *protocol.Update) {
	update.ListRead = c.servers.version > 0
	update.ListAge = c.now() - c.servers.readAt
}

// push queues what a subscriber lacks. One that begins gets a configuration only where this process vouches for it: what is held by
// one that is cut off may be old, and the subscriber would serve by it.
func (c *Control) push(session *transport.Session, one *subscriber, fresh bool) {
	update := protocol.Update{}
	if fresh || one.configuration > 0 {
		update.Configuration = c.state.ConfigurationSince(one.configuration)
	}
	if c.servers.version > one.servers {
		update.Servers = c.servers.messageFrom(c.incarnation, one.servers, c.now())
	}
	update.Members = c.membersFor(one, fresh)
	if update.Configuration == nil && update.Servers == nil && update.Members == nil {
		return
	}
	c.setListAge(&update)
	if err := session.Push(update); err != nil {
		if !errors.Is(err, transport.ErrNotConnected) {
			c.log.Warn().Err(err).Str("to", one.process.Node).Msg("push-failed")
		}
		return
	}
	if update.Configuration != nil {
		one.configuration = update.Configuration.Index
	}
	one.servers = c.servers.version
	if update.Members != nil {
		c.noteMembersSent(one, update.Members)
	}
}

// membersFor gives the list of processes where a subscriber lacks it, or nil. The set of batch processes is told only where this
// process vouches for it: what one holds that has just started, or that is cut off, may have ended long ago.
func (c *Control) membersFor(one *subscriber, fresh bool) *protocol.MemberList {
	if !fresh {
		if c.memberList.Version <= max(one.members, one.controlMembers) {
			return nil
		}
		return &protocol.MemberList{Version: c.memberList.Version, Control: c.memberList.Control}
	}
	c.refreshStores() // what is at hand may be of before the proof
	if c.memberList.Version <= one.members {
		return nil
	}
	list := c.memberList
	list.Vouched = true
	return &list
}

// takeStores brings the set of batch processes, and where quotas are, up to date with the chain's state.
func (c *Control) refreshStores() {
	stores, address := c.state.Stores(), c.quotaAddress()
	if !stores.Newer(c.memberList.Stores) && address == c.memberList.QuotaAddress {
		return
	}
	c.memberList.Stores, c.memberList.QuotaAddress = stores, address
	c.memberList.Version++
}

func (c *Control) noteMembersSent(one *subscriber, list *protocol.MemberList) {
	one.controlMembers = list.Version
	if !list.Vouched {
		return
	}
	one.members = list.Version
	if one.process.Role == protocol.RoleBatch {
		c.log.Info().Str("to", one.process.Node).Uint64("epoch", list.Stores.Epoch).Bool("settled", list.Stores.Settled).
			Int("departed", len(list.Stores.Departed)).Msg("store-view-told")
	}
}
