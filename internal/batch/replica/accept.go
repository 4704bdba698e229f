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
	acceptFor    = 2500 * time.Millisecond // that a submission waits for a majority of the arbiters
)

// acceptance is a batch job of which nothing was written yet.
type acceptance struct {
	content *job.Content
	number  uint64 // of this attempt
	calls   []parkedCall
	votes   map[placement.Key]Reserved // of this epoch, by arbiter
	askedAt time.Duration
	until   time.Duration
	tokens  int64 // of all items
	room    room  // within the bound on waiting tokens
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
	if m.retiring || m.diskLags() {
		m.sendToActive(p)
		return
	}
	if m.tooManyLeft() || !m.fits(p) {
		m.answer(p.token, unavailable())
		return
	}
	m.lastAttempt++
	a := &acceptance{
		number: m.lastAttempt,
		content: &job.Content{
			ID: id, Tenant: p.call.Tenant, Route: p.call.Route, FirstSent: m.env.Wall(), Items: p.items,
		},
		calls: []parkedCall{p},
		votes: map[placement.Key]Reserved{},
		until: m.env.Now() + acceptFor,
	}
	for i := range p.items {
		a.tokens += int64(p.items[i].Tokens)
	}
	m.acceptances[id] = a
	m.seekRoom(a)
	m.askArbiters(id, a)
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
	for _, other := range placement.Rank(p.call.BatchJob, placement.Active(m.view)) {
		if placement.KeyOf(other) != m.self {
			m.answer(p.token, protocol.BatchAnswer{Owner: other.IP})
			return
		}
	}
	m.answer(p.token, unavailable())
}

// askArbiters asks those arbiters for their votes that have not given them to this store.
func (m *Machine) askArbiters(id string, a *acceptance) {
	now := m.env.Now()
	if !m.present || a.askedAt > 0 && now-a.askedAt < reserveAgain {
		return
	}
	a.askedAt = max(now, 1)
	for _, arbiter := range placement.Arbiters(id, m.view, m.options.Copies) {
		key := placement.KeyOf(arbiter)
		switch {
		case a.votes[key].Owner == m.self:
		case key != m.self:
			m.env.Send(arbiter, Reserve{Stamp: m.stamp(), Job: id, Number: a.number})
		case m.settled && (m.holder(id) != "" || !m.tooManyLeft()):
			a.votes[key] = m.vote(id, m.self, a.number)
		}
	}
	m.decide(id)
}

// reservation is an arbiter's vote.
type reservation struct {
	store  placement.Key
	number uint64 // of that store's newest attempt
}

// vote answers, as arbiter, who may accept a batch job: always the same store for an id in one epoch, unless that one gives
// the vote back.
func (m *Machine) vote(id string, asker placement.Key, number uint64) Reserved {
	answer := Reserved{Stamp: m.stamp(), Job: id, Number: number, Owner: m.holder(id)}
	given, voted := m.reservations[id]
	switch {
	case answer.Owner == "":
		answer.Owner = asker
		m.reservations[id] = reservation{store: asker, number: number}
	case voted && given.store == asker && answer.Owner == asker:
		m.reservations[id] = reservation{store: asker, number: max(number, given.number)}
	default:
		answer.Held = !voted || given.store != answer.Owner
	}
	return answer
}

func (m *Machine) reserve(from protocol.Process, message Reserve) {
	if !m.settled || !m.Allowed() {
		return
	}
	if m.holder(message.Job) != "" || !m.tooManyLeft() { // else it may have been accepted by stores that are missing
		m.env.Send(from, m.vote(message.Job, placement.KeyOf(from), message.Number))
	}
}

// release takes a vote back, unless it was asked for again since.
func (m *Machine) release(from placement.Key, message Release) {
	if given := m.reservations[message.Job]; given.store == from && given.number <= message.Number {
		delete(m.reservations, message.Job)
	}
}

// reserved takes an arbiter's answer to this attempt. One to an earlier attempt may have been given back.
func (m *Machine) reserved(from placement.Key, message Reserved) {
	if a := m.acceptances[message.Job]; a != nil && a.number == message.Number {
		a.votes[from] = message
		m.decide(message.Job)
	}
}

// decide looks at the votes. Of several stores that want to accept a batch job at the same time the one with the lowest key
// goes on asking, and the others give their votes back.
func (m *Machine) decide(id string) {
	a := m.acceptances[id]
	if a == nil || !m.Allowed() {
		return
	}
	arbiters := placement.Arbiters(id, m.view, m.options.Copies)
	majority := placement.Majority(len(arbiters))
	mine, silent := 0, 0
	var holder, rival placement.Key
	for _, arbiter := range arbiters {
		vote, voted := a.votes[placement.KeyOf(arbiter)]
		switch {
		case !voted:
			silent++
		case vote.Owner == m.self:
			mine++
		case vote.Held:
			holder = vote.Owner
		case vote.Owner < m.self:
			rival = vote.Owner
		}
	}
	switch {
	case m.jobs[id] != nil:
		m.leaveTo("", id, a)
	case len(arbiters) > 0 && mine >= majority:
		m.finishAccepting(a)
	case holder != "":
		m.leaveTo(holder, id, a)
	case rival != "" && mine+silent < majority:
		m.leaveTo(rival, id, a)
	}
}

// finishAccepting writes a batch job that nobody else holds, or refuses it where it doesn't fit. It waits until that is known.
func (m *Machine) finishAccepting(a *acceptance) {
	id := a.content.ID
	switch a.room {
	case roomGiven:
		m.checkRoom(a.account())
		delete(m.acceptances, id)
		m.store(a)
	case roomRefused:
		delete(m.acceptances, id)
		m.giveBack(id, a.number)
		for _, p := range a.calls {
			m.answer(p.token, full())
		}
	}
}

// leaveTo sends the calls of an acceptance to the store that holds the batch job or goes on with it.
func (m *Machine) leaveTo(owner placement.Key, id string, a *acceptance) {
	delete(m.acceptances, id)
	m.giveBack(id, a.number)
	member, present := placement.MemberOf(m.view, owner)
	for _, p := range a.calls {
		switch {
		case m.jobs[id] != nil:
			m.dispatch(p)
		case present:
			m.answer(p.token, protocol.BatchAnswer{Owner: member.IP})
		default:
			m.answer(p.token, unavailable())
		}
	}
}

// store writes a batch job here and to the other replicas. From here on nothing is promised.
func (m *Machine) store(a *acceptance) {
	id := a.content.ID
	replicas := placement.Replicas(id, m.view, []protocol.Process{m.options.Self}, m.options.Copies, m.slowStores()...)
	if len(replicas) < m.options.Copies || m.retiring {
		m.refuse(a)
		m.giveBack(id, a.number)
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
	h.expectNothing()
	h.replaceAt = m.env.Now() + replaceAfter
	for _, p := range a.calls {
		h.submitters = append(h.submitters, p.token)
	}
	m.keep(h)
	delete(m.directory, id)
	m.announce(id, m.self)
}

// giveBack frees the votes of an attempt under which nothing was written.
func (m *Machine) giveBack(id string, number uint64) {
	message := Release{Stamp: m.stamp(), Job: id, Number: number}
	for _, arbiter := range placement.Arbiters(id, m.view, m.options.Copies) {
		if placement.KeyOf(arbiter) != m.self {
			m.env.Send(arbiter, message)
		} else {
			m.release(m.self, message)
		}
	}
}

func (m *Machine) refuse(a *acceptance) {
	for _, p := range a.calls {
		m.answer(p.token, unavailable())
	}
}

// submitAgain answers a submission of a batch job that is owned here.
func (m *Machine) submitAgain(h *held, p parkedCall) {
	h.submitters = append(h.submitters, p.token)
	m.answerSubmitters(h)
}

// answerSubmitters tells those who handed a batch job in that it is taken, once it is on all disks of its set and the counter knows of it.
func (m *Machine) answerSubmitters(h *held) {
	if !h.whole || m.exceedsBound(h) {
		return
	}
	for _, token := range h.submitters {
		m.answer(token, accepted())
	}
	h.submitters = nil
}
