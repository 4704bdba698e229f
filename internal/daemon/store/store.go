package store

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Durability is how durable a batch is once Write has acknowledged it.
type Durability uint8

// The levels of durability.
const (
	// Buffered: in memory, and on disk after Options.FlushInterval at most. A crash loses the batches that are not
	// flushed yet.
	Buffered Durability = iota
	// GroupCommit: on disk, by one fsync for all batches that were written in the meantime.
	GroupCommit
	// Immediate: on disk, by an fsync that starts at once.
	Immediate
)

// Options are the limits of a store. A zero value is replaced by the default.
type Options struct {
	// FlushInterval bounds how long a buffered batch waits for the disk. Default: 50 ms.
	FlushInterval time.Duration
	// SegmentBytes is the size at which the active segment is sealed and a new one started. Default: 16 MiB. Smaller
	// segments are compacted earlier, and cost more files.
	SegmentBytes int64
	// CheckpointBytes is how much is written between two checkpoints. It bounds what is replayed after a crash.
	// Default: 64 MiB.
	CheckpointBytes int64
	// MaxBytes limits the size of all segments. Write fails with ErrLimitExceeded beyond it. Default: 4 GiB.
	MaxBytes int64
	// MaxEntries limits the keys, tombstones included, as the index is in memory. Write fails with ErrLimitExceeded
	// beyond it. Default: 4,000,000.
	MaxEntries int
}

// withDefaults replaces zero and negative values.
func (o Options) withDefaults() Options {
	or := func(v *int64, d int64) {
		if *v <= 0 {
			*v = d
		}
	}
	or(&o.SegmentBytes, 16<<20)
	or(&o.CheckpointBytes, 64<<20)
	or(&o.MaxBytes, 4<<30)
	if o.FlushInterval <= 0 {
		o.FlushInterval = 50 * time.Millisecond
	}
	if o.MaxEntries <= 0 {
		o.MaxEntries = 4_000_000
	}
	return o
}

// The errors that Write returns for other reasons than a disk failure.
var (
	ErrClosed        = errors.New("store: closed")
	ErrLimitExceeded = errors.New("store: limit of bytes or entries exceeded")
)

// CorruptionError reports that acknowledged data is missing or unreadable.
type CorruptionError struct {
	File   string
	Offset int64 // in bytes
	Reason string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("store: %s, byte %d: %s", e.File, e.Offset, e.Reason)
}

// Store is an open store. It is safe for concurrent use, Close included.
type Store struct {
	fs     FS
	opt    Options
	unlock func() // releases the lock of the directory

	// ioMu serializes all writing of files: flushes, rotation, compaction and checkpoints. It is locked before mu, and
	// guards nextFileNumber.
	ioMu           sync.Mutex
	nextFileNumber uint64

	// mu guards the fields below. It is held while memory is changed, and not during disk access, except in rotate.
	// The manifest and segmentFiles are changed only while ioMu is held too, so holding either lock suffices to read
	// them.
	mu           sync.RWMutex
	manifest     manifest
	segmentFiles map[uint64]File
	segmentSizes map[uint64]int64 // bytes that are written or being written
	liveBytes    map[uint64]int64 // bytes in records that are the newest of their key, pending ones included
	index        map[string]*indexEntry

	lastSeq     uint64 // of the newest record
	flushingSeq uint64 // of the newest record that the latest flush has taken from pending
	durableSeq  uint64 // of the newest record on disk; at most lastSeq

	pending        []byte        // encoded records that follow pendingOffset in the active segment
	pendingOffset  int64         // offset in the active segment at which pending is written next
	pendingEntries []*indexEntry // index entries of the pending records
	group          *commitGroup  // of the pending records

	bytesSinceCheckpoint int64
	totalBytes           int64 // of all segments, pending records included
	writeErr             error // first disk error; nothing is written after it
	closed               bool
	counters             Counters

	flushDone   *sync.Cond    // on mu; durableSeq, writeErr or closed has changed
	wake        chan struct{} // capacity 1; asks flushLoop for a flush; never closed, as writers may still send
	closing     chan struct{} // closed by Close; ends flushLoop
	flusherDone chan struct{} // closed when flushLoop has returned
}

// Counters count what a store has done since it was opened.
type Counters struct {
	Writes, Syncs, Compactions, Checkpoints uint64

	BytesWritten   uint64 // to files; divided by UserBytes it is the write amplification
	UserBytes      uint64 // of keys and values that were passed to Write
	TruncatedBytes int64  // of torn writes, removed by Open
	Entries        int    // keys in the index, tombstones included
	DiskBytes      int64  // size of all segments, pending records included
	RecoveryTime   time.Duration
}

// Open opens the store in a directory, and creates it in an empty one. It locks the directory (ErrLocked), recovers
// the index and increments the epoch. It returns a *CorruptionError if acknowledged data is missing; Verify reports
// all damage, and Repair salvages the readable records.
func Open(fs FS, opt Options) (*Store, error) {
	unlock, err := fs.Lock(lockName)
	if err != nil {
		return nil, err
	}
	s := &Store{fs: fs, opt: opt.withDefaults(), unlock: unlock,
		segmentFiles: map[uint64]File{}, segmentSizes: map[uint64]int64{}, liveBytes: map[uint64]int64{},
		index: map[string]*indexEntry{}, group: newCommitGroup(),
		wake: make(chan struct{}, 1), closing: make(chan struct{}), flusherDone: make(chan struct{})}
	s.flushDone = sync.NewCond(&s.mu)
	began := time.Now()
	if err := s.recover(); err != nil {
		for _, f := range s.segmentFiles {
			f.Close()
		}
		unlock()
		return nil, err
	}
	s.counters.RecoveryTime = time.Since(began)
	go s.flushLoop()
	return s, nil
}

// ID returns the identity of the store, which all copies of its directory share.
func (s *Store) ID() ID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.manifest.id
}

// Epoch returns how often the store has been opened. An older copy of a directory has a smaller epoch.
func (s *Store) Epoch() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.manifest.epoch
}

// Counters returns the counters.
func (s *Store) Counters() Counters {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.counters
	c.Entries, c.DiskBytes = len(s.index), s.totalBytes
	return c
}

// Close flushes the pending records, seals the segments, writes a checkpoint and unlocks the directory. Calls of
// Write that are in progress are flushed, or return ErrClosed. A second call does nothing.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	close(s.closing)
	<-s.flusherDone
	err := s.flush()
	if err == nil {
		s.ioMu.Lock()
		s.mu.Lock()
		s.manifest = s.sealedManifest() // the sizes make a truncation of a closed store detectable
		s.mu.Unlock()
		err = s.checkpoint()
		s.ioMu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.segmentFiles {
		f.Close()
	}
	s.flushDone.Broadcast()
	s.unlock()
	return err
}
