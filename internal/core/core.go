// Package core owns the life of a transaction: it hands the decision module what happens, one event at a time
// under one mutex, and carries out what the module chooses. It must never decide anything itself, know a wire,
// or do input and output while it holds the mutex: fronts hand transactions in, a Carrier takes server-side
// flows out, and messages to peers and log lines leave after the mutex is free.
package core

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/recovery"
	"sprucelane.example/sprucelane/internal/storm"
	"sprucelane.example/sprucelane/policy"
)

type transaction struct {
	Request
	generation      *generation
	arrival         storm.Arrival
	answered        bool       // has its final answer
	inFlight        []*Attempt // those out, by number
	attemptsStarted int        // flows started
	timers          []*time.Timer
	actions         chan any // *Flow or Answer
}

// Core runs one decision module.
type Core struct {
	Clock
	carrier    Carrier
	sendToPeer func(peer int, message []byte)

	mu              sync.Mutex
	current         *generation   // in force
	retiring        []*generation // whose transactions go on to their end
	onSend          func(Sent)
	storm           *stormGuard // nil: storms are not damped
	recovery        *recovery.Recovery
	transactions    map[policy.RequestID]*transaction
	lastID          policy.RequestID
	shutDown        bool // all was given up, and what still comes is
	pendingMessages []peerMessage
	pendingLogs     []logLine
	counts          struct {
		taken, sent uint64
		answered    [answerKindCount]uint64
		ended       [endCount]uint64
	}
}

// line is a line for the log that waits for the mutex to be free.
type logLine struct {
	event string
	attrs []slog.Attr
}

type peerMessage struct {
	peer    int
	message []byte
}

// New gives a core round a new module. Where tell is nil the gateway has no way to its peers.
func New(set policy.Settings, seed uint64, clock Clock, carrier Carrier, toPeer func(int, []byte)) (*Core, error) {
	set.Peers = set.Peers && toPeer != nil
	c := &Core{Clock: clock, carrier: carrier, sendToPeer: toPeer, transactions: map[policy.RequestID]*transaction{}}
	first, err := c.newGeneration(0, set, seed)
	if err != nil {
		return nil, err
	}
	c.current = first
	c.recovery = recovery.New(clock.Now(), recovery.Options{PauseThreshold: set.ShortestTarget(), NearbyGateways: len(set.NearbyPeers())})
	return c, nil
}

// checkMargin is how long before the deadline a check has to end. A flow that still waits for its verdict when the
// module's time is over looks as if it may have run, and its client could not be told that it may come back.
const authorizeMargin = 25 * time.Millisecond

// Serve is the life of a transaction, from when a front has read it to its one final answer. It ends early when
// ctx does: the client has left and nobody is owed an answer.
func (c *Core) Serve(ctx context.Context, in Request) Answer {
	tx := &transaction{Request: in}
	known, wait := c.register(tx)
	if !known { // nothing ran: asking again, under the settings in force, is harmless
		return c.countAnswer(Answer{Kind: Refused})
	}
	if wait > 0 { // this process has just woken, and what it was told meanwhile is being read
		time.Sleep(wait)
	}
	if refused, wait := c.stormVerdict(tx); refused {
		return c.countAnswer(Answer{Kind: Refused, RetryAfter: wait})
	}
	verdict, wait := Active, time.Duration(0)
	if in.Authorize != nil {
		verdict, wait = in.Authorize(in.Deadline - authorizeMargin)
	}
	// Without a right to go on, or a client, it is over, and the module need not hear of it: it draws nothing and takes no turn.
	if gone := ctx.Err() != nil; gone || verdict != Active {
		c.mu.Lock()
		c.close(tx)
		c.mu.Unlock()
		switch {
		case gone:
			return c.countAnswer(Answer{Kind: ClientGone})
		case verdict == Inactive:
			return c.countAnswer(Answer{Kind: Unauthorized})
		}
		return c.countAnswer(Answer{Kind: Refused, Attempted: true, RetryAfter: c.refusalWait(tx, wait)}) // nothing ran: asking again is harmless
	}
	c.handle(func(now Time) { tx.generation.module.Request(now, tx.Request.Request) })
	checked := len(tx.actions) > 0 // a verdict holds for what is sent on now, not for what is held or tried again
	for {
		select {
		case order := <-tx.actions:
			switch order := order.(type) {
			case *Attempt:
				order.recheck = in.Authorize != nil && !checked
				checked = false
				go c.carryAttempt(order)
			case Answer:
				return c.countAnswer(order)
			}
		case <-ctx.Done():
			c.clientLeft(tx)
			for len(tx.actions) > 0 { // a flow ordered meanwhile has an end to report, though it is never sent
				switch order := (<-tx.actions).(type) {
				case *Attempt:
					go c.carryAttempt(order)
				case Answer:
					order.Discard()
				}
			}
			return c.countAnswer(Answer{Kind: ClientGone})
		}
	}
}

// take numbers the transaction. The number is a counter: the module shifts it into timer tags, which a
// client's own id would overflow. It tells whether there still is a module of the settings that it was read under, and how
// long to wait before it is asked. What may have lain here while the process stood still has so much less time left.
func (c *Core) register(tx *transaction) (known bool, wait time.Duration) {
	c.handle(func(now Time) {
		c.counts.taken++
		if tx.generation = c.generationByNumber(tx.Generation); tx.generation == nil || c.shutDown {
			return
		}
		lain, settles := c.recovery.RequestRead(now, tx.Deadline-now)
		tx.Deadline -= lain
		c.lastID++
		tx.ID = c.lastID
		c.transactions[tx.ID] = tx
		tx.generation.openTransactions++
		tx.actions = make(chan any, max(1, tx.generation.cfg.MaxAttempts)+2) // room for what the module may order
		known, wait = true, settles
	})
	return known, wait
}

// forget drops a transaction that nothing more comes for. The mutex is held.
func (c *Core) remove(tx *transaction) {
	if c.transactions[tx.ID] == tx {
		delete(c.transactions, tx.ID)
		tx.generation.openTransactions--
		c.prune()
	}
}

// leave tells the module that the client has left, unless the final answer crossed that.
func (c *Core) clientLeft(tx *transaction) {
	c.handle(func(now Time) {
		if !tx.answered {
			c.close(tx)
			c.storm.recordFailed(now, tx)
			tx.generation.module.ClientGone(now, tx.ID)
		}
	})
}

// event hands the module one event, and carries out what it ordered of the outside once the mutex is free.
func (c *Core) handle(happen func(now Time)) {
	tells, lines := c.handleLocked(happen)
	for _, t := range tells {
		c.sendToPeer(t.peer, t.message)
	}
	for _, l := range lines {
		slog.LogAttrs(context.Background(), slog.LevelInfo, l.event, l.attrs...)
	}
}

// locked frees the mutex whatever happens: a panic on a virtual server's goroutine ends one connection, and must
// not leave all others waiting.
func (c *Core) handleLocked(happen func(now Time)) (tells []peerMessage, lines []logLine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	if still := c.recovery.Event(now); still > 0 {
		c.resumed(now, still)
	}
	happen(now)
	c.checkRecovery(now)
	tells, lines = c.pendingMessages, c.pendingLogs
	c.pendingMessages, c.pendingLogs = nil, nil
	return tells, lines
}

// final queues the one final answer. The mutex is held.
func (c *Core) finish(tx *transaction, a Answer) {
	if !tx.answered {
		c.close(tx)
		tx.actions <- a
	}
}

func (c *Core) close(tx *transaction) {
	tx.answered = true
	for _, timer := range tx.timers { // each that runs out wakes the process for nothing
		timer.Stop()
	}
	tx.timers = nil
	if len(tx.inFlight) == 0 {
		c.remove(tx)
	}
}

// GiveUp gives all open transactions the final answer that their modules permit now: the process is about to end. What is
// taken afterwards is refused at once.
func (c *Core) Shutdown() {
	c.handle(func(now Time) {
		c.shutDown = true
		for _, e := range append([]*generation{c.current}, c.retiring...) {
			e.module.AnswerAll(now)
		}
	})
}

// Servers hands a list from discovery in.
func (c *Core) Servers(kind policy.ListKind, list []policy.ServerInfo) {
	c.handle(func(now Time) {
		if kind == policy.ListCached {
			c.recovery.Received(recovery.Cached)
		} else {
			c.recovery.Received(recovery.Discovery)
		}
		for _, e := range append([]*generation{c.current}, c.retiring...) {
			e.module.Servers(now, kind, list)
		}
	})
}

// Learn shows what the module has seen of the pool members and hands it the priors that come back, in one step. The
// mutex is held meanwhile: what weighs must do no input or output.
func (c *Core) UpdatePriors(weigh func(now Time, seen []policy.Observation) []policy.Prior) {
	c.handle(func(now Time) {
		if priors := weigh(now, c.current.module.Observe(now)); len(priors) > 0 {
			c.current.module.SetPriors(now, priors)
		}
	})
}

// Crowd shows what is out at the pool members and what failed there, and hands the module what weigh makes of others' word.
func (c *Core) ExchangeLoads(weigh func(now Time, own map[policy.ServerID]policy.OwnLoad) []policy.Load) {
	c.handle(func(now Time) { c.current.module.SetOthersLoads(now, weigh(now, c.current.module.OwnLoads(now))) })
}

// PeerMessage hands a peer's datagram in.
func (c *Core) PeerMessage(from int, message []byte) {
	c.handle(func(now Time) { c.current.module.PeerMessage(now, from, message) })
}
