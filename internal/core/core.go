package core

import (
	"context"
	"log/slog"
	"sync"

	"sprucelane.example/sprucelane/internal/recovery"
	"sprucelane.example/sprucelane/policy"
)

// Core serves transactions by the decisions of the current generation's policy.Gateway and of those of the earlier
// generations that still have open transactions.
type Core struct {
	Clock
	carrier    Carrier
	sendToPeer func(peer int, message []byte) // nil where there are no messages between gateways

	// mu guards the fields below, the generations' gateways, and the mutable fields of transactions and attempts.
	mu           sync.Mutex
	current      *generation
	retiring     []*generation // earlier ones that have, or may still get, open transactions
	onSend       func(Sent)    // nil, or called for each attempt that is started
	storm        *stormGuard   // nil: storm control is off
	recovery     *recovery.Recovery
	transactions map[policy.RequestID]*transaction // unanswered or with attempts in flight
	lastID       policy.RequestID
	shutDown     bool // Shutdown was called: open transactions were answered, new ones are refused

	pendingMessages []peerMessage // sent after mu is released; pendingLogs are written then, too
	pendingLogs     []logLine

	counts struct {
		taken, sent uint64 // transactions received, attempts started
		answered    [answerKindCount]uint64
		ended       [endCount]uint64
	}
}

// logLine is a log line that is written after the mutex is released.
type logLine struct {
	event string
	attrs []slog.Attr
}

// peerMessage is a message that is sent after the mutex is released.
type peerMessage struct {
	peer    int
	message []byte
}

// New returns a Core with a new policy.Gateway, whose random choices follow seed. sendToPeer sends a message to a peer
// and must not block; nil means that there is no way to send one. The error is that of policy.New.
func New(
	cfg policy.Settings, seed uint64, clock Clock, carrier Carrier, sendToPeer func(peer int, message []byte),
) (*Core, error) {
	cfg.Peers = cfg.Peers && sendToPeer != nil
	c := &Core{Clock: clock, carrier: carrier, sendToPeer: sendToPeer,
		transactions: map[policy.RequestID]*transaction{}}
	first, err := c.newGeneration(0, cfg, seed)
	if err != nil {
		return nil, err
	}
	c.current = first
	c.recovery = recovery.New(clock.Now(),
		recovery.Options{PauseThreshold: cfg.ShortestTarget(), NearbyGateways: len(cfg.NearbyPeers())})
	return c, nil
}

// handle handles one event, then sends the messages and writes the log lines that were queued for it.
func (c *Core) handle(event func(now Time)) {
	messages, logs := c.handleLocked(event)
	for _, m := range messages {
		c.sendToPeer(m.peer, m.message)
	}
	for _, l := range logs {
		slog.LogAttrs(context.Background(), slog.LevelInfo, l.event, l.attrs...)
	}
}

// handleLocked handles one event under the mutex and returns the queued messages and log lines. The mutex is
// released also on a panic, because a panic ends only one connection of a front and the others must go on.
func (c *Core) handleLocked(event func(now Time)) (messages []peerMessage, logs []logLine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	if pause := c.recovery.Event(now); pause > 0 {
		c.resumed(now, pause)
	}
	event(now)
	c.checkRecovery(now)
	messages, logs = c.pendingMessages, c.pendingLogs
	c.pendingMessages, c.pendingLogs = nil, nil
	return messages, logs
}

// Shutdown gives all transactions the final answers that their gateways permit now, because the process is about to
// exit. Later transactions are refused at once.
func (c *Core) Shutdown() {
	c.handle(func(now Time) {
		c.shutDown = true
		for _, g := range c.generations() {
			g.gateway.AnswerAll(now)
		}
	})
}

// Servers handles a server list from discovery.
func (c *Core) Servers(kind policy.ListKind, list []policy.ServerInfo) {
	c.handle(func(now Time) {
		if kind == policy.ListCached {
			c.recovery.Received(recovery.Cached)
		} else {
			c.recovery.Received(recovery.Discovery)
		}
		for _, g := range c.generations() {
			g.gateway.Servers(now, kind, list)
		}
	})
}

// UpdatePriors passes the current gateway's measurements of its servers to estimate and applies the priors that it
// returns, as one event. estimate is called with the mutex held and must do no I/O.
func (c *Core) UpdatePriors(estimate func(now Time, measured []policy.Observation) []policy.Prior) {
	c.handle(func(now Time) {
		if priors := estimate(now, c.current.gateway.Observe(now)); len(priors) > 0 {
			c.current.gateway.SetPriors(now, priors)
		}
	})
}

// ExchangeLoads passes the load that this gateway puts on each server to weigh and applies the other gateways' loads
// that it returns, as one event. weigh is called with the mutex held and must do no I/O.
func (c *Core) ExchangeLoads(weigh func(now Time, own map[policy.ServerID]policy.OwnLoad) []policy.Load) {
	c.handle(func(now Time) {
		c.current.gateway.SetPeerLoads(now, weigh(now, c.current.gateway.OwnLoads(now)))
	})
}

// PeerMessage handles a message from another gateway.
func (c *Core) PeerMessage(from int, message []byte) {
	c.handle(func(now Time) { c.current.gateway.PeerMessage(now, from, message) })
}
