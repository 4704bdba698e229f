package datagram

// This file requests snapshots from peers, answers their requests, and applies the received snapshots.

import (
	"context"
	"strconv"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/knowledge"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/helper"
)

// requestTimes are the times since its start at which a gateway requests snapshots: answers may be lost, and stalls
// change until the gateway has used the members itself.
var requestTimes = []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond,
	1600 * time.Millisecond, 3 * time.Second}

const (
	learningPeriod    = 6 * time.Second        // since the start; later snapshots are ignored
	updateInterval    = 100 * time.Millisecond // between two updates of the priors in the learning period
	minAnswerInterval = 80 * time.Millisecond  // between two answers to the same peer
	minAnswerAge      = 10 * time.Second       // a gateway that has run for less has little to report
)

// Exchange is one gateway's part in the exchange. It is safe for concurrent use.
type Exchange struct {
	gateway   helper.PriorConsumer
	send      func(peer int, message []byte)
	now       func() knowledge.Time
	startedAt knowledge.Time
	gateways  int // number of gateways
	self      int // number of this gateway

	mu         sync.Mutex // guards the fields below
	table      *knowledge.Table
	listed     []knowledge.Observation // this gateway's latest
	seq        uint64                  // of received snapshots
	answeredAt []knowledge.Time        // when each peer was last answered; 0: never
	learning   bool                    // within the learning period
	counts     Counts
}

// Counts are the messages and priors of an exchange.
type Counts struct {
	Requests  uint64 // rounds of requests
	Answers   uint64 // sent
	Received  uint64 // snapshots
	Malformed uint64 // snapshots that were dropped
	Priors    uint64 // passed to the gateway
}

// New returns the exchange of gateway number self; gateways is their total number. send sends a datagram to a
// gateway by its number; maxRoom is knowledge.Options.MaxRoom.
func New(gateway helper.PriorConsumer, send func(int, []byte), now func() knowledge.Time, self, gateways int,
	maxRoom float64) *Exchange {
	return &Exchange{gateway: gateway, send: send, now: now, startedAt: now(), gateways: gateways, self: self,
		learning: true, answeredAt: make([]knowledge.Time, gateways),
		table: knowledge.New(knowledge.Options{Self: observer(self), MaxRoom: maxRoom})}
}

// observer returns a gateway as an observer. Its incarnation is irrelevant, as facts are used only after a start.
func observer(gateway int) knowledge.Observer {
	return knowledge.Observer{Name: strconv.Itoa(gateway), Birth: 1}
}

// Run requests snapshots and applies priors until the learning period or ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	tick := time.NewTicker(updateInterval)
	defer tick.Stop()
	left := requestTimes
	for age := time.Duration(0); age < learningPeriod; age = e.now() - e.startedAt {
		if len(left) > 0 && age >= left[0] {
			left = left[1:]
			for p := range e.gateways {
				if p != e.self {
					e.send(p, []byte{kindRequest, formatVersion})
				}
			}
			e.mu.Lock()
			e.counts.Requests++
			e.mu.Unlock()
		}
		e.updatePriors()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
	e.mu.Lock()
	e.learning = false
	e.mu.Unlock()
}

// updatePriors applies the priors that follow from the facts received so far.
func (e *Exchange) updatePriors() {
	state, at := e.gateway.Observe()
	now := e.now()
	e.mu.Lock()
	e.listed = state.Own
	priors := e.table.Update(now, state.Own, state.Deaf, state.Blind)
	e.counts.Priors += uint64(len(priors))
	e.mu.Unlock()
	e.gateway.ApplyPriors(priors, at)
}

// Receive handles a peer's datagram: it answers a request, and merges a snapshot during the learning period.
func (e *Exchange) Receive(from int, m []byte) {
	if from < 0 || from >= e.gateways || from == e.self || !IsMessage(m) {
		return
	}
	now := e.now()
	e.mu.Lock()
	learning, sinceAnswer := e.learning, now-e.answeredAt[from]
	switch {
	case m[0] == kindRequest && m[1] == formatVersion && now-e.startedAt >= minAnswerAge &&
		(e.answeredAt[from] == 0 || sinceAnswer >= minAnswerInterval):
		e.answeredAt[from] = now
		e.counts.Answers++
		e.mu.Unlock()
		state, _ := e.gateway.Observe()
		e.send(from, Encode(state))
		return
	case m[0] == kindSnapshot && learning:
		e.seq++
		facts, ok := Decode(m, observer(from), e.seq, e.listed)
		if !ok {
			e.counts.Malformed++
			break
		}
		e.counts.Received++
		e.table.Receive(now, facts)
		e.mu.Unlock()
		e.updatePriors()
		return
	}
	e.mu.Unlock()
}

// Counters returns the counts.
func (e *Exchange) Counters() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}
