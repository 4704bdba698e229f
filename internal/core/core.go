package core

import (
	"context"
	"log/slog"
	"sync"

	"sprucelane.example/sprucelane/internal/recovery"
	"sprucelane.example/sprucelane/policy"
)

// Core serves transactions by the decisions of a policy.Gateway, and of those of earlier settings.
type Core struct {
	Clock
	carrier    Carrier
	sendToPeer func(peer int, message []byte) // nil where there are no messages between gateways

	// mu guards what follows, the generations' gateways, and the mutable fields of transactions and attempts.
	mu           sync.Mutex
	current      *generation
	retiring     []*generation // of earlier settings, with transactions that still go on
	onSend       func(Sent)    // nil, or called for each attempt that is started
	storm        *stormGuard   // nil: storms are not controlled
	recovery     *recovery.Recovery
	transactions map[policy.RequestID]*transaction // those that something may still come for
	lastID       policy.RequestID
	shutDown     bool // all transactions were answered, and new ones are refused

	pendingMessages []peerMessage // they leave when mu is free, as do log lines
	pendingLogs     []logLine

	counts struct {
		taken, sent uint64 // transactions taken in, attempts started
		answered    [answerKindCount]uint64
		ended       [endCount]uint64
	}
}

// logLine is a log line that waits for the mutex to be free.
type logLine struct {
	event string
	attrs []slog.Attr
}

// peerMessage is a message that waits for the mutex to be free.
type peerMessage struct {
	peer    int
	message []byte
}

// New makes a Core with a new policy.Gateway. The seed is that gateway's. sendToPeer is nil where there is no way to
// send messages to peers; it must not block. The error is that of policy.New.
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

// handle takes one event in, and then sends the messages and writes the log lines that came of it.
func (c *Core) handle(event func(now Time)) {
	messages, logs := c.handleLocked(event)
	for _, m := range messages {
		c.sendToPeer(m.peer, m.message)
	}
	for _, l := range logs {
		slog.LogAttrs(context.Background(), slog.LevelInfo, l.event, l.attrs...)
	}
}

// handleLocked takes one event in under the mutex, which a panic must free, too: it ends one connection of a front
// and must not leave all others waiting.
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

// Shutdown gives all transactions the final answers that their gateways permit now, as the process is about to end.
// Transactions that come afterwards are refused at once.
func (c *Core) Shutdown() {
	c.handle(func(now Time) {
		c.shutDown = true
		for _, g := range c.generations() {
			g.gateway.AnswerAll(now)
		}
	})
}

// Servers takes a server list of discovery in.
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

// UpdatePriors gives estimate what the gateway has measured of its servers, and takes in the priors that it returns,
// in one event. The mutex is held: estimate must do no input or output.
func (c *Core) UpdatePriors(estimate func(now Time, measured []policy.Observation) []policy.Prior) {
	c.handle(func(now Time) {
		if priors := estimate(now, c.current.gateway.Observe(now)); len(priors) > 0 {
			c.current.gateway.SetPriors(now, priors)
		}
	})
}

// ExchangeLoads gives weigh the load that this gateway puts on each server, and takes in the loads of others that it
// returns, in one event. The mutex is held: weigh must do no input or output.
func (c *Core) ExchangeLoads(weigh func(now Time, own map[policy.ServerID]policy.OwnLoad) []policy.Load) {
	c.handle(func(now Time) {
		c.current.gateway.SetPeerLoads(now, weigh(now, c.current.gateway.OwnLoads(now)))
	})
}

// PeerMessage takes a peer's message in.
func (c *Core) PeerMessage(from int, message []byte) {
	c.handle(func(now Time) { c.current.gateway.PeerMessage(now, from, message) })
}
