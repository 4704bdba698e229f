package slots

import (
	"errors"
	"fmt"
	"sync"
)

// maxKeptBuffer is the largest encoding buffer in bytes that is kept from one Append to the next.
const maxKeptBuffer = 64 << 10

// Options configures a store.
type Options struct {
	// Prefix is the prefix of the names of the store's files. Several stores can share a folder with different
	// prefixes.
	Prefix string
}

// Store is an open store. Its methods are safe for concurrent use; calls are serialized.
type Store struct {
	fs     FS
	prefix string

	// mutex guards all fields below. It is held during writes and syncs, so that the batches on disk are in the
	// order of the calls.
	mutex sync.Mutex
	// active is the number of the slot and log that hold the state: 0 or 1.
	active int
	// sequence is the sequence of the active slot and log.
	sequence uint64
	// log is the active log, nil once closed. Its first logSize bytes are valid and synced. batches is the
	// number of batches in them.
	log     File
	logSize int64
	batches uint32
	// buffer is reused to encode batches.
	buffer []byte
	// uncertain is an error that wraps ErrUncertain if the contents of the disk are unknown, or nil.
	uncertain error
	closed    bool
}

// Append appends records to the log, all or none of them. They are durable when it returns nil. After
// ErrUncertain it is unknown whether they are stored; after any other error, such as ErrDiskFull, none of them is
// stored.
func (s *Store) Append(records ...[]byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.checkAppendable(); err != nil {
		return err
	}
	if len(records) == 0 {
		return nil
	}
	batch, err := appendBatch(s.buffer[:0], s.sequence, s.batches, records)
	if err != nil {
		return err
	}
	if cap(batch) <= maxKeptBuffer {
		s.buffer = batch
	}
	_, err = s.log.Write(batch)
	if err == nil {
		err = s.log.Sync()
	}
	if err != nil {
		return s.undoAppend(err)
	}
	s.logSize += int64(len(batch))
	s.batches++
	return nil
}

// checkAppendable returns an error if the store is closed or the contents of the disk are unknown. The caller
// holds the mutex.
func (s *Store) checkAppendable() error {
	if s.closed {
		return ErrClosed
	}
	return s.uncertain
}

// undoAppend truncates the log to its size before a failed append, and returns the error of the append. Without
// this, the next Open could find a batch that was reported as failed.
func (s *Store) undoAppend(cause error) error {
	err := s.log.Truncate(s.logSize)
	if err == nil {
		err = s.log.Sync()
	}
	if err != nil {
		s.uncertain = fmt.Errorf("%w: %w, then %w", ErrUncertain, cause, err)
		return s.uncertain
	}
	return fmt.Errorf("slots: append: %w", markDiskFull(cause))
}

// LogBytes returns the size in bytes of the log since the last Compact. The caller uses it to decide when to
// compact.
func (s *Store) LogBytes() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.logSize
}

// Close closes the store. Acknowledged records and snapshots are already durable.
func (s *Store) Close() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	if s.log == nil {
		return nil
	}
	err := s.log.Close()
	s.log = nil
	return err
}

// closeLog closes the active log, if it is open. It ignores the error, because all acknowledged contents are
// already synced.
func (s *Store) closeLog() {
	if s.log != nil {
		_ = s.log.Close()
		s.log = nil
	}
}

// writeFile replaces the contents of a file by the concatenation of parts and syncs it. Without parts the file
// becomes empty.
func (s *Store) writeFile(name string, parts ...[]byte) error {
	file, err := s.fs.Create(name)
	if err != nil {
		return err
	}
	for _, part := range parts {
		if len(part) == 0 {
			continue
		}
		if _, err := file.Write(part); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	return errors.Join(file.Sync(), file.Close())
}

// syncFile makes the contents of an existing file durable.
func (s *Store) syncFile(name string) error {
	file, err := s.fs.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}
