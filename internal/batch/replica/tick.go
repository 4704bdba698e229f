package replica

import (
	"maps"
	"slices"
	"time"
)

// This file owns what happens by time alone.

const expiryEvery = time.Second

// Tick is to be called a few times a second.
func (m *Machine) Tick() {
	now := m.env.Now()
	m.expireWaiting(now)
	if !m.present {
		return
	}
	if !m.settled && now-m.asked >= inventoryAgain {
		m.askInventories()
		m.settle()
	}
	m.concedeAgain(now)
	m.tendClaims(now)
	for _, id := range m.accepting() {
		m.askArbiters(id, m.acceptances[id])
	}
	for _, h := range m.order {
		if h.owner {
			m.replaceSlow(h, now)
			m.pump(h)
		}
	}
	if m.settled {
		m.askOwners()
	}
	if m.awaitsWhole() && m.settledEpoch == m.view.Epoch && now-m.departed.toldAt >= noticeAgain {
		m.tellSettled()
	}
	if now-m.lastExpiry >= expiryEvery {
		m.lastExpiry = now
		m.expireDeparted(now)
		m.dropExpired()
		m.checkSettled() // what was not whole may be among them
	}
}

func (m *Machine) expireWaiting(now time.Duration) {
	waiting := m.parked
	m.parked = nil
	for _, p := range waiting {
		switch {
		case now >= p.until:
			m.expire(p)
		case m.jobs[p.call.BatchJob] == nil && m.Allowed():
			m.dispatch(p)
		default:
			m.parked = append(m.parked, p)
		}
	}
	for _, id := range m.accepting() {
		if a := m.acceptances[id]; now >= a.until {
			delete(m.acceptances, id)
			m.giveBack(id, a.number)
			m.refuse(a)
		}
	}
	for _, h := range m.order {
		m.expireReaders(h, now)
	}
}

// accepting lists the batch jobs that are being accepted, in a fixed order.
func (m *Machine) accepting() []string {
	if len(m.acceptances) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m.acceptances))
}

func (m *Machine) expireReaders(h *held, now time.Duration) {
	if !slices.ContainsFunc(h.readers, func(r reader) bool { return now >= r.until }) {
		return
	}
	waiting := h.readers
	h.readers = nil
	for _, r := range waiting {
		switch {
		case now < r.until:
			h.readers = append(h.readers, r)
		case h.owner && h.whole && m.Allowed():
			m.answerRead(h, r.token, r.start)
		default:
			m.answer(r.token, unavailable())
		}
	}
}

// dropExpired forgets batch jobs whose time is over: closed ones after KeepFor, copies that were left behind after twice
// that.
func (m *Machine) dropExpired() {
	for _, h := range slices.Clone(m.order) {
		closed := h.ended || h.complete()
		if !m.isOver(h) || !closed && (h.owner || m.age(h) < 2*m.options.KeepFor) {
			continue
		}
		m.discard(h)
		m.settled = m.settled && m.unowned == 0 // it may be what nobody owned: all is looked at again
	}
}

// age is how long ago a batch job was sent first, by the time of day.
func (m *Machine) age(h *held) time.Duration {
	return time.Duration(m.env.Wall()-h.firstSent) * time.Millisecond
}

// isOver tells whether a batch job needn't be kept any more, if it is closed.
func (m *Machine) isOver(h *held) bool { return m.age(h) >= m.options.KeepFor }

// discard drops a copy for good.
func (m *Machine) discard(h *held) {
	m.write(encodeDropped(h.id), false, func() {})
	m.redirect(h)
	m.env.Stop(h.id)
	m.drop(h.id)
}

// OldestSegment gives the first segment of the log that something still needs; limit where there is nothing.
func (m *Machine) OldestSegment(limit uint32) uint32 {
	oldest := limit
	for _, h := range m.order {
		oldest = min(oldest, h.oldest().Segment)
	}
	if at := m.departed.at; at != nil && at.Segment < oldest {
		oldest = at.Segment
		m.writeView() // behind all that may go
	}
	return oldest
}
