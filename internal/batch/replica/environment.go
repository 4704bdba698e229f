package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// What does a state machine act through?

// CallID names a client's call until it is answered.
type CallID uint64

// Environment is what a StateMachine acts through. None of its methods may call the state machine back.
type Environment interface {
	// Now reads a monotonic clock.
	Now() time.Duration
	// WallClock gives the time of day in Unix milliseconds.
	WallClock() int64
	// Write queues a record; StateMachine.Synced says when it is durable. Records are written in order. An
	// urgent one is written without waiting for others to share its sync.
	Write(record []byte, urgent bool) (sequence uint64, at wal.Location)
	// Read reads part of a durable record.
	Read(at wal.Location) ([]byte, error)
	// Send sends a message to another store; it may be lost.
	Send(to protocol.Process, message any)
	// Answer ends a call.
	Answer(id CallID, answer protocol.BatchAnswer)
	// Start says that this store may run the batch job's items.
	Start(id string)
	// Stop says that this store may not run the batch job's items any more.
	Stop(id string)
	// FreeBytes gives the number of bytes that the disk still takes.
	FreeBytes() int64
	// QueueLimit gives the number of tokens of one tenant that may be queued on a route, 0 for no limit. It is
	// not known while the configuration doesn't have the route yet.
	QueueLimit(route string) (tokens int64, known bool)
	// ItemLifetime gives the time after a batch job's first submission, by this store's time of day, from which on no
	// store starts an item of the route any more, whatever its own clock says; 0 for no such time. It is not known while
	// the configuration doesn't have the route.
	ItemLifetime(route string) (lifetime time.Duration, known bool)
}
