package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns how a batch job is accepted.

const (
	reserveAgain = 200 * time.Millisecond
	acceptFor    = 2500 * time.Millisecond // that a submission waits for the arbiter
)

// acceptance is a batch job of which nothing was written yet.
type acceptance struct {
	content *job.Content
	calls   []parkedCall
	askedAt time.Duration
	until   time.Duration
}

// accept begins to take a batch job that isn't known here.
func (m *Machine) accept(p parkedCall) {
	id := p.call.BatchJob
	if a := m.acceptances[id]; a != nil {
		if a.content.Tenant != p.call.Tenant {
			m.answer(p.token, missing())
			return
		}
		a.calls = append(a.calls, p)
		return
	}
	if m.retiring {
		m.sendToActive(p)
		return
	}
	if !m.fits(p) {
		m.answer(p.token, unavailable())
		return
	}
	a := &acceptance{
		content: &job.Content{
			ID: id, Tenant: p.call.Tenant, Route: p.call.Route, FirstSent: m.env.Wall(), Items: p.items,
		},
		calls: []parkedCall{p},
		until: m.env.Now() + acceptFor,
	}
	m.acceptances[id] = a
	m.askArbiter(id, a)
}

// fits tells whether there is room for a batch job, and stores enough.
func (m *Machine) fits(p parkedCall) bool {
	if len(placement.Active(m.view)) < m.options.Copies {
		return false
	}
	if m.options.MaxStored > 0 && len(m.jobs) >= m.options.MaxStored {
		return false
	}
	return m.env.Free()-int64(len(p.call.Body)) > m.options.Reserve
}

// sendToActive sends a submission to a store that takes batch jobs.
func (m *Machine) sendToActive(p parkedCall) {
	active := placement.Rank(p.call.BatchJob, placement.Active(m.view))
	if len(active) == 0 {
		m.answer(p.token, unavailable())
		return
	}
	m.answer(p.token, protocol.BatchAnswer{Owner: active[0].IP})
}

func (m *Machine) askArbiter(id string, a *acceptance) {
	now := m.env.Now()
	if a.askedAt > 0 && now-a.askedAt < reserveAgain {
		return
	}
	arbiter, ok := placement.Arbiter(id, m.view)
	if !ok || !m.present {
		return
	}
	a.askedAt = max(now, 1)
	if placement.KeyOf(arbiter) != m.self {
		m.env.Send(arbiter, Reserve{Stamp: m.stamp(), Job: id})
		return
	}
	if m.settled {
		m.decide(id, m.grant(id, m.self))
	}
}

// grant answers, as arbiter, who may accept a batch job: always the same store for an id in one epoch.
func (m *Machine) grant(id string, asker placement.Key) placement.Key {
	if holder := m.holder(id); holder != "" {
		return holder
	}
	m.reservations[id] = asker
	return asker
}

func (m *Machine) reserve(from protocol.Process, message Reserve) {
	if !m.settled || !m.Allowed() {
		return
	}
	owner := m.grant(message.Job, placement.KeyOf(from))
	m.env.Send(from, Reserved{Stamp: m.stamp(), Job: message.Job, Owner: owner})
}

func (m *Machine) reserved(message Reserved) { m.decide(message.Job, message.Owner) }

// decide takes the arbiter's answer.
func (m *Machine) decide(id string, owner placement.Key) {
	a := m.acceptances[id]
	if a == nil {
		return
	}
	if owner == m.self && m.jobs[id] == nil && m.Allowed() {
		delete(m.acceptances, id)
		m.store(a)
		return
	}
	if owner == m.self && m.jobs[id] == nil {
		return // asked again later
	}
	delete(m.acceptances, id)
	m.learn(id, owner)
	for _, p := range a.calls {
		m.dispatch(p)
	}
}

// store writes a batch job here and to the other replicas. From here on nothing is promised.
func (m *Machine) store(a *acceptance) {
	id := a.content.ID
	replicas := placement.Replicas(id, m.view, []protocol.Process{m.options.Self}, m.options.Copies)
	if len(replicas) < m.options.Copies || m.retiring {
		m.refuse(a)
		m.giveBack(id)
		return
	}
	content := a.content.Encode()
	version := versionOf(m.view.Epoch, 0)
	record := encodeCopy(id, version, replicas, false, content, nil)
	h := &held{}
	at := m.write(record, true, func() {
		h.copyDurable = true
		m.pump(h)
		m.judge(h)
	})
	contentAt, _ := locate(h, record, at)
	made, err := newHeld(content, contentAt)
	if err != nil {
		panic("replica: an encoded batch job can't be read: " + err.Error())
	}
	*h = *made
	h.content = content
	h.owner = true
	h.setReplicas(version, replicas, m.self)
	for i := range h.peers {
		h.peers[i].known = true
	}
	for _, p := range a.calls {
		h.submitters = append(h.submitters, p.token)
	}
	m.keep(h)
	delete(m.directory, id)
	m.announce(id, m.self)
}

// giveBack frees a reservation under which nothing was written.
func (m *Machine) giveBack(id string) {
	arbiter, ok := placement.Arbiter(id, m.view)
	if !ok {
		return
	}
	if placement.KeyOf(arbiter) == m.self {
		delete(m.reservations, id)
		return
	}
	m.env.Send(arbiter, Release{Stamp: m.stamp(), Job: id})
}

func (m *Machine) refuse(a *acceptance) {
	for _, p := range a.calls {
		m.answer(p.token, unavailable())
	}
}

// submitAgain answers a submission of a batch job that is owned here.
func (m *Machine) submitAgain(h *held, p parkedCall) {
	if h.whole {
		m.answer(p.token, accepted())
		return
	}
	h.submitters = append(h.submitters, p.token)
}
