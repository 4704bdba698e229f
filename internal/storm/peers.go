package storm

// This file has the exchange of messages with the guards of other gateways.

import (
	"math"
)

// peerTTL is how long a peer's last message is used.
const peerTTL = 4 * TickInterval

// peer is the last message of another gateway.
type peer struct {
	receivedAt Time
	known      bool // a message was received
	message    Message
}

// fresh reports whether there is a message that is not older than peerTTL.
func (p *peer) fresh(now Time) bool { return p.known && now-p.receivedAt <= peerTTL }

// Receive handles a message from a peer. Invalid, duplicate and reordered messages are dropped.
func (g *Guard) Receive(now Time, from int, message []byte) {
	g.start(now)
	m, ok := Decode(message)
	if !ok || from < 0 || from >= len(g.peers) || from == g.opt.Self {
		g.stats.MessagesDropped++
		return
	}
	p := &g.peers[from]
	if p.fresh(now) && int8(m.Seq-p.message.Seq) <= 0 {
		g.stats.MessagesDropped++
		return
	}
	g.stats.MessagesReceived++
	*p = peer{now, true, m}
}

// message returns the message for the peers; nil: there is nothing to report.
func (g *Guard) message(now Time) []byte {
	if g.phase == Calm || g.confidence < minConfidence && now-g.phaseSince > window {
		return nil
	}
	here := g.recent()
	g.seq++
	m := Message{Phase: g.phase, Confidence: math.Max(g.confidence, minConfidence), Seq: g.seq,
		FirstAttempts: here.FirstAttempts, Retries: here.Retries, InTime: here.InTime, Failed: here.Late + here.Failed,
		Limit: g.limit, Baseline: g.baselineRate()}
	for s := g.firstSlot; s < g.firstSlot+int64(slotCount); s++ {
		second := int((Time(s)*slotDuration - now).Seconds())
		if second >= 0 && second < scheduleSeconds {
			m.Scheduled[second] += g.scheduled[s%int64(slotCount)]
		}
	}
	// Only the latest keys are reported, so that the filter is not saturated.
	for i := len(g.failedOrder) - 1; i >= 0 && i >= len(g.failedOrder)-bloomBytes*2; i-- {
		if f := g.failedWork[g.failedOrder[i]]; f != nil && f.count > 0 {
			m.FailedWork.add(g.failedOrder[i])
		}
	}
	return m.Encode()
}

// peerPhase returns the phase that most peers outside of Calm report, and the highest baseline among them. Calm means
// that no peer reports another phase.
func (g *Guard) peerPhase(now Time) (phase Phase, baseline float64) {
	var n [Recovery + 1]int
	for i := range g.peers {
		if p := &g.peers[i]; p.fresh(now) {
			n[p.message.Phase]++
			baseline = math.Max(baseline, p.message.Baseline)
		}
	}
	switch {
	case n[Outage] > n[Recovery]:
		return Outage, baseline
	case n[Recovery] > 0:
		return Recovery, baseline
	}
	return Calm, baseline
}
