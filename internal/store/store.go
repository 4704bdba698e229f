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
	Buffered  Durability = iota // it is in memory, and on disk FlushEvery later at most: a crash may take the latest of these
	Grouped                     // it is on disk, with all others that were written meanwhile, by one fsync for all
	Immediate                   // it is on disk by an fsync of its own
)

// Options are a store's limits. Zero values are replaced by those of the comments.
type Options struct {
	FlushEvery      time.Duration // 50 ms; how long buffered writes wait for a disk at most
	SegmentBytes    int64         // 16 MiB; a segment that is larger is closed and the next begun
	CheckpointBytes int64         // 64 MiB; of records, after which a checkpoint is made: what is read again after a crash
	MostBytes       int64         // 4 GiB; of all files: beyond it writes fail
	MostEntries     int           // 4,000,000; beyond it new keys fail: the index is in memory
}

const (
	inline      = 64       // values up to so many bytes stay in memory
	mostPending = 4 << 20  // bytes written and not yet on disk; writers wait beyond it
	copyBytes   = 1 << 20  // of a compaction, written at once
	scanBytes   = 64 << 20 // most of a segment that is looked through for what comes after damage
)

func (o Options) filled() Options {
	or := func(v *int64, d int64) {
		if *v <= 0 {
			*v = d
		}
	}
	or(&o.SegmentBytes, 16<<20)
	or(&o.CheckpointBytes, 64<<20)
	or(&o.MostBytes, 4<<30)
	if o.FlushEvery <= 0 {
		o.FlushEvery = 50 * time.Millisecond
	}
	if o.MostEntries <= 0 {
		o.MostEntries = 4_000_000
	}
	return o
}

// Errors of a store that works.
var (
	ErrClosed  = errors.New("store: closed")
	ErrTooMuch = errors.New("store: over its limit")
)

// Damage is why a folder is not opened: something acknowledged is missing or can't be read.
type Damage struct {
	File string
	At   int64 // byte
	What string
}

func (d *Damage) Error() string { return fmt.Sprintf("store: %s, byte %d: %s", d.File, d.At, d.What) }

// Store is an open one. It is safe for concurrent use.
type Store struct {
	fs     FS
	opt    Options
	unlock func()

	io sync.Mutex // held while files are written or exchanged; comes before mu

	mu       sync.RWMutex
	man      manifest
	files    map[uint64]File
	sizes    map[uint64]int64 // bytes that count, written ones included
	live     map[uint64]int64 // of them in records that are the newest of their keys
	index    map[string]*entry
	seq      uint64 // newest given out
	durable  uint64 // newest on disk
	flushing uint64 // newest that a flush has taken along
	pending  []byte // to be written at the end of the last segment
	waiting  []*entry
	round    *round // that will write what is pending
	began    int64  // where pending begins in the last segment
	next     uint64 // number of the next file
	since    int64  // bytes since the last checkpoint
	total    int64  // bytes of all segments, pending ones included
	failed   error
	closed   bool
	synced   *sync.Cond // of mu's write half: durable or failed has changed
	wake     chan struct{}
	done     chan struct{}
	counters Counters
}

// Counters are what a store has done.
type Counters struct {
	Writes, Syncs, Compactions, Checkpoints uint64
	Written, Asked                          uint64 // bytes to disk, and of keys and values
	Cut                                     int64  // bytes that a crash had left of unacknowledged records, cut off at the opening
	Entries                                 int
	Bytes                                   int64 // of all segments
	Recovery                                time.Duration
}

// Open opens a folder, and makes it a store where it is empty. It takes the folder's lock, raises the epoch, and gives back
// what was acknowledged; a Damage error says what is missing.
func Open(fs FS, opt Options) (*Store, error) {
	unlock, err := fs.Lock(lockName)
	if err != nil {
		return nil, err
	}
	s := &Store{fs: fs, opt: opt.filled(), unlock: unlock, files: map[uint64]File{}, sizes: map[uint64]int64{}, live: map[uint64]int64{},
		index: map[string]*entry{}, wake: make(chan struct{}, 1), done: make(chan struct{}), round: newRound()}
	s.synced = sync.NewCond(&s.mu)
	began := time.Now()
	if err := s.recover(true); err != nil {
		for _, f := range s.files {
			f.Close()
		}
		unlock()
		return nil, err
	}
	s.counters.Recovery = time.Since(began)
	go s.flusher()
	return s, nil
}

// ID names the store, Epoch counts how often it has been opened.
func (s *Store) ID() ID { return s.man.id }

// Epoch counts the openings of this store; a copy of an older folder has an older one.
func (s *Store) Epoch() uint64 { return s.man.epoch }

// Counters gives the counters.
func (s *Store) Counters() Counters {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.counters
	c.Entries, c.Bytes = len(s.index), s.total
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
	<-s.done
	err := s.flush()
	if err == nil {
		s.io.Lock()
		s.mu.Lock()
		s.man = s.sealed() // whoever cuts a file off from now on is found out
		s.mu.Unlock()
		err = s.checkpoint()
		s.io.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.files {
		f.Close()
	}
	s.synced.Broadcast()
	s.unlock()
	return err
}
