package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// This file owns reading a folder: at an opening, for people (Verify) and to save what can be saved (Repair). It must never
// take a record for whole that isn't.

// read gives a file's bytes.
func readAll(f File) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	if n, err := f.ReadAt(b, 0); err != nil && (!errors.Is(err, io.EOF) || n != len(b)) {
		return nil, err
	}
	return b, nil
}

func readFile(fs FS, name string) ([]byte, error) {
	f, err := fs.Open(name, false)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return readAll(f)
}

// recover reads the folder, and makes it ready for writing where it is to be.
func (s *Store) recover(write bool) error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	if !slices.Contains(names, manifestName) {
		return s.initialize(names, write)
	}
	text, err := readFile(s.fs, manifestName)
	if err != nil {
		return err
	}
	if s.manifest, err = decodeManifest(text); err != nil {
		return &CorruptionError{manifestName, 0, err.Error()}
	}
	for _, name := range names {
		var number uint64
		if _, err := fmt.Sscanf(name, "%d.", &number); err == nil {
			s.nextFileNumber = max(s.nextFileNumber, number)
		}
	}
	s.nextFileNumber++
	for _, g := range s.manifest.segments {
		f, err := s.fs.Open(segmentName(g.number), false)
		if errors.Is(err, os.ErrNotExist) {
			return &CorruptionError{segmentName(g.number), 0, "the file is missing"}
		}
		if err != nil {
			return err
		}
		s.segmentFiles[g.number] = f
		head := make([]byte, segmentHeaderSize)
		if _, err := f.ReadAt(head, 0); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if err := checkSegmentHeader(head, s.manifest.id, g.number); err != nil {
			return &CorruptionError{segmentName(g.number), 0, err.Error()}
		}
		if size, err := f.Size(); err != nil {
			return err
		} else if size < g.sealedSize {
			return &CorruptionError{segmentName(g.number), size, fmt.Sprintf("the file ends here, of %d bytes", g.sealedSize)}
		}
		s.segmentSizes[g.number] = g.sealedSize
	}
	from := s.loadCheckpoint()
	for i, g := range s.manifest.segments {
		start := int64(segmentHeaderSize)
		if from > 0 && g.number != from && i < s.segmentIndex(from) {
			continue // all that it holds is in the checkpoint
		}
		if g.number == from {
			start = s.pendingOffset
		}
		end, err := s.replay(g, start)
		if err != nil {
			return err
		}
		s.segmentSizes[g.number] = end
	}
	s.durableSeq = s.lastSeq
	if !write {
		return nil
	}
	return s.prepareForWriting(names)
}

// place gives where a segment stands in the manifest.
func (s *Store) segmentIndex(number uint64) int {
	return slices.IndexFunc(s.manifest.segments, func(g segmentInfo) bool { return g.number == number })
}

// fresh makes an empty folder a store. One that holds records and no list of its files has lost it.
func (s *Store) initialize(names []string, write bool) error {
	for _, name := range names {
		if strings.HasSuffix(name, ".ckp") {
			return &CorruptionError{manifestName, 0, "missing, and there is " + name}
		}
		if !strings.HasSuffix(name, ".seg") {
			continue
		}
		b, err := readFile(s.fs, name)
		if err != nil {
			return err
		}
		if len(b) > segmentHeaderSize { // a crash while a store is made leaves one segment with a head at most
			return &CorruptionError{manifestName, 0, "missing, and there is " + name}
		}
	}
	s.manifest, s.nextFileNumber = manifest{id: newID()}, 1
	if !write {
		return nil
	}
	return s.prepareForWriting(names)
}

// ready removes what a crash has left and begins a segment of this opening.
func (s *Store) prepareForWriting(names []string) error {
	known := []string{manifestName, lockName, checkpointName(s.manifest.checkpoint)}
	for _, g := range s.manifest.segments {
		known = append(known, segmentName(g.number))
	}
	for _, name := range names {
		ours := strings.HasSuffix(name, ".tmp") || strings.HasSuffix(name, ".seg") || strings.HasSuffix(name, ".ckp")
		if ours && !slices.Contains(known, name) {
			if err := s.fs.Remove(name); err != nil {
				return err
			}
		}
	}
	for _, g := range s.manifest.segments {
		if g.sealedSize > 0 {
			continue
		}
		f := s.segmentFiles[g.number]
		size, err := f.Size()
		if err != nil {
			return err
		}
		if size > s.segmentSizes[g.number] {
			s.counters.TruncatedBytes += size - s.segmentSizes[g.number]
			if err := f.Truncate(s.segmentSizes[g.number]); err != nil {
				return err
			}
		}
		if err := f.Sync(); err != nil { // what is read must be there after the next crash, too
			return err
		}
	}
	m := s.sealedManifest()
	m.epoch++
	return s.startSegment(m)
}

// loadCheckpoint takes the index from the checkpoint and tells which segment it goes up to, and in s.began where in it; 0: there is
// none that can be used, and all segments are read.
func (s *Store) loadCheckpoint() uint64 {
	if s.manifest.checkpoint == 0 {
		return 0
	}
	b, err := readFile(s.fs, checkpointName(s.manifest.checkpoint))
	if err != nil || checkHeader(b, "SPLC", s.manifest.id) != nil || len(b) < checkpointHeaderSize+4 ||
		crc(b[:checkpointHeaderSize-4]) != binary.BigEndian.Uint32(b[checkpointHeaderSize-4:]) ||
		crc(b[checkpointHeaderSize:len(b)-4]) != binary.BigEndian.Uint32(b[len(b)-4:]) {
		return 0
	}
	segment, upTo := binary.BigEndian.Uint64(b[24:]), int64(binary.BigEndian.Uint64(b[32:]))
	seq, n := binary.BigEndian.Uint64(b[40:]), binary.BigEndian.Uint64(b[48:])
	if s.segmentIndex(segment) < 0 || upTo < segmentHeaderSize || n > uint64(len(b)) {
		return 0
	}
	index, live := make(map[string]*indexEntry, n), map[uint64]int64{}
	entries := make([]indexEntry, n)
	b = b[checkpointHeaderSize : len(b)-4]
	for i := range entries {
		if len(b) < 3 {
			return 0
		}
		key := int(binary.BigEndian.Uint16(b[1:]))
		if len(b) < 31+key {
			return 0
		}
		rest := b[3+key:]
		e := &entries[i]
		*e = indexEntry{tombstone: b[0] == kindDelete, seq: binary.BigEndian.Uint64(rest[20:]),
			location: location{binary.BigEndian.Uint64(rest), int64(binary.BigEndian.Uint64(rest[8:])), binary.BigEndian.Uint32(rest[16:])}}
		if s.segmentIndex(e.location.segment) < 0 {
			return 0
		}
		index[string(b[3:3+key])] = e
		live[e.location.segment] += int64(e.location.size)
		b = rest[28:]
	}
	s.index, s.liveBytes, s.lastSeq, s.pendingOffset = index, live, seq, upTo
	return segment
}

// replay reads a segment's records from a place on, and gives where they end.
func (s *Store) replay(g segmentInfo, from int64) (int64, error) {
	b, err := readAll(s.segmentFiles[g.number])
	if err != nil {
		return 0, err
	}
	if g.sealedSize > 0 {
		b = b[:g.sealedSize]
	}
	at, whole := from, from // whole: up to the last batch that is
	var batch []*indexEntry
	var keys []string
	last := s.lastSeq
	if from == segmentHeaderSize && g.firstSeq > 0 { // one that was compacted begins with what is older, or ends before what was deleted
		if last = max(last, g.firstSeq-1); g.sealedSize > 0 {
			last = g.firstSeq - 1
		}
	}
	for at < int64(len(b)) {
		r, size, ok := decodeRecord(b[at:])
		rises := ok && (r.seq == last+1 || g.sealedSize > 0 && r.seq > last)
		if !rises {
			if g.sealedSize > 0 {
				return 0, &CorruptionError{segmentName(g.number), at, "a record can't be read"}
			}
			if after, lost := laterDurableRecord(b, at+1, last); lost {
				return 0, &CorruptionError{segmentName(g.number), at, fmt.Sprintf("a record can't be read, and that at byte %d says that it was durable", after)}
			}
			break
		}
		last = r.seq
		batch = append(batch, &indexEntry{seq: r.seq, tombstone: r.kind == kindDelete, location: location{g.number, at, uint32(size)}})
		keys = append(keys, string(r.key))
		at += int64(size)
		if r.batchEnd {
			for i, e := range batch {
				s.indexPut(keys[i], e)
				e.prev = nil
			}
			s.lastSeq, whole = max(s.lastSeq, last), at
			batch, keys = batch[:0], keys[:0]
		}
	}
	if len(batch) == 0 && g.firstSeq > 0 {
		s.lastSeq = max(s.lastSeq, g.firstSeq-1)
	}
	if len(batch) > 0 && g.sealedSize > 0 {
		return 0, &CorruptionError{segmentName(g.number), whole, "a batch has no end"}
	}
	return whole, nil
}

// durableAfter looks for a whole record further on that was written when more was durable than what was read.
func laterDurableRecord(b []byte, from int64, last uint64) (at int64, lost bool) {
	for end := min(int64(len(b)), from+maxCorruptionScan); from < end; from++ {
		if r, _, ok := decodeRecord(b[from:]); ok && r.seq > last && r.durableSeq > last {
			return from, true
		}
	}
	return 0, false
}

// Finding is one thing that Verify has to say.
type Finding struct {
	File        string
	Offset      int64
	Description string
	DataLoss    bool // acknowledged records are lost
}

// Verify reads all of a folder without changing it, and says what is there and what is wrong. No process may have it open.
func Verify(fs FS) ([]Finding, error) {
	names, unlock, err := lockAndList(fs)
	if err != nil {
		return nil, err
	}
	defer unlock()
	if !slices.Contains(names, manifestName) {
		return []Finding{{File: manifestName, Description: "missing", DataLoss: slices.ContainsFunc(names, func(n string) bool { return strings.HasSuffix(n, ".seg") })}}, nil
	}
	text, err := readFile(fs, manifestName)
	if err != nil {
		return nil, err
	}
	m, err := decodeManifest(text)
	if err != nil {
		return []Finding{{manifestName, 0, err.Error(), true}}, nil
	}
	list := []Finding{{File: manifestName, Description: fmt.Sprintf("store %x, opened %d times, %d segments", m.id[:], m.epoch, len(m.segments))}}
	if m.checkpoint != 0 {
		c := &Store{fs: fs, manifest: m}
		if c.loadCheckpoint() == 0 {
			list = append(list, Finding{File: checkpointName(m.checkpoint), Description: "can't be used: all segments are read at the next opening"})
		} else {
			list = append(list, Finding{File: checkpointName(m.checkpoint), Description: fmt.Sprintf("%d entries up to number %d", len(c.index), c.lastSeq)})
		}
	}
	for _, g := range m.segments {
		name := segmentName(g.number)
		b, err := readFile(fs, name)
		if err != nil {
			list = append(list, Finding{name, 0, err.Error(), true})
			continue
		}
		if err := checkSegmentHeader(b, m.id, g.number); err != nil {
			list = append(list, Finding{name, 0, err.Error(), true})
			continue
		}
		if g.sealedSize > int64(len(b)) {
			list = append(list, Finding{name, int64(len(b)), fmt.Sprintf("the file ends here, of %d bytes", g.sealedSize), true})
		} else if g.sealedSize > 0 {
			b = b[:g.sealedSize]
		}
		good, gaps := scanRecords(b)
		for _, gap := range gaps {
			tail := g.sealedSize == 0 && gap.to == int64(len(b))
			what := fmt.Sprintf("%d bytes can't be read", gap.to-gap.from)
			if tail {
				what += ": what a crash left of records that nobody was told of"
			}
			list = append(list, Finding{name, gap.from, what, !tail})
		}
		list = append(list, Finding{File: name, Description: fmt.Sprintf("%d records, %d bytes", len(good), len(b))})
	}
	return list, nil
}

// listed locks a folder and names what is in it, in order.
func lockAndList(fs FS) (names []string, unlock func(), err error) {
	if unlock, err = fs.Lock(lockName); err != nil {
		return nil, nil, err
	}
	if names, err = fs.List(); err != nil {
		unlock()
		return nil, nil, err
	}
	slices.Sort(names)
	return names, unlock, nil
}

type byteRange struct{ from, to int64 }

// scan reads the records of a segment, over what can't be read.
func scanRecords(b []byte) (good []record, gaps []byteRange) {
	for at := int64(segmentHeaderSize); at < int64(len(b)); {
		r, size, ok := decodeRecord(b[at:])
		if ok {
			good = append(good, r)
			at += int64(size)
			continue
		}
		from := at
		for at++; at < int64(len(b)); at++ {
			if _, _, ok := decodeRecord(b[at:]); ok {
				break
			}
		}
		gaps = append(gaps, byteRange{from, at})
	}
	return good, gaps
}

// Repair makes a folder that can be opened of one that can't: it writes all records that can be read into one new segment, and says
// what it gave up. The damaged files stay under names that end in .damaged.
func Repair(fs FS) ([]Finding, error) {
	names, unlock, err := lockAndList(fs)
	if err != nil {
		return nil, err
	}
	defer unlock()
	var list []Finding
	var all []record
	var id ID
	found, epoch, next := false, uint64(0), uint64(0)
	if text, err := readFile(fs, manifestName); err == nil {
		if m, err := decodeManifest(text); err == nil {
			id, epoch, found = m.id, m.epoch, true
			for _, g := range m.segments {
				if !slices.Contains(names, segmentName(g.number)) {
					list = append(list, Finding{segmentName(g.number), 0, "given up: the file is missing", true})
				}
			}
		}
	}
	for _, name := range names {
		var number uint64
		if _, err := fmt.Sscanf(name, "%d.", &number); err != nil || !strings.HasSuffix(name, ".seg") && !strings.HasSuffix(name, ".ckp") {
			continue
		}
		if next = max(next, number); !strings.HasSuffix(name, ".seg") {
			continue
		}
		b, err := readFile(fs, name)
		if err != nil {
			return list, err
		}
		if !found && len(b) >= 32 && checkHeader(b, "SPLS", ID(b[8:24])) == nil {
			id, epoch, found = ID(b[8:24]), max(epoch, binary.BigEndian.Uint64(b[24:])), true
		}
		if len(b) < segmentHeaderSize || checkSegmentHeader(b, id, number) != nil {
			list = append(list, Finding{name, 0, "given up: not a segment of this store", true})
			continue
		}
		good, gaps := scanRecords(b)
		for _, g := range gaps {
			list = append(list, Finding{name, g.from, fmt.Sprintf("given up: %d bytes", g.to-g.from), true})
		}
		all = append(all, good...)
	}
	if !found {
		return list, errors.New("store: nothing in this folder can be read")
	}
	slices.SortStableFunc(all, func(a, b record) int { return int(int64(a.seq) - int64(b.seq)) })
	all = slices.CompactFunc(all, func(a, b record) bool { return a.seq == b.seq }) // a compaction may have copied it
	s := &Store{fs: fs, nextFileNumber: next + 1, segmentFiles: map[uint64]File{}, segmentSizes: map[uint64]int64{}}
	out, first := encodeSegmentHeader(id, epoch, s.nextFileNumber), uint64(1)
	for i, r := range all {
		if r.batchEnd = true; i == 0 {
			first = r.seq
		}
		out = r.appendTo(out)
	}
	number := s.nextFileNumber
	if err := s.writeFile(segmentName(number), out); err != nil {
		return list, err
	}
	if err := s.installManifest(manifest{id: id, epoch: epoch, segments: []segmentInfo{{number, int64(len(out)), first}}}); err != nil {
		return list, err
	}
	for _, name := range names {
		if strings.HasSuffix(name, ".seg") || strings.HasSuffix(name, ".ckp") {
			if err := fs.Rename(name, name+".damaged"); err != nil {
				return list, err
			}
		}
	}
	return append(list, Finding{File: segmentName(number), Description: fmt.Sprintf("%d records saved", len(all))}), fs.Sync()
}
