// Package store owns a small log-structured store on a folder: what outlasts a process. Its form on disk stands in format.go. A
// write is acknowledged once it is as durable as it asked to be, and what was acknowledged as durable is there after any
// crash; a disk that fails once is trusted no more. It must never give back what was not written, nor open a folder from
// which something acknowledged is missing.
package store

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Durability is what an acknowledgement means.
type Durability uint8

// The kinds.
const (
	Buffered    Durability = iota // it is in memory, and on disk FlushEvery later at most: a crash may take the latest of these
	GroupCommit                   // it is on disk, with all others that were written meanwhile, by one fsync for all
	Immediate                     // it is on disk by an fsync of its own
)

// Options are a store's limits. Zero values are replaced by those of the comments.
type Options struct {
	FlushInterval   time.Duration // 50 ms; how long buffered writes wait for a disk at most
	SegmentBytes    int64         // 16 MiB; a segment that is larger is closed and the next begun
	CheckpointBytes int64         // 64 MiB; of records, after which a checkpoint is made: what is read again after a crash
	MaxBytes        int64         // 4 GiB; of all files: beyond it writes fail
	MaxEntries      int           // 4,000,000; beyond it new keys fail: the index is in memory
}

const (
	maxInlineValue      = 64       // values up to so many bytes stay in memory
	maxPendingBytes     = 4 << 20  // bytes written and not yet on disk; writers wait beyond it
	compactionWriteSize = 1 << 20  // of a compaction, written at once
	maxCorruptionScan   = 64 << 20 // most of a segment that is looked through for what comes after damage
)

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

// Errors of a store that works.
var (
	ErrClosed        = errors.New("store: closed")
	ErrLimitExceeded = errors.New("store: over its limit")
)

// Damage is why a folder is not opened: something acknowledged is missing or can't be read.
type CorruptionError struct {
	File   string
	Offset int64 // byte
	Reason string
}

func (d *CorruptionError) Error() string {
	return fmt.Sprintf("store: %s, byte %d: %s", d.File, d.Offset, d.Reason)
}

// Store is an open one. It is safe for concurrent use.
type Store struct {
	fs     FS
	opt    Options
	unlock func()

	ioMu sync.Mutex // held while files are written or exchanged; comes before mu

	mu                   sync.RWMutex
	manifest             manifest
	segmentFiles         map[uint64]File
	segmentSizes         map[uint64]int64 // bytes that count, written ones included
	liveBytes            map[uint64]int64 // of them in records that are the newest of their keys
	index                map[string]*indexEntry
	lastSeq              uint64 // newest given out
	durableSeq           uint64 // newest on disk
	flushingSeq          uint64 // newest that a flush has taken along
	pending              []byte // to be written at the end of the last segment
	pendingEntries       []*indexEntry
	group                *commitGroup // that will write what is pending
	pendingOffset        int64        // where pending begins in the last segment
	nextFileNumber       uint64       // number of the next file
	bytesSinceCheckpoint int64        // bytes since the last checkpoint
	totalBytes           int64        // bytes of all segments, pending ones included
	writeErr             error
	closed               bool
	flushDone            *sync.Cond // of mu's write half: durable or failed has changed
	wake                 chan struct{}
	flusherDone          chan struct{}
	counters             Counters
}

// Counters are what a store has done.
type Counters struct {
	Writes, Syncs, Compactions, Checkpoints uint64
	BytesWritten, UserBytes                 uint64 // bytes to disk, and of keys and values
	TruncatedBytes                          int64  // bytes that a crash had left of unacknowledged records, cut off at the opening
	Entries                                 int
	DiskBytes                               int64 // of all segments
	RecoveryTime                            time.Duration
}

// Open opens a folder, and makes it a store where it is empty. It takes the folder's lock, raises the epoch, and gives back
// what was acknowledged; a Damage error says what is missing.
func Open(fs FS, opt Options) (*Store, error) {
	unlock, err := fs.Lock(lockName)
	if err != nil {
		return nil, err
	}
	s := &Store{fs: fs, opt: opt.withDefaults(), unlock: unlock, segmentFiles: map[uint64]File{}, segmentSizes: map[uint64]int64{}, liveBytes: map[uint64]int64{},
		index: map[string]*indexEntry{}, wake: make(chan struct{}, 1), flusherDone: make(chan struct{}), group: newCommitGroup()}
	s.flushDone = sync.NewCond(&s.mu)
	began := time.Now()
	if err := s.recover(true); err != nil {
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

// ID names the store, Epoch counts how often it has been opened.
func (s *Store) ID() ID { return s.manifest.id }

// Epoch counts the openings of this store; a copy of an older folder has an older one.
func (s *Store) Epoch() uint64 { return s.manifest.epoch }

// Counters gives the counters.
func (s *Store) Counters() Counters {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.counters
	c.Entries, c.DiskBytes = len(s.index), s.totalBytes
	return c
}

// Close writes what is buffered, makes a checkpoint and frees the folder.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	close(s.wake)
	<-s.flusherDone
	err := s.flush()
	if err == nil {
		s.ioMu.Lock()
		s.mu.Lock()
		s.manifest = s.sealedManifest() // whoever cuts a file off from now on is found out
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
