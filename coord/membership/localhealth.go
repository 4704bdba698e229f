package membership

import "time"

// maxHealthScore bounds the signs of bad health that are counted, so that timeouts grow to at most 1 +
// maxHealthScore times their configured length (Lifeguard's saturation limit S).
const maxHealthScore = 6

// localHealth counts the signs that this machine is unhealthy itself. It is Lifeguard's local health
// multiplier: a machine that processes messages late would otherwise suspect others for its own delay.
type localHealth struct {
	score     int          // 0 to maxHealthScore
	probes    [4]sentProbe // the last ones, as a ring buffer
	nextProbe int          // number of probes so far
}

// sentProbe is a probe of a link.
type sentProbe struct {
	sequence uint64
	at       time.Time
}

// worsen counts a sign of bad health.
func (h *localHealth) worsen() {
	h.score = min(h.score+1, maxHealthScore)
}

// improve takes a sign back.
func (h *localHealth) improve() {
	h.score = max(h.score-1, 0)
}

// recordProbe notes a probe. Sequences are never 0.
func (h *localHealth) recordProbe(sequence uint64, now time.Time) {
	h.probes[h.nextProbe%len(h.probes)] = sentProbe{sequence: sequence, at: now}
	h.nextProbe++
}

// recordReply notes the reply to a probe, and ignores other replies. One that comes later than limit is a
// sign that this machine, or the other, is slow. A probe without a reply isn't one, other than in Lifeguard:
// the other machine may have failed.
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

// scaleTimeout returns a timeout as long as this machine's health asks for.
func (n *Node) scaleTimeout(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+n.health.score)
}

// detectPause finds out at a tick whether it runs so late that this machine must have been paused. Heartbeats
// and refutations of that time are still unread, so that all time-outs start anew or are moved on by the
// pause; otherwise a machine that resumes would suspect all that it watches, and declare dead whom it
// suspected.
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
