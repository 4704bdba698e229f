package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/wal"
)

// When is a record durable, and what waits for it?

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

// Synced says that all records up to a sequence number are durable.
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

// afterPendingWrites calls a function once all records that were queued so far are durable.
func (m *StateMachine) afterPendingWrites(then func()) {
	if len(m.pendingWrites) == 0 {
		then()
		return
	}
	last := m.pendingWrites[len(m.pendingWrites)-1]
	last.onDurable = then
	m.pendingWrites = append(m.pendingWrites, last)
}
