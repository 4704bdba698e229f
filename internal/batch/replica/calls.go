package replica

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns clients' calls: what is answered here, what is sent to another store, what waits.

const (
	maxWait    = time.Second            // that a read is held
	parkedFor  = 900 * time.Millisecond // that a call waits for a store to be sure
	retryAfter = 250 * time.Millisecond
	maxPage    = 1<<20 - 4<<10 // bytes of an answer with results
)

const contentJSON = "application/json"

// parkedCall waits until this store knows enough to answer it.
type parkedCall struct {
	token Token
	call  protocol.BatchCall
	items []job.Item
	since time.Duration
	until time.Duration
}

// lookup is a question to arbiters that is not answered yet.
type lookup struct {
	number  uint64
	sentAt  time.Duration
	unknown map[placement.Key]bool // arbiters that know of nobody
}

// Call takes a client's call; its answer comes through Environment.Answer. Items are those of a submission.
func (m *Machine) Call(token Token, call protocol.BatchCall, items []job.Item) {
	if !m.Allowed() {
		m.answer(token, unavailable())
		return
	}
	now := m.env.Now()
	m.dispatch(parkedCall{token: token, call: call, items: items, since: now, until: now + parkedFor})
}

// Forget drops a call that nobody waits for.
func (m *Machine) Forget(token Token) {
	m.parked = slices.DeleteFunc(m.parked, func(p parkedCall) bool { return p.token == token })
}

func (m *Machine) answer(token Token, answer protocol.BatchAnswer) { m.env.Answer(token, answer) }

func accepted() protocol.BatchAnswer { return protocol.BatchAnswer{Status: 202} }

// unavailable is a promise: nothing was done.
func unavailable() protocol.BatchAnswer {
	return protocol.BatchAnswer{Status: 503, RetryAfterMs: int(retryAfter.Milliseconds())}
}

// full is a promise, too: the batch job doesn't fit now.
func full() protocol.BatchAnswer {
	return protocol.BatchAnswer{Status: 429, RetryAfterMs: int(retryFull.Milliseconds())}
}

// uncertain promises nothing.
func uncertain() protocol.BatchAnswer { return protocol.BatchAnswer{Status: 504} }

func missing() protocol.BatchAnswer { return protocol.BatchAnswer{Status: 404} }

func (m *Machine) dispatch(p parkedCall) {
	h := m.jobs[p.call.BatchJob]
	switch {
	case h == nil:
		m.elsewhere(p)
	case h.tenant != p.call.Tenant:
		m.answer(p.token, missing())
	case h.handed || !h.owner:
		m.elsewhere(p)
	case p.call.Operation == protocol.BatchSubmit:
		m.submitAgain(h, p)
	case !h.whole:
		m.park(p)
	default:
		m.serve(h, p)
	}
}

// serve answers a call for a batch job that is owned here and whole.
func (m *Machine) serve(h *held, p parkedCall) {
	switch p.call.Operation {
	case protocol.BatchRead:
		m.read(h, p)
	case protocol.BatchBody:
		m.body(h, p)
	case protocol.BatchEnd:
		m.end(h, p.token)
	default:
		m.answer(p.token, protocol.BatchAnswer{Status: 400})
	}
}

// elsewhere deals with a call for a batch job that isn't owned here.
func (m *Machine) elsewhere(p parkedCall) {
	id := p.call.BatchJob
	if owner, known := m.directory[id]; known && owner != m.self {
		if member, present := placement.MemberOf(m.view, owner); present {
			m.answer(p.token, protocol.BatchAnswer{Owner: member.IP})
			return
		}
	}
	if p.call.Operation == protocol.BatchSubmit && m.jobs[id] == nil {
		m.accept(p)
		return
	}
	m.park(p)
	if m.jobs[id] == nil {
		m.seek(id)
	}
}

func (m *Machine) park(p parkedCall) {
	if m.env.Now() >= p.until {
		m.expire(p)
		return
	}
	m.parked = append(m.parked, p)
}

// expire answers a call whose time is over.
func (m *Machine) expire(p parkedCall) {
	if p.call.Operation == protocol.BatchSubmit {
		m.answer(p.token, uncertain())
		return
	}
	m.answer(p.token, unavailable())
}

// unpark looks at all waiting calls again.
func (m *Machine) unpark() {
	waiting := m.parked
	m.parked = nil
	for _, p := range waiting {
		m.dispatch(p)
	}
}

// seek finds out who holds a batch job that isn't known here. Where it was accepted, a majority of its arbiters voted for it
// in this epoch, or know of it from the inventories.
func (m *Machine) seek(id string) {
	now := m.env.Now()
	if asked := m.lookups[id]; !m.settled || asked != nil && now-asked.sentAt < inventoryAgain {
		return
	}
	m.lastLookup++
	l := &lookup{number: m.lastLookup, sentAt: now, unknown: map[placement.Key]bool{}}
	m.lookups[id] = l
	for _, arbiter := range placement.Arbiters(id, m.view, m.options.Copies) {
		if placement.KeyOf(arbiter) != m.self {
			m.env.Send(arbiter, Lookup{Stamp: m.stamp(), Job: id, Number: l.number})
		}
	}
	if placement.Contains(placement.Arbiters(id, m.view, m.options.Copies), m.self) {
		m.found(m.self, Found{Job: id, Number: l.number, Owner: m.holder(id)})
	}
}

// lookUp answers as arbiter.
func (m *Machine) lookUp(from protocol.Process, message Lookup) {
	if !m.settled || !m.Allowed() {
		return
	}
	if holder := m.holder(message.Job); holder != "" || m.sure() {
		m.env.Send(from, Found{Stamp: m.stamp(), Job: message.Job, Number: message.Number, Owner: holder})
	}
}

// holder gives who holds or may accept a batch job, as the arbiter knows.
func (m *Machine) holder(id string) placement.Key {
	if h := m.jobs[id]; h != nil && h.owner {
		return m.self
	}
	if owner, known := m.directory[id]; known {
		return owner
	}
	if m.jobs[id] != nil {
		return m.self
	}
	return m.reservations[id].store
}

// found takes what an arbiter knew. Where it names this store, a batch job was about to be accepted here, and wasn't.
func (m *Machine) found(from placement.Key, message Found) {
	l := m.lookups[message.Job]
	if l == nil || l.number != message.Number || !m.settled {
		return
	}
	if message.Owner != "" && message.Owner != m.self {
		delete(m.lookups, message.Job)
		m.learn(message.Job, message.Owner)
		if m.directory[message.Job] == message.Owner {
			m.redirectCalls(message.Job)
		}
		return
	}
	l.unknown[from] = true
	arbiters := placement.Arbiters(message.Job, m.view, m.options.Copies)
	if len(l.unknown) >= placement.Majority(len(arbiters)) && m.sure() {
		delete(m.lookups, message.Job)
		m.nobodyHolds(message.Job, l.sentAt)
	}
}

// nobodyHolds answers the calls for a batch job that didn't exist at a time, up to which they came.
func (m *Machine) nobodyHolds(id string, at time.Duration) {
	waiting := m.parked
	m.parked = nil
	for _, p := range waiting {
		if p.call.BatchJob == id && p.since <= at && m.jobs[id] == nil {
			m.answer(p.token, missing())
			continue
		}
		m.parked = append(m.parked, p)
	}
}

// redirect sends all that waits for a batch job to its owner.
func (m *Machine) redirect(h *held) {
	waiting := h.readers
	h.readers = nil
	for _, r := range waiting {
		m.answer(r.token, m.ownerAnswer(h.id))
	}
	for _, token := range append(h.submitters, h.enders...) {
		m.answer(token, m.ownerAnswer(h.id))
	}
	h.submitters, h.enders = nil, nil
	m.redirectCalls(h.id)
}

func (m *Machine) ownerAnswer(id string) protocol.BatchAnswer {
	if member, present := placement.MemberOf(m.view, m.directory[id]); present && m.directory[id] != m.self {
		return protocol.BatchAnswer{Owner: member.IP}
	}
	return uncertain()
}

func (m *Machine) redirectCalls(id string) {
	waiting := m.parked
	m.parked = nil
	for _, p := range waiting {
		if p.call.BatchJob == id {
			m.dispatch(p)
			continue
		}
		m.parked = append(m.parked, p)
	}
}

// read answers with results, or holds the call until there is one.
func (m *Machine) read(h *held, p parkedCall) {
	start := max(p.call.Start, 0)
	wait := min(time.Duration(p.call.WaitMs)*time.Millisecond, maxWait)
	if start >= h.shown && wait > 0 && !h.ended && !(h.complete() && h.shown == len(h.items)) {
		h.readers = append(h.readers, reader{token: p.token, start: start, until: m.env.Now() + wait})
		return
	}
	m.answerRead(h, p.token, start)
}

func (m *Machine) answerReaders(h *held) {
	if len(h.readers) == 0 {
		return
	}
	waiting := h.readers
	h.readers = nil
	for _, r := range waiting {
		if r.start < h.shown || h.ended {
			m.answerRead(h, r.token, r.start)
			continue
		}
		h.readers = append(h.readers, r)
	}
}

func (m *Machine) answerRead(h *held, token Token, start int) {
	body := make([]byte, 0, 4<<10)
	body = append(body, `{"total":`...)
	body = strconv.AppendInt(body, int64(len(h.items)), 10)
	body = append(body, `,"results":[`...)
	position := start
	for ; position < h.shown; position++ {
		result, ok := m.result(h, position)
		if !ok {
			m.answer(token, unavailable())
			return
		}
		if position > start && len(body)+len(result.Text)+len(result.Text)/8+128 > maxPage {
			break
		}
		before := len(body)
		if position > start {
			body = append(body, ',')
		}
		body = appendResultJSON(body, h.items[result.Item].id, job.State(result.State), result.Text)
		if position > start && len(body) > maxPage {
			body = body[:before]
			break
		}
	}
	body = append(body, `],"next-token":`...)
	body = strconv.AppendInt(body, int64(position), 10)
	body = append(body, '}')
	m.answer(token, protocol.BatchAnswer{Status: 200, Body: body, ContentType: contentJSON})
}

func appendResultJSON(body []byte, id string, state job.State, text []byte) []byte {
	body = append(body, `{"id":`...)
	body = appendJSON(body, id)
	body = append(body, `,"state":"`...)
	body = append(body, state.String()...)
	body = append(body, `","text":`...)
	body = appendJSON(body, string(text))
	return append(body, '}')
}

// appendJSON adds a string as JSON.
func appendJSON(body []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < 0x20 && c != '\n' || c == '"' || c == '\\' || c >= 0x7f {
			quoted, _ := json.Marshal(text)
			return append(body, quoted...)
		}
	}
	body = append(body, '"')
	for i := range len(text) {
		if text[i] == '\n' {
			body = append(body, '\\', 'n')
			continue
		}
		body = append(body, text[i])
	}
	return append(body, '"')
}

// body answers with an item's body while it isn't shown and the batch job not ended.
func (m *Machine) body(h *held, p parkedCall) {
	index := slices.IndexFunc(h.items, func(i heldItem) bool { return i.id == p.call.Item })
	if index < 0 || h.ended || m.isShown(h, index) {
		m.answer(p.token, missing())
		return
	}
	encoded, err := m.env.Read(h.itemAt(index))
	if err != nil {
		m.answer(p.token, unavailable())
		return
	}
	item, err := job.DecodeItem(encoded)
	if err != nil {
		m.answer(p.token, unavailable())
		return
	}
	m.answer(p.token, protocol.BatchAnswer{Status: 200, Body: item.Body, ContentType: "application/octet-stream"})
}

func (m *Machine) isShown(h *held, index int) bool {
	if !h.items[index].listed {
		return false
	}
	for position := range h.shown {
		if int(h.results[position].item) == index {
			return true
		}
	}
	return false
}

// end ends a batch job: nothing of it starts any more here, and it is acknowledged once it is on all replicas.
func (m *Machine) end(h *held, token Token) {
	h.enders = append(h.enders, token)
	if h.ended {
		m.judge(h)
		return
	}
	h.ended = true
	m.env.Stop(h.id)
	m.write(encodeEnded(h.id), true, func() {
		h.endDurable = true
		m.pump(h)
		m.judge(h)
	})
	m.answerReaders(h)
}

func (m *Machine) answerEnders(h *held) {
	for _, token := range h.enders {
		m.answer(token, protocol.BatchAnswer{Status: 200})
	}
	h.enders = nil
}
