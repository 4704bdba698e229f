// Package store owns a small log-structured store on a folder: what outlasts a process. Its form on disk stands in format.go. A
// write is acknowledged once it is as durable as it asked to be, and what was acknowledged as durable is there after any
// crash; a disk that fails once is trusted no more. It must never give back what was not written, nor open a folder from
// which something acknowledged is missing.
package store

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
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

// Batch is changes that count whole or not at all.
type Batch struct{ records []record }

// Put sets a key's value. Both are copied.
func (b *Batch) Put(key, value []byte) { b.add(typePut, key, value) }

// Delete removes a key.
func (b *Batch) Delete(key []byte) { b.add(typeDelete, key, nil) }

func (b *Batch) add(kind byte, key, value []byte) {
	b.records = append(b.records, record{kind: kind, key: bytes.Clone(key), value: bytes.Clone(value)})
}

// entry is where a key's newest record is.
type entry struct {
	seq   uint64
	value []byte // where it is small, or not yet on disk; nil: on disk
	where place
	gone  bool   // deleted, which older segments may not know
	prev  *entry // that it took the place of, until it is on disk itself
}

// on gives the newest of an entry and those before it that is on disk; nil: none is.
func (e *entry) on(durable uint64) *entry {
	for e != nil && e.seq > durable {
		e = e.prev
	}
	return e
}

type place struct {
	segment uint64
	at      int64
	size    uint32 // of the record
}

// round is one flush, which those wait for whose records it writes.
type round struct {
	done chan struct{} // closed when it is over
	err  error         // of it, from then on
}

func newRound() *round { return &round{done: make(chan struct{})} }

// end lets all go on who wait for it.
func (r *round) end(err error) {
	r.err = err
	close(r.done)
}

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

// Write applies a batch and gives back once it is as durable as asked.
func (s *Store) Write(b *Batch, d Durability) error {
	if len(b.records) == 0 {
		return nil
	}
	size := 0
	for _, r := range b.records {
		if len(r.key) == 0 || len(r.key) > MostKey || len(r.value) > MostValue {
			return fmt.Errorf("store: a key has 1 to %d bytes, a value up to %d", MostKey, MostValue)
		}
		size += r.size()
	}
	s.mu.Lock()
	for len(s.pending) > mostPending && s.failed == nil && !s.closed {
		s.nudge()
		s.synced.Wait()
	}
	switch {
	case s.failed != nil:
		defer s.mu.Unlock()
		return s.failed
	case s.closed:
		defer s.mu.Unlock()
		return ErrClosed
	case s.total+int64(size) > s.opt.MostBytes || len(s.index)+len(b.records) > s.opt.MostEntries:
		defer s.mu.Unlock()
		return ErrTooMuch
	}
	last := s.man.segments[len(s.man.segments)-1].number
	for i, r := range b.records {
		s.seq++
		r.seq, r.durable, r.last = s.seq, s.durable, i == len(b.records)-1
		at := s.began + int64(len(s.pending))
		s.pending = r.append(s.pending)
		e := &entry{seq: r.seq, value: r.value, where: place{last, at, uint32(r.size())}, gone: r.kind == typeDelete}
		if e.value == nil {
			e.value = []byte{}
		}
		s.put(string(r.key), e)
		s.waiting = append(s.waiting, e)
		s.total += int64(r.size())
		s.counters.Asked += uint64(len(r.key) + len(r.value))
	}
	s.counters.Writes++
	mine := s.round
	s.mu.Unlock()
	switch d {
	case Buffered:
		return nil
	case Immediate:
		return s.flush()
	}
	s.nudge()
	<-mine.done
	return mine.err
}

// put makes an entry its key's newest. The mutex is held.
func (s *Store) put(key string, e *entry) {
	if old := s.index[key]; old != nil {
		if old.seq > e.seq {
			return
		}
		s.live[old.where.segment] -= int64(old.where.size)
		if e.prev = old; old.seq > max(s.durable, s.flushing) { // neither is on disk or on its way: the older one never matters
			e.prev = old.prev
		}
	}
	s.live[e.where.segment] += int64(e.where.size)
	s.index[key] = e
}

// count works out anew how many bytes all segments have. The mutex is held.
func (s *Store) count() {
	s.total = int64(len(s.pending))
	for _, size := range s.sizes {
		s.total += size
	}
}

// nudge has the flusher work now.
func (s *Store) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// flusher writes what is buffered, at once for those who wait and now and then for the others.
func (s *Store) flusher() {
	defer close(s.done)
	tick := time.NewTicker(s.opt.FlushEvery)
	defer tick.Stop()
	for {
		select {
		case _, open := <-s.wake:
			if !open {
				return
			}
		case <-tick.C:
		}
		if s.flush() == nil {
			s.tidy()
		}
	}
}

// flush writes what is buffered and waits for the disk. Its error is the store's from then on.
func (s *Store) flush() error {
	s.io.Lock()
	defer s.io.Unlock()
	return s.flushLocked()
}

func (s *Store) flushLocked() error {
	s.mu.Lock()
	if s.failed != nil || len(s.pending) == 0 {
		defer s.mu.Unlock()
		return s.failed
	}
	pending, waiting, at, seq, mine := s.pending, s.waiting, s.began, s.seq, s.round
	s.round = newRound()
	last := s.man.segments[len(s.man.segments)-1].number
	file := s.files[last]
	s.pending, s.waiting, s.began, s.flushing = nil, nil, at+int64(len(pending)), seq
	s.sizes[last] = s.began
	s.mu.Unlock()
	_, err := file.WriteAt(pending, at)
	if err == nil {
		err = file.Sync()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil { // what of it is on the disk nobody knows, nor whether a later fsync would tell
		err = s.fail(err)
		mine.end(err)
		return err
	}
	s.flushed(int64(len(pending)), seq, waiting)
	mine.end(nil)
	return nil
}

// flushed notes that all up to a number is on disk. The mutex is held.
func (s *Store) flushed(bytes int64, seq uint64, waiting []*entry) {
	s.counters.Syncs++
	s.counters.Written += uint64(bytes)
	s.durable = seq
	s.since += bytes
	for _, e := range waiting {
		if e.prev = nil; len(e.value) > inline {
			e.value = nil
		}
	}
	s.synced.Broadcast()
}

// fail ends all writing. The mutex is held.
func (s *Store) fail(err error) error {
	if s.failed == nil {
		s.failed = fmt.Errorf("store: the disk failed, nothing more is acknowledged: %w", err)
		s.synced.Broadcast()
		s.round.end(s.failed) // what is pending is never written
		s.round = newRound()
	}
	return s.failed
}

// Err is why nothing more is acknowledged; nil: the store works.
func (s *Store) Err() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.failed
}

// Get gives a key's value; ok is false where there is none.
func (s *Store) Get(key []byte) (value []byte, ok bool, err error) {
	for range 2 { // a compaction may take the segment away meanwhile, and has put the record elsewhere then
		s.mu.RLock()
		e := s.index[string(key)]
		if e == nil || e.gone {
			s.mu.RUnlock()
			return nil, false, nil
		}
		if e.value != nil {
			value = bytes.Clone(e.value)
			s.mu.RUnlock()
			return value, true, nil
		}
		where, file := e.where, s.files[e.where.segment]
		s.mu.RUnlock()
		if value, err = readValue(file, where, key); err == nil {
			return value, true, nil
		}
	}
	return nil, false, err
}

func readValue(file File, where place, key []byte) ([]byte, error) {
	b := make([]byte, where.size)
	if _, err := file.ReadAt(b, where.at); err != nil && err != io.EOF {
		return nil, err
	}
	r, _, ok := readRecord(b)
	if !ok || !bytes.Equal(r.key, key) {
		return nil, &Damage{segmentName(where.segment), where.at, "a record can't be read"}
	}
	return r.value, nil
}

// Each shows all keys with their values, in the order of the keys, until show says no. What is written meanwhile may show or not.
func (s *Store) Each(prefix []byte, show func(key, value []byte) bool) error {
	s.mu.RLock()
	var keys []string
	for k, e := range s.index {
		if !e.gone && len(k) >= len(prefix) && k[:len(prefix)] == string(prefix) {
			keys = append(keys, k)
		}
	}
	s.mu.RUnlock()
	slices.Sort(keys)
	for _, k := range keys {
		value, ok, err := s.Get([]byte(k))
		if err != nil {
			return err
		}
		if ok && !show([]byte(k), value) {
			return nil
		}
	}
	return nil
}

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

func newID() (id ID) {
	rand.Read(id[:])
	return id
}

// install puts a manifest in place. The io mutex is held.
func (s *Store) install(m manifest) error {
	name := manifestName + ".tmp"
	if err := s.whole(name, m.bytes()); err != nil {
		return err
	}
	if err := s.fs.Sync(); err != nil { // the files that it names are there before it names them
		return err
	}
	if err := s.fs.Rename(name, manifestName); err != nil {
		return err
	}
	return s.fs.Sync()
}

// whole makes a file with some bytes, and waits for the disk.
func (s *Store) whole(name string, b []byte) error {
	s.fs.Remove(name) // what a crash has left
	f, err := s.fs.Open(name, true)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.WriteAt(b, 0); err != nil {
		return err
	}
	return f.Sync()
}

// begin opens a further segment for writing and puts it in the manifest, with what else changes there. The io mutex is held, and
// nothing is pending.
func (s *Store) begin(m manifest) error {
	number := s.next
	s.next++
	f, err := s.fs.Open(segmentName(number), true)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(segmentBytes(m.id, m.epoch, number), 0); err == nil {
		err = f.Sync()
	}
	if err != nil {
		f.Close()
		return err
	}
	m.segments = append(slices.Clone(m.segments), segment{number: number, first: s.seq + 1})
	if err := s.install(m); err != nil {
		f.Close()
		return err
	}
	s.man, s.files[number], s.sizes[number], s.began = m, f, segmentHead, segmentHead
	s.count()
	return nil
}

// sealed gives the manifest with all segments closed. The mutex is held, and nothing is pending.
func (s *Store) sealed() manifest {
	m := s.man
	m.segments = slices.Clone(m.segments)
	for i, g := range m.segments {
		m.segments[i].length = s.sizes[g.number]
	}
	return m
}

// tidy closes a segment that is large enough, compacts and makes checkpoints, where it is time.
func (s *Store) tidy() {
	s.io.Lock()
	defer s.io.Unlock()
	s.mu.RLock()
	last := s.man.segments[len(s.man.segments)-1].number
	large, old, failed := s.sizes[last] >= s.opt.SegmentBytes, s.since >= s.opt.CheckpointBytes, s.failed
	s.mu.RUnlock()
	if failed != nil {
		return
	}
	var err error
	if large {
		err = s.rotate()
	}
	if worn := s.worn(); err == nil && large && len(worn) > 0 {
		err = s.compact(worn)
	} else if err == nil && old {
		err = s.checkpoint()
	}
	if err != nil {
		s.mu.Lock()
		s.fail(err)
		s.mu.Unlock()
	}
}

// rotate closes the segment that is written to and begins another. The io mutex is held.
func (s *Store) rotate() error {
	if err := s.flushLocked(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) > 0 { // written meanwhile: it belongs to the segment that its places name
		last := s.man.segments[len(s.man.segments)-1].number
		_, err := s.files[last].WriteAt(s.pending, s.began)
		if err == nil {
			err = s.files[last].Sync()
		}
		if err != nil {
			return s.fail(err)
		}
		s.flushed(int64(len(s.pending)), s.seq, s.waiting)
		s.round.end(nil)
		s.round = newRound()
		s.began += int64(len(s.pending))
		s.pending, s.waiting, s.sizes[last] = nil, nil, s.began
	}
	return s.begin(s.sealed())
}

// worn gives the closed segments of which less than half counts still, the oldest first, and none unless they are worth it.
func (s *Store) worn() (list []uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, g := range s.man.segments[:len(s.man.segments)-1] {
		if 2*s.live[g.number] < s.sizes[g.number] {
			list = append(list, g.number)
		}
	}
	return list
}

// Compact copies what counts out of all closed segments and frees the rest.
func (s *Store) Compact() error {
	s.io.Lock()
	defer s.io.Unlock()
	if err := s.rotate(); err != nil {
		return err
	}
	s.mu.RLock()
	var all []uint64
	for _, g := range s.man.segments[:len(s.man.segments)-1] {
		all = append(all, g.number)
	}
	s.mu.RUnlock()
	if len(all) == 0 {
		return nil
	}
	return s.compact(all)
}

// compact copies what counts of some closed segments into a new one, and makes it take their place in one step, with a
// checkpoint that knows the new places. The io mutex is held.
func (s *Store) compact(from []uint64) error {
	if err := s.flushLocked(); err != nil {
		return err
	}
	type moved struct {
		e  *entry
		to place
	}
	s.mu.RLock()
	var list []moved
	oldest := !slices.ContainsFunc(s.man.segments, func(g segment) bool { return g.number < slices.Max(from) && !slices.Contains(from, g.number) })
	for _, e := range s.index {
		if e = e.on(s.durable); e != nil && slices.Contains(from, e.where.segment) && !(e.gone && oldest) { // a deletion is kept while an older put may be
			list = append(list, moved{e: e})
		}
	}
	first := s.seq + 1
	s.mu.RUnlock()
	slices.SortFunc(list, func(a, b moved) int { return int(int64(a.e.seq) - int64(b.e.seq)) })
	number := s.next
	s.next++
	f, err := s.fs.Open(segmentName(number), true)
	if err != nil {
		return err
	}
	out, at, size := segmentBytes(s.man.id, s.man.epoch, number), int64(0), int64(segmentHead)
	for i := range list {
		m := &list[i]
		b := make([]byte, m.e.where.size)
		if _, err := s.files[m.e.where.segment].ReadAt(b, m.e.where.at); err != nil && err != io.EOF {
			f.Close()
			return err
		}
		r, _, ok := readRecord(b)
		if !ok {
			f.Close()
			return &Damage{segmentName(m.e.where.segment), m.e.where.at, "a record can't be read"}
		}
		r.last = true // its batch counted long ago
		first = min(first, r.seq)
		m.to = place{number, size, uint32(r.size())}
		out, size = r.append(out), size+int64(r.size())
		if len(out) >= copyBytes || i == len(list)-1 {
			if _, err := f.WriteAt(out, at); err != nil {
				f.Close()
				return err
			}
			at, out = size, out[:0]
		}
	}
	if len(list) == 0 {
		_, err = f.WriteAt(out, 0)
	}
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		f.Close()
		return err
	}
	s.mu.Lock()
	for _, m := range list {
		m.e.where = m.to
		s.live[number] += int64(m.to.size)
	}
	if oldest {
		for k, e := range s.index {
			if e.gone && slices.Contains(from, e.where.segment) {
				delete(s.index, k)
			}
		}
	}
	s.files[number], s.sizes[number] = f, size
	m := s.man
	m.segments = slices.DeleteFunc(slices.Clone(m.segments), func(g segment) bool { return slices.Contains(from, g.number) })
	m.segments = append([]segment{{number, size, first}}, m.segments...)
	s.counters.Compactions++
	s.counters.Written += uint64(size)
	s.mu.Unlock()
	if err := s.checkpointOf(m); err != nil {
		return err
	}
	s.mu.Lock()
	var old []File
	for _, n := range from {
		old = append(old, s.files[n])
		delete(s.files, n)
		delete(s.sizes, n)
		delete(s.live, n)
	}
	s.count()
	s.mu.Unlock()
	for i, n := range from {
		old[i].Close()
		s.fs.Remove(segmentName(n))
	}
	return nil
}

// checkpoint writes the index down. The io mutex is held.
func (s *Store) checkpoint() error {
	if err := s.flushLocked(); err != nil {
		return err
	}
	s.mu.RLock()
	m := s.man
	s.mu.RUnlock()
	return s.checkpointOf(m)
}

// checkpointOf writes the index down and puts a manifest in place that names it.
func (s *Store) checkpointOf(m manifest) error {
	s.mu.RLock()
	last := s.man.segments[len(s.man.segments)-1].number
	upTo, seq := s.began, s.durable
	body, n := []byte(nil), 0
	for k, e := range s.index {
		if e = e.on(seq); e == nil {
			continue // it is read again from the segment
		}
		kind := byte(typePut)
		if e.gone {
			kind = typeDelete
		}
		body = binary.BigEndian.AppendUint16(append(body, kind), uint16(len(k)))
		body = append(body, k...)
		body = binary.BigEndian.AppendUint64(body, e.where.segment)
		body = binary.BigEndian.AppendUint64(body, uint64(e.where.at))
		body = binary.BigEndian.AppendUint32(body, e.where.size)
		body = binary.BigEndian.AppendUint64(body, e.seq)
		n++
	}
	s.mu.RUnlock()
	number := s.next
	s.next++
	b := binary.BigEndian.AppendUint64(head("SPLC", m.id), last)
	b = binary.BigEndian.AppendUint64(b, uint64(upTo))
	b = binary.BigEndian.AppendUint64(b, seq)
	b = binary.BigEndian.AppendUint64(b, uint64(n))
	b = binary.BigEndian.AppendUint32(b, crc(b))
	b = append(b, body...)
	b = binary.BigEndian.AppendUint32(b, crc(body))
	if err := s.whole(checkpointName(number), b); err != nil {
		return err
	}
	old := m.checkpoint
	m.checkpoint = number
	if err := s.install(m); err != nil {
		return err
	}
	s.mu.Lock()
	s.man, s.since = m, 0
	s.counters.Checkpoints++
	s.counters.Written += uint64(len(b))
	s.mu.Unlock()
	if old != 0 {
		s.fs.Remove(checkpointName(old))
	}
	return nil
}
