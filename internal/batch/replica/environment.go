package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// CallID identifies a client's call until it is answered.
type CallID uint64

// Environment is the interface through which a StateMachine does its input and output. Its methods must not call
// the state machine.
type Environment interface {
	// Now returns the time of a monotonic clock.
	Now() time.Duration
	// WallClock returns the time of day in Unix milliseconds.
	WallClock() int64
	// Write queues a record; a call of StateMachine.Synced reports that it is durable. Records are written in
	// order. An urgent record is written without waiting for further records to share its sync.
	Write(record []byte, urgent bool) (sequence uint64, at wal.Location)
	// Read reads part of a durable record.
	Read(at wal.Location) ([]byte, error)
	// Send sends a message to another store. The message may be lost.
	Send(to protocol.Process, message any)
	// Answer answers a call, which ends it.
	Answer(id CallID, answer protocol.BatchAnswer)
	// Start allows this store to run the batch job's items.
	Start(id string)
	// Stop withdraws the permission to run the batch job's items.
	Stop(id string)
	// FreeBytes returns the number of bytes by which the log may still grow, 0 while the disk is full.
	FreeBytes() int64
	// QueueLimit returns the number of tokens of one tenant that may be queued on a route, 0 for no limit. known is
	// false while the configuration doesn't have the route yet.
	QueueLimit(route string) (tokens int64, known bool)
	// ItemLifetime returns the time after a batch job's first submission, by this store's time of day, from which on
	// no store starts an item of the route any more, whatever that store's clock says; 0 if there is no such time.
	// known is false while the configuration doesn't have the route.
	ItemLifetime(route string) (lifetime time.Duration, known bool)
}
