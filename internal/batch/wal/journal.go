// Package wal owns a store's log: records in segment files, each with a checksum, written in order and synced in
// groups. What is told to be durable comes back after a loss of power, and of what was not, a prefix. It must never know
// what records mean, and never writes into a segment of an earlier life.
//
// A segment is begun only once the one before it is whole on the disk, so only the last one with records can have lost some
// of them. What a start finds in it may not be on the disk yet, where a process was killed between write and sync: it is
// synced before anything is told of it and before the next segment is begun. Of a group that wasn't synced a loss of power
// leaves any part, also a later record without an earlier one; the marks of groups (record.go) tell that from damage.
//
// Log is the log without a thread of its own, for simulated worlds; Journal carries one with a goroutine.
package wal

import (
	"errors"
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/slots"
)

// Limits of the log, in bytes.
const (
	DefaultSegmentSize = 16 << 20
	MaxRecordSize      = 64 << 20
	readBufferSize     = 128 << 10
)

// DefaultLinger is how long records that nobody waits for may wait for company.
const DefaultLinger = 50 * time.Millisecond

// fullPause is the time between tries to write to a full disk.
const diskFullRetryInterval = 200 * time.Millisecond

// ErrCorrupt is given for a record that doesn't match its checksum where no loss of power can have left one.
var ErrCorrupt = errors.New("journal: corrupt record")

// Location is where a record's payload stands. It stays valid until its segment is released.
type Location struct {
	Segment uint32
	Offset  uint32
	Length  uint32
}

// Part narrows a location to some of its bytes.
func (l Location) Part(offset, length uint32) Location {
	return Location{Segment: l.Segment, Offset: l.Offset + offset, Length: length}
}

// Options adjust a journal. Zero values take the defaults.
type Options struct {
	SegmentSize int64         // size from which a new segment is begun, bytes
	Linger      time.Duration // of records that are not urgent

	// Skipped is told of each part of the log that is damaged as no loss of power damages it, between the records that
	// are replayed before and behind it. The part stays as it is. Without Skipped such a log isn't opened.
	OnSkipped func(Location)

	// CutOff is told of the end of the last segment with records, where it isn't whole and is cut off: what a loss of power
	// or a kill left of what was never synced, or damage to what was synced last, which can't be told from it.
	OnTruncated func(Location)
}

// Journal is an open log that a goroutine writes and syncs. Its methods may be called from any goroutine.
type WAL struct {
	*Log
	linger    time.Duration
	onDurable func(sequence uint64, err error)
	wake      chan struct{}
	writeNow  chan struct{}
	mutex     sync.Mutex
	closed    bool
	done      chan struct{}
}

// Open reads a directory's log, hands each record to replay in order, and begins a new segment. onDurable is called from
// one goroutine with the number of the last record that is synced, numbers counting from 1 in this life.
func Open(directory string, options Options, replay func(Location, []byte) error, onDurable func(uint64, error)) (*WAL, error) {
	return OpenFS(slots.Directory(directory), options, replay, onDurable)
}

// OpenFS is Open on a disk that may be a simulated one.
func OpenFS(fs slots.FS, options Options, replay func(Location, []byte) error, onDurable func(uint64, error)) (*WAL, error) {
	if options.Linger <= 0 {
		options.Linger = DefaultLinger
	}
	log, err := OpenLog(fs, options, replay)
	if err != nil {
		return nil, err
	}
	w := &WAL{
		Log:       log,
		linger:    options.Linger,
		onDurable: onDurable,
		wake:      make(chan struct{}, 1),
		writeNow:  make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
	go w.run()
	return w, nil
}

// Append queues a record and gives its number and where it will stand. Urgent ones are written at once.
func (w *WAL) Append(payload []byte, urgent bool) (uint64, Location) {
	sequence, location := w.Log.Append(payload)
	notify(w.wake)
	if urgent {
		notify(w.writeNow)
	}
	return sequence, location
}

func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// run writes and syncs what is queued until the journal is closed or fails.
func (w *WAL) run() {
	defer close(w.done)
	for range w.wake {
		w.awaitGroup()
		closing := w.isClosed() // what was queued before is written below
		if err := w.writeQueued(); err != nil {
			w.onDurable(w.Durable(), err)
			return
		}
		if closing {
			return
		}
	}
}

// gather gives records that nobody waits for time to gather.
func (w *WAL) awaitGroup() {
	timer := time.NewTimer(w.linger)
	defer timer.Stop()
	select {
	case <-w.writeNow:
	case <-timer.C:
	}
}

// writeQueued takes steps until all that was queued is durable. A full disk is waited for: nothing is told to be durable
// meanwhile. What a sync has failed for is lost, and ends the journal.
func (w *WAL) writeQueued() error {
	notified := w.Durable()
	for {
		more, err := w.Step()
		if durable := w.Durable(); durable > notified {
			notified = durable
			w.onDurable(notified, nil)
		}
		switch {
		case errors.Is(err, ErrDiskFull) && !w.isClosed():
			time.Sleep(diskFullRetryInterval)
		case err != nil:
			return err
		case !more:
			return nil
		}
	}
}

func (w *WAL) isClosed() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.closed
}

// Close writes what is queued and ends the journal.
func (w *WAL) Close() {
	w.mutex.Lock()
	w.closed = true
	w.mutex.Unlock()
	notify(w.writeNow)
	notify(w.wake)
	<-w.done
	w.closeFiles()
}
