package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/wal"
)

// This file keeps track of records that aren't durable yet, and calls the functions that wait for them.

// pendingWrite is a record that isn't durable yet.
type pendingWrite struct {
	sequence  uint64 // given by Environment.Write
	queuedAt  time.Duration
	onDurable func()
}

// write queues a record and calls a function once it is durable.
func (m *StateMachine) write(record []byte, urgent bool, then func()) wal.Location {
	sequence, at := m.env.Write(record, urgent)
	m.pendingWrites = append(m.pendingWrites, pendingWrite{sequence: sequence, queuedAt: m.env.Now(), onDurable: then})
	return at
}

// Synced is called when all records up to and including a sequence number are durable.
func (m *StateMachine) Synced(sequence uint64) {
	for len(m.pendingWrites) > 0 && m.pendingWrites[0].sequence <= sequence {
		then := m.pendingWrites[0].onDurable
		m.pendingWrites[0].onDurable = nil
		m.pendingWrites = m.pendingWrites[1:]
		then()
	}
	if len(m.pendingWrites) == 0 {
		m.pendingWrites = nil
	}
}

// afterPendingWrites calls a function once all records queued so far are durable, at once if there are none.
func (m *StateMachine) afterPendingWrites(then func()) {
	if len(m.pendingWrites) == 0 {
		then()
		return
	}
	last := m.pendingWrites[len(m.pendingWrites)-1]
	last.onDurable = then
	m.pendingWrites = append(m.pendingWrites, last)
}
