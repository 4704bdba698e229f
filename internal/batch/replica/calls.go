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
	maxReadWait  = time.Second            // that a read is held
	parkTimeout  = 900 * time.Millisecond // that a call waits for a store to be sure
	retryAfter   = 250 * time.Millisecond
	maxPageBytes = 1<<20 - 4<<10 // bytes of an answer with results
)

const contentJSON = "application/json"

// parkedCall waits until this store knows enough to answer it.
type parkedCall struct {
	callID     CallID
	call       protocol.BatchCall
	items      []job.Item
	receivedAt time.Duration
	deadline   time.Duration
}

// lookup is a question to arbiters that is not answered yet.
type lookup struct {
	number    uint64
	sentAt    time.Duration
	unknownTo map[placement.Key]bool // arbiters that know of nobody
}

// Call takes a client's call; its answer comes through Environment.Answer. Items are those of a submission.
func (m *StateMachine) Call(token CallID, call protocol.BatchCall, items []job.Item) {
	if !m.MayAct() {
		m.answer(token, unavailable())
		return
	}
	now := m.env.Now()
	m.dispatch(parkedCall{callID: token, call: call, items: items, receivedAt: now, deadline: now + parkTimeout})
}

// Forget drops a call that nobody waits for.
func (m *StateMachine) CancelCall(token CallID) {
	m.parkedCalls = slices.DeleteFunc(m.parkedCalls, func(p parkedCall) bool { return p.callID == token })
}

func (m *StateMachine) answer(token CallID, answer protocol.BatchAnswer) { m.env.Answer(token, answer) }

func accepted() protocol.BatchAnswer { return protocol.BatchAnswer{Status: 202} }

// unavailable is a promise: nothing was done.
func unavailable() protocol.BatchAnswer {
	return protocol.BatchAnswer{Status: 503, RetryAfterMs: int(retryAfter.Milliseconds())}
}

// full is a promise, too: the batch job doesn't fit now.
func overLimit() protocol.BatchAnswer {
	return protocol.BatchAnswer{Status: 429, RetryAfterMs: int(overLimitRetry.Milliseconds())}
}

// uncertain promises nothing.
func outcomeUnknown() protocol.BatchAnswer { return protocol.BatchAnswer{Status: 504} }

func notFound() protocol.BatchAnswer { return protocol.BatchAnswer{Status: 404} }

func (m *StateMachine) dispatch(p parkedCall) {
	h := m.jobs[p.call.BatchJob]
	switch {
	case h == nil:
		m.dispatchNotOwned(p)
	case h.tenant != p.call.Tenant:
		m.answer(p.callID, notFound())
	case h.handedOver || !h.owned:
		m.dispatchNotOwned(p)
	case p.call.Operation == protocol.BatchSubmit:
		m.resubmit(h, p)
	case !h.replicated:
		m.park(p)
	default:
		m.serve(h, p)
	}
}

// serve answers a call for a batch job that is owned here and whole.
func (m *StateMachine) serve(j *storedJob, p parkedCall) {
	switch p.call.Operation {
	case protocol.BatchRead:
		m.serveRead(j, p)
	case protocol.BatchBody:
		m.serveBody(j, p)
	case protocol.BatchEnd:
		m.serveEnd(j, p.callID)
	default:
		m.answer(p.callID, protocol.BatchAnswer{Status: 400})
	}
}

// elsewhere deals with a call for a batch job that isn't owned here.
func (m *StateMachine) dispatchNotOwned(p parkedCall) {
	id := p.call.BatchJob
	if owner, known := m.owners[id]; known && owner != m.self {
		if member, present := placement.MemberOf(m.view, owner); present {
			m.answer(p.callID, protocol.BatchAnswer{Owner: member.IP})
			return
		}
	}
	if p.call.Operation == protocol.BatchSubmit && m.jobs[id] == nil {
		m.startAcceptance(p)
		return
	}
	m.park(p)
	if m.jobs[id] == nil {
		m.startLookup(id)
	}
}

func (m *StateMachine) park(p parkedCall) {
	if m.env.Now() >= p.deadline {
		m.expireCall(p)
		return
	}
	m.parkedCalls = append(m.parkedCalls, p)
}

// expire answers a call whose time is over.
func (m *StateMachine) expireCall(p parkedCall) {
	if p.call.Operation == protocol.BatchSubmit {
		m.answer(p.callID, outcomeUnknown())
		return
	}
	m.answer(p.callID, unavailable())
}

// unpark looks at all waiting calls again.
func (m *StateMachine) retryParkedCalls() {
	waiting := m.parkedCalls
	m.parkedCalls = nil
	for _, p := range waiting {
		m.dispatch(p)
	}
}

// seek finds out who holds a batch job that isn't known here. Where it was accepted, a majority of its arbiters voted for it
// in this epoch, or know of it from the inventories.
func (m *StateMachine) startLookup(id string) {
	now := m.env.Now()
	if asked := m.lookups[id]; !m.reconciled || asked != nil && now-asked.sentAt < inventoryRetry {
		return
	}
	m.lastLookup++
	l := &lookup{number: m.lastLookup, sentAt: now, unknownTo: map[placement.Key]bool{}}
	m.lookups[id] = l
	for _, arbiter := range placement.Arbiters(id, m.view, m.options.ReplicationFactor) {
		if placement.KeyOf(arbiter) != m.self {
			m.env.Send(arbiter, LookupRequest{Stamp: m.stamp(), Job: id, Number: l.number})
		}
	}
	if placement.Contains(placement.Arbiters(id, m.view, m.options.ReplicationFactor), m.self) {
		m.handleLookupResponse(m.self, LookupResponse{Job: id, Number: l.number, Owner: m.knownHolder(id)})
	}
}

// lookUp answers as arbiter.
func (m *StateMachine) handleLookupRequest(from protocol.Process, message LookupRequest) {
	if !m.reconciled || !m.MayAct() {
		return
	}
	if holder := m.knownHolder(message.Job); holder != "" || m.knowsEveryJob() {
		m.env.Send(from, LookupResponse{Stamp: m.stamp(), Job: message.Job, Number: message.Number, Owner: holder})
	}
}

// holder gives who holds or may accept a batch job, as the arbiter knows.
func (m *StateMachine) knownHolder(id string) placement.Key {
	if j := m.jobs[id]; j != nil && j.owned {
		return m.self
	}
	if owner, known := m.owners[id]; known {
		return owner
	}
	if m.jobs[id] != nil {
		return m.self
	}
	return m.reservations[id].store
}

// found takes what an arbiter knew. Where it names this store, a batch job was about to be accepted here, and wasn't.
func (m *StateMachine) handleLookupResponse(from placement.Key, message LookupResponse) {
	l := m.lookups[message.Job]
	if l == nil || l.number != message.Number || !m.reconciled {
		return
	}
	if message.Owner != "" && message.Owner != m.self {
		delete(m.lookups, message.Job)
		m.noteOwner(message.Job, message.Owner)
		if m.owners[message.Job] == message.Owner {
			m.redispatchParkedCalls(message.Job)
		}
		return
	}
	l.unknownTo[from] = true
	arbiters := placement.Arbiters(message.Job, m.view, m.options.ReplicationFactor)
	if len(l.unknownTo) >= placement.Majority(len(arbiters)) && m.knowsEveryJob() {
		delete(m.lookups, message.Job)
		m.answerNotFound(message.Job, l.sentAt)
	}
}

// nobodyHolds answers the calls for a batch job that didn't exist at a time, up to which they came.
func (m *StateMachine) answerNotFound(id string, at time.Duration) {
	waiting := m.parkedCalls
	m.parkedCalls = nil
	for _, p := range waiting {
		if p.call.BatchJob == id && p.receivedAt <= at && m.jobs[id] == nil {
			m.answer(p.callID, notFound())
			continue
		}
		m.parkedCalls = append(m.parkedCalls, p)
	}
}

// redirect sends all that waits for a batch job to its owner.
func (m *StateMachine) redirectPending(j *storedJob) {
	waiting := j.pendingReads
	j.pendingReads = nil
	for _, r := range waiting {
		m.answer(r.callID, m.ownerAnswer(j.id))
	}
	for _, token := range append(j.pendingSubmissions, j.pendingEnds...) {
		m.answer(token, m.ownerAnswer(j.id))
	}
	j.pendingSubmissions, j.pendingEnds = nil, nil
	m.redispatchParkedCalls(j.id)
}

func (m *StateMachine) ownerAnswer(id string) protocol.BatchAnswer {
	if member, present := placement.MemberOf(m.view, m.owners[id]); present && m.owners[id] != m.self {
		return protocol.BatchAnswer{Owner: member.IP}
	}
	return outcomeUnknown()
}

func (m *StateMachine) redispatchParkedCalls(id string) {
	waiting := m.parkedCalls
	m.parkedCalls = nil
	for _, p := range waiting {
		if p.call.BatchJob == id {
			m.dispatch(p)
			continue
		}
		m.parkedCalls = append(m.parkedCalls, p)
	}
}

// read answers with results, or holds the call until there is one.
func (m *StateMachine) serveRead(j *storedJob, p parkedCall) {
	start := max(p.call.Start, 0)
	wait := min(time.Duration(p.call.WaitMs)*time.Millisecond, maxReadWait)
	if start >= j.committedResults && wait > 0 && !j.ended && !(j.allFinished() && j.committedResults == len(j.items)) {
		j.pendingReads = append(j.pendingReads, pendingRead{callID: p.callID, start: start, deadline: m.env.Now() + wait})
		return
	}
	m.answerRead(j, p.callID, start)
}

func (m *StateMachine) answerReads(j *storedJob) {
	if len(j.pendingReads) == 0 {
		return
	}
	waiting := j.pendingReads
	j.pendingReads = nil
	for _, r := range waiting {
		if r.start < j.committedResults || j.ended {
			m.answerRead(j, r.callID, r.start)
			continue
		}
		j.pendingReads = append(j.pendingReads, r)
	}
}

func (m *StateMachine) answerRead(j *storedJob, token CallID, start int) {
	body := make([]byte, 0, 4<<10)
	body = append(body, `{"total":`...)
	body = strconv.AppendInt(body, int64(len(j.items)), 10)
	body = append(body, `,"results":[`...)
	position := start
	for ; position < j.committedResults; position++ {
		result, ok := m.result(j, position)
		if !ok {
			m.answer(token, unavailable())
			return
		}
		if position > start && len(body)+len(result.Text)+len(result.Text)/8+128 > maxPageBytes {
			break
		}
		before := len(body)
		if position > start {
			body = append(body, ',')
		}
		body = appendResultJSON(body, j.items[result.Item].id, job.State(result.State), result.Text)
		if position > start && len(body) > maxPageBytes {
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
func (m *StateMachine) serveBody(j *storedJob, p parkedCall) {
	index := slices.IndexFunc(j.items, func(i storedItem) bool { return i.id == p.call.Item })
	if index < 0 || j.ended || m.isCommitted(j, index) {
		m.answer(p.callID, notFound())
		return
	}
	encoded, err := m.env.Read(j.itemLocation(index))
	if err != nil {
		m.answer(p.callID, unavailable())
		return
	}
	item, err := job.DecodeItem(encoded)
	if err != nil {
		m.answer(p.callID, unavailable())
		return
	}
	m.answer(p.callID, protocol.BatchAnswer{Status: 200, Body: item.Body, ContentType: "application/octet-stream"})
}

func (m *StateMachine) isCommitted(j *storedJob, index int) bool {
	if !j.items[index].finished {
		return false
	}
	for position := range j.committedResults {
		if int(j.results[position].item) == index {
			return true
		}
	}
	return false
}

// end ends a batch job: nothing of it starts any more here, and it is acknowledged once it is on all replicas.
func (m *StateMachine) serveEnd(j *storedJob, token CallID) {
	j.pendingEnds = append(j.pendingEnds, token)
	if j.ended {
		m.maybeCommit(j)
		return
	}
	j.ended = true
	m.env.Stop(j.id)
	m.write(encodeEnded(j.id), true, func() {
		j.endedDurable = true
		m.replicateJob(j)
		m.maybeCommit(j)
	})
	m.answerReads(j)
}

func (m *StateMachine) acknowledgeEnds(j *storedJob) {
	for _, token := range j.pendingEnds {
		m.answer(token, protocol.BatchAnswer{Status: 200})
	}
	j.pendingEnds = nil
}
