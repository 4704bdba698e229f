package membership

import "time"

// maxHealthScore bounds the health score, so that timeouts grow to at most 1 +
// maxHealthScore times their configured length (Lifeguard's saturation limit S).
const maxHealthScore = 6

// localHealth counts the signs that this machine is unhealthy itself. It is Lifeguard's local health
// multiplier. Without it, a machine that processes messages late would suspect others because of its own delay.
type localHealth struct {
	score     int          // 0 to maxHealthScore
	probes    [4]sentProbe // the most recent probes, as a ring buffer
	nextProbe int          // number of probes so far
}

// sentProbe is a probe of a link.
type sentProbe struct {
	sequence uint64
	at       time.Time
}

// worsen increments the score, up to maxHealthScore.
func (h *localHealth) worsen() {
	h.score = min(h.score+1, maxHealthScore)
}

// improve decrements the score, down to 0.
func (h *localHealth) improve() {
	h.score = max(h.score-1, 0)
}

// recordProbe records a probe that is being sent. sequence must not be 0.
func (h *localHealth) recordProbe(sequence uint64, now time.Time) {
	h.probes[h.nextProbe%len(h.probes)] = sentProbe{sequence: sequence, at: now}
	h.nextProbe++
}

// recordReply updates the score by the reply to a recent probe, and ignores other replies. A reply later than
// limit is a sign that this machine, or the other, is slow, and worsens the score; any other reply improves it.
// Unlike in Lifeguard, a missing reply doesn't count, because the other machine may have failed.
func (h *localHealth) recordReply(sequence uint64, now time.Time, limit time.Duration) {
	for _, probe := range h.probes {
		if probe.sequence != sequence || sequence == 0 {
			continue
		}
		if now.Sub(probe.at) > limit {
			h.worsen()
			return
		}
		h.improve()
		return
	}
}

// scaleTimeout returns a timeout multiplied by 1 plus this machine's health score.
func (n *Node) scaleTimeout(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+n.health.score)
}

// detectPause checks whether a tick runs more than an interval late, so that this machine must have been
// paused. Heartbeats and refutations that arrived during the pause are still unread. All timeouts are therefore
// restarted or extended by the pause; otherwise a resuming machine would suspect every machine that it watches,
// and declare its suspects dead.
func (n *Node) detectPause(now time.Time) {
	late := now.Sub(n.nextTick)
	if late <= n.config.Interval {
		return
	}
	n.health.worsen()
	n.health.worsen()
	n.lastContact = n.lastContact.Add(late)
	for _, watched := range n.watches {
		*watched = watch{lastContact: now}
	}
	for name := range n.table.suspects {
		suspect := n.table.entries[name]
		suspect.since = suspect.since.Add(late)
	}
}
