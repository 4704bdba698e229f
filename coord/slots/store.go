package slots

import (
	"errors"
	"fmt"
	"sync"
)

var (
	// ErrDamaged reports that acknowledged state is missing from the disk.
	ErrCorrupt = errors.New("slots: acknowledged state is damaged")
	// ErrFull reports a disk without space. Nothing was stored, and the store goes on as before.
	ErrDiskFull = errors.New("slots: disk is full")
	// ErrBroken reports that a write failed in a way that leaves open whether it was stored. Append is refused until
	// a Compact has succeeded.
	ErrUncertain = errors.New("slots: state of the disk is unknown")
	// ErrClosed reports a store that was closed.
	ErrClosed = errors.New("slots: closed")
)

// keepBuffer is the largest buffer in bytes that is kept between appends.
const maxKeptBuffer = 64 << 10

// Options adjusts a store.
type Options struct {
	// Prefix starts the names of the store's files, so that stores can share a folder.
	Prefix string
}

// Store is an open store. Its methods may be called from several goroutines, one at a time gets through.
type Store struct {
	fs     FS
	prefix string

	mutex     sync.Mutex
	active    int    // the number of the slot and log in use
	sequence  uint64 // of that slot
	log       File
	logSize   int64  // of the log in bytes, all synced
	batches   uint32 // in the log
	buffer    []byte
	uncertain error // why the state of the disk is unknown
	closed    bool
}

// Open opens the store in a folder, or makes an empty one. With ErrDamaged it returns no store, and whatever is
// readable.
func Open(fs FS, options Options) (*Store, Recovered, error) {
	loaded, err := loadFiles(fs, options.Prefix)
	if err != nil {
		return nil, Recovered{}, fmt.Errorf("slots: %w", err)
	}
	recovered, current := loaded.recover()
	if recovered.DataLoss() {
		return nil, recovered, fmt.Errorf("%w: %s", ErrCorrupt, recovered.describeFindings())
	}
	s := &Store{fs: fs, prefix: options.Prefix}
	if current < 0 {
		err = s.createEmpty()
	} else {
		err = s.openExisting(loaded, current)
	}
	if err != nil {
		s.closeLog()
		return nil, Recovered{}, fmt.Errorf("slots: open: %w", markDiskFull(err))
	}
	return s, recovered, nil
}

// create makes the files of an empty store. The slot that makes it valid comes last, once all names are durable.
func (s *Store) createEmpty() error {
	s.sequence = 1
	for number := range 2 {
		if err := s.writeFile(slotName(s.prefix, number)); err != nil {
			return err
		}
		if err := s.writeFile(logName(s.prefix, number), encodeLogHeader(uint64(number+1))); err != nil {
			return err
		}
	}
	if err := s.fs.SyncDir(); err != nil {
		return err
	}
	if err := s.writeFile(slotName(s.prefix, 0), encodeSlotHeader(s.sequence, nil)); err != nil {
		return err
	}
	if err := s.fs.SyncDir(); err != nil {
		return err
	}
	return s.openLog(logHeaderSize)
}

// adopt takes over the files that were found, makes them durable and cuts off what follows the last good batch.
func (s *Store) openExisting(loaded *storeFiles, current int) error {
	s.active = current
	s.sequence = loaded.slots[current].sequence
	s.batches = loaded.logs[current].batches
	if loaded.missing {
		if err := s.recreateMissingFiles(); err != nil {
			return err
		}
	}
	if err := s.syncFile(slotName(s.prefix, current)); err != nil {
		return err
	}
	if err := s.truncateTornSlot(loaded); err != nil {
		return err
	}
	if err := s.fs.SyncDir(); err != nil {
		return err
	}
	if err := s.openLog(loaded.logs[current].validSize); err != nil {
		return err
	}
	if loaded.logs[current].fileSize > s.logSize {
		if err := s.log.Truncate(s.logSize); err != nil {
			return err
		}
	}
	return s.log.Sync()
}

// replaceMissing makes the files of the slot that is not in use anew.
func (s *Store) recreateMissingFiles() error {
	other := 1 - s.active
	if err := s.writeFile(logName(s.prefix, other)); err != nil {
		return err
	}
	return s.writeFile(slotName(s.prefix, other))
}

// emptyTornSlot empties the other slot if a Compact was cut off in it. Its writes may not be durable yet: together
// with those of the next Compact, which has the same sequence, a loss of power could make a valid slot of them.
func (s *Store) truncateTornSlot(loaded *storeFiles) error {
	other := 1 - s.active
	if loaded.slots[other].valid {
		return nil
	}
	return s.writeFile(slotName(s.prefix, other))
}

// openLog opens the log in use, whose good part has this size.
func (s *Store) openLog(size int64) error {
	log, err := s.fs.Open(logName(s.prefix, s.active))
	if err != nil {
		return err
	}
	s.log = log
	s.logSize = size
	return nil
}

// closeLog closes the log in use, if it is open.
func (s *Store) closeLog() {
	if s.log != nil {
		_ = s.log.Close()
		s.log = nil
	}
}

// writeFile replaces the contents of a file by these parts and syncs it.
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

// Append stores records after all others. They are durable when it returns nil. After an error other than ErrBroken
// none of them is stored; after ErrBroken all or none are.
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

// refusal returns why Append isn't possible.
func (s *Store) checkAppendable() error {
	if s.closed {
		return ErrClosed
	}
	return s.uncertain
}

// undoAppend cuts a failed append off the log and returns the error of the append.
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

// Compact replaces the state by a snapshot of it. After nil the snapshot is durable and the log is empty. After an
// error other than ErrBroken the old snapshot and log are in use as before.
func (s *Store) Compact(snapshot []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return ErrClosed
	}
	next := 1 - s.active
	sequence := s.sequence + 1
	if err := s.writeFile(logName(s.prefix, next), encodeLogHeader(sequence)); err != nil {
		return fmt.Errorf("slots: compact: %w", markDiskFull(err))
	}
	log, err := s.fs.Open(logName(s.prefix, next))
	if err != nil {
		return fmt.Errorf("slots: compact: %w", err)
	}
	if err := s.writeFile(slotName(s.prefix, next), encodeSlotHeader(sequence, snapshot), snapshot); err != nil {
		_ = log.Close()
		return s.undoCompact(next, err)
	}
	s.closeLog()
	s.log = log
	s.active = next
	s.sequence = sequence
	s.logSize = logHeaderSize
	s.batches = 0
	s.uncertain = nil
	return nil
}

// undoCompact empties a slot whose writing failed and returns the error of the compaction.
func (s *Store) undoCompact(slot int, cause error) error {
	if err := s.writeFile(slotName(s.prefix, slot)); err != nil {
		s.uncertain = fmt.Errorf("%w: %w, then %w", ErrUncertain, cause, err)
		return s.uncertain
	}
	return fmt.Errorf("slots: compact: %w", markDiskFull(cause))
}

// classify marks the errors of a full disk.
func markDiskFull(err error) error {
	if isDiskFull(err) {
		return fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	return err
}

// LogBytes returns the size of the log in bytes, which tells when to compact.
func (s *Store) LogBytes() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.logSize
}

// Verify reads the files again and reports what is not as it was acknowledged.
func (s *Store) Verify() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.checkAppendable(); err != nil {
		return err
	}
	loaded, err := loadFiles(s.fs, s.prefix)
	if err != nil {
		return fmt.Errorf("slots: verify: %w", err)
	}
	slot := loaded.slots[s.active]
	log := loaded.logs[s.active]
	switch {
	case !slot.valid || slot.sequence != s.sequence:
		return fmt.Errorf("%w: %s", ErrCorrupt, slotName(s.prefix, s.active))
	case !log.valid || log.sequence != s.sequence || log.validSize != s.logSize || log.batches != s.batches:
		return fmt.Errorf("%w: %s after %d bytes", ErrCorrupt, logName(s.prefix, s.active), log.validSize)
	}
	return nil
}

// Close closes the store. What was acknowledged stays.
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
