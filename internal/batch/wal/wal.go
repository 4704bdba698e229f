package wal

import (
	"errors"
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/slots"
)

// diskFullRetryInterval is the time between attempts to write to a full disk.
const diskFullRetryInterval = 200 * time.Millisecond

// ReplayFunc is called with each record that is read when a log is opened. It may retain the payload. If it
// returns an error, the log isn't opened.
type ReplayFunc func(at Location, payload []byte) error

// DurableFunc is called with the sequence number of the last record that is synced. If err is not nil the log has
// failed: no record that was appended after that one is known to be durable, and there are no more calls.
type DurableFunc func(sequence uint64, err error)

// WAL is an open log that a goroutine writes and syncs. Its methods may be called from any goroutine.
type WAL struct {
	*Log
	linger    time.Duration
	onDurable DurableFunc
	wake      chan struct{} // capacity 1; signals that there are records to write, or that the log was closed
	writeNow  chan struct{} // capacity 1; signals that queued records must not linger
	done      chan struct{} // closed when the goroutine has ended

	mutex  sync.Mutex
	closed bool // guarded by mutex
}

// Open reads the log in a directory, calls replay with each record in order, and begins a new segment.
// onDurable is called from one goroutine. Sequence numbers start at 1 in each incarnation. Errors are those of
// OpenLog.
func Open(directory string, options Options, replay ReplayFunc, onDurable DurableFunc) (*WAL, error) {
	return OpenFS(slots.Directory(directory), options, replay, onDurable)
}

// OpenFS is like Open, but uses the given directory, which may be simulated.
func OpenFS(fs slots.FS, options Options, replay ReplayFunc, onDurable DurableFunc) (*WAL, error) {
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

// Append queues a record and returns its sequence number and the location that its payload will have. An
// urgent record is written without lingering for others.
func (w *WAL) Append(payload []byte, urgent bool) (uint64, Location) {
	sequence, location := w.Log.Append(payload)
	notify(w.wake)
	if urgent {
		notify(w.writeNow)
	}
	return sequence, location
}

// notify sends a signal to a channel of capacity 1, unless there is one in it already.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// run writes and syncs queued records until the log is closed or fails.
func (w *WAL) run() {
	defer close(w.done)
	for range w.wake {
		w.awaitGroup()
		closed := w.isClosed() // read before the write, so that all records appended before Close are written
		if err := w.writeQueued(); err != nil {
			w.onDurable(w.Durable(), err)
			return
		}
		if closed {
			return
		}
	}
}

// awaitGroup waits for the linger time or until a record is urgent, so that records that are not urgent are
// synced together.
func (w *WAL) awaitGroup() {
	timer := time.NewTimer(w.linger)
	defer timer.Stop()
	select {
	case <-w.writeNow:
	case <-timer.C:
	}
}

// writeQueued calls Step until all queued records are durable. While the disk is full it retries, unless the log
// is closed, and reports no further records as durable. Any other error is final: after a failed sync the state of
// the page cache is unknown, so a second sync that succeeds would prove nothing.
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

// Close writes and syncs queued records, ends the goroutine and closes the files. It must be called once.
func (w *WAL) Close() {
	w.mutex.Lock()
	w.closed = true
	w.mutex.Unlock()
	notify(w.writeNow)
	notify(w.wake)
	<-w.done
	w.closeFiles()
}
