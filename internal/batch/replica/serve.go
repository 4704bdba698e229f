package replica

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the owner's answers to reads of results, reads of item bodies and ends.

const (
	// maxReadWait is the maximum time that a read waits for a result.
	maxReadWait = time.Second
	// maxPageBytes is the maximum size of the body of an answer with more than one result.
	maxPageBytes = 1<<20 - 4<<10

	contentJSON   = "application/json"
	contentBinary = "application/octet-stream"
)

// serveRead answers a read with results, or lets it wait until there is one.
func (m *StateMachine) serveRead(j *storedJob, p parkedCall) {
	start := max(p.call.Start, 0)
	wait := min(time.Duration(p.call.WaitMs)*time.Millisecond, maxReadWait)
	if start >= j.committedResults && wait > 0 && !j.ended && !(j.allFinished() && j.committedResults == len(j.items)) {
		j.pendingReads = append(j.pendingReads, pendingRead{callID: p.callID, start: start, deadline: m.env.Now() + wait})
		return
	}
	m.answerRead(j, p.callID, start)
}

// answerReads answers the waiting reads for which there are results, or all of them if the batch job has ended.
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

// answerRead answers a read with the committed results from a position on, as many as fit in maxPageBytes and at least
// one if there is one.
func (m *StateMachine) answerRead(j *storedJob, id CallID, start int) {
	body := make([]byte, 0, 4<<10)
	body = append(body, `{"total":`...)
	body = strconv.AppendInt(body, int64(len(j.items)), 10)
	body = append(body, `,"results":[`...)
	position := start
	for ; position < j.committedResults; position++ {
		result, ok := m.result(j, position)
		if !ok {
			m.answer(id, unavailable())
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
	m.answer(id, protocol.BatchAnswer{Status: http.StatusOK, Body: body, ContentType: contentJSON})
}

// expireReads answers the waiting reads that are past their deadlines.
func (m *StateMachine) expireReads(j *storedJob, now time.Duration) {
	if !slices.ContainsFunc(j.pendingReads, func(r pendingRead) bool { return now >= r.deadline }) {
		return
	}
	waiting := j.pendingReads
	j.pendingReads = nil
	for _, r := range waiting {
		switch {
		case now < r.deadline:
			j.pendingReads = append(j.pendingReads, r)
		case j.owned && j.replicated && m.MayAct():
			m.answerRead(j, r.callID, r.start)
		default:
			m.answer(r.callID, unavailable())
		}
	}
}

// appendResultJSON appends a result as JSON.
func appendResultJSON(body []byte, id string, state job.State, text []byte) []byte {
	body = append(body, `{"id":`...)
	body = appendJSON(body, id)
	body = append(body, `,"state":"`...)
	body = append(body, state.String()...)
	body = append(body, `","text":`...)
	body = appendJSON(body, string(text))
	return append(body, '}')
}

// appendJSON appends a string as JSON. Plain text, which is the usual case, is copied without calling encoding/json.
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

// serveBody answers with an item's body, or with notFound once the item's result is committed or the batch job has
// ended.
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
	m.answer(p.callID, protocol.BatchAnswer{Status: http.StatusOK, Body: item.Body, ContentType: contentBinary})
}

// isCommitted reports whether an item's result is committed.
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

// serveEnd ends a batch job. No further item starts here, and the call is answered once the end is on all replicas.
func (m *StateMachine) serveEnd(j *storedJob, id CallID) {
	j.pendingEnds = append(j.pendingEnds, id)
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

// acknowledgeEnds answers all waiting ends of a batch job.
func (m *StateMachine) acknowledgeEnds(j *storedJob) {
	for _, id := range j.pendingEnds {
		m.answer(id, protocol.BatchAnswer{Status: http.StatusOK})
	}
	j.pendingEnds = nil
}
