package membership

import "time"

// health counts the signs of this machine's own bad health.
type localHealth struct {
	score     int
	probes    [4]sentProbe // the last ones, in turn
	nextProbe int
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

// probed notes a probe.
func (h *localHealth) recordProbe(sequence uint64, now time.Time) {
	h.probes[h.nextProbe%len(h.probes)] = sentProbe{sequence: sequence, at: now}
	h.nextProbe++
}

// answered notes the answer to a probe. A late one is a sign that this machine, or the other, is slow. One that never
// comes says nothing of this machine: the other may be gone.
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

// stretch returns a timeout as long as this machine's health asks for.
func (n *Node) scaleTimeout(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+n.health.score)
}

// noticePause finds out whether this machine itself stood still. Then what it hasn't heard meanwhile says nothing.
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
		suspected := n.table.entries[name]
		suspected.since = suspected.since.Add(late)
	}
}
