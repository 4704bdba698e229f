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
func read(f File) ([]byte, error) {
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
	return read(f)
}

// recover reads the folder, and makes it ready for writing where it is to be.
func (s *Store) recover(write bool) error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	if !slices.Contains(names, manifestName) {
		return s.fresh(names, write)
	}
	text, err := readFile(s.fs, manifestName)
	if err != nil {
		return err
	}
	if s.man, err = readManifest(text); err != nil {
		return &Damage{manifestName, 0, err.Error()}
	}
	for _, name := range names {
		var number uint64
		if _, err := fmt.Sscanf(name, "%d.", &number); err == nil {
			s.next = max(s.next, number)
		}
	}
	s.next++
	for _, g := range s.man.segments {
		f, err := s.fs.Open(segmentName(g.number), false)
		if errors.Is(err, os.ErrNotExist) {
			return &Damage{segmentName(g.number), 0, "the file is missing"}
		}
		if err != nil {
			return err
		}
		s.files[g.number] = f
		head := make([]byte, segmentHead)
		if _, err := f.ReadAt(head, 0); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if err := checkSegment(head, s.man.id, g.number); err != nil {
			return &Damage{segmentName(g.number), 0, err.Error()}
		}
		if size, err := f.Size(); err != nil {
			return err
		} else if size < g.length {
			return &Damage{segmentName(g.number), size, fmt.Sprintf("the file ends here, of %d bytes", g.length)}
		}
		s.sizes[g.number] = g.length
	}
	from := s.loadCheckpoint()
	for i, g := range s.man.segments {
		start := int64(segmentHead)
		if from > 0 && g.number != from && i < s.place(from) {
			continue // all that it holds is in the checkpoint
		}
		if g.number == from {
			start = s.began
		}
		end, err := s.replay(g, start)
		if err != nil {
			return err
		}
		s.sizes[g.number] = end
	}
	s.durable = s.seq
	if !write {
		return nil
	}
	return s.ready(names)
}

// place gives where a segment stands in the manifest.
func (s *Store) place(number uint64) int {
	return slices.IndexFunc(s.man.segments, func(g segment) bool { return g.number == number })
}

// fresh makes an empty folder a store. One that holds records and no list of its files has lost it.
func (s *Store) fresh(names []string, write bool) error {
	for _, name := range names {
		if strings.HasSuffix(name, ".ckp") {
			return &Damage{manifestName, 0, "missing, and there is " + name}
		}
		if !strings.HasSuffix(name, ".seg") {
			continue
		}
		b, err := readFile(s.fs, name)
		if err != nil {
			return err
		}
		if len(b) > segmentHead { // a crash while a store is made leaves one segment with a head at most
			return &Damage{manifestName, 0, "missing, and there is " + name}
		}
	}
	s.man, s.next = manifest{id: newID()}, 1
	if !write {
		return nil
	}
	return s.ready(names)
}

// ready removes what a crash has left and begins a segment of this opening.
func (s *Store) ready(names []string) error {
	known := []string{manifestName, lockName, checkpointName(s.man.checkpoint)}
	for _, g := range s.man.segments {
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
	for _, g := range s.man.segments {
		if g.length > 0 {
			continue
		}
		f := s.files[g.number]
		size, err := f.Size()
		if err != nil {
			return err
		}
		if size > s.sizes[g.number] {
			s.counters.Cut += size - s.sizes[g.number]
			if err := f.Truncate(s.sizes[g.number]); err != nil {
				return err
			}
		}
		if err := f.Sync(); err != nil { // what is read must be there after the next crash, too
			return err
		}
	}
	m := s.sealed()
	m.epoch++
	return s.begin(m)
}

// loadCheckpoint takes the index from the checkpoint and tells which segment it goes up to, and in s.began where in it; 0: there is
// none that can be used, and all segments are read.
func (s *Store) loadCheckpoint() uint64 {
	if s.man.checkpoint == 0 {
		return 0
	}
	b, err := readFile(s.fs, checkpointName(s.man.checkpoint))
	if err != nil || checkHead(b, "SPLC", s.man.id) != nil || len(b) < checkpointHead+4 ||
		crc(b[:checkpointHead-4]) != binary.BigEndian.Uint32(b[checkpointHead-4:]) ||
		crc(b[checkpointHead:len(b)-4]) != binary.BigEndian.Uint32(b[len(b)-4:]) {
		return 0
	}
	segment, upTo := binary.BigEndian.Uint64(b[24:]), int64(binary.BigEndian.Uint64(b[32:]))
	seq, n := binary.BigEndian.Uint64(b[40:]), binary.BigEndian.Uint64(b[48:])
	if s.place(segment) < 0 || upTo < segmentHead || n > uint64(len(b)) {
		return 0
	}
	index, live := make(map[string]*entry, n), map[uint64]int64{}
	entries := make([]entry, n)
	b = b[checkpointHead : len(b)-4]
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
		*e = entry{gone: b[0] == typeDelete, seq: binary.BigEndian.Uint64(rest[20:]),
			where: place{binary.BigEndian.Uint64(rest), int64(binary.BigEndian.Uint64(rest[8:])), binary.BigEndian.Uint32(rest[16:])}}
		if s.place(e.where.segment) < 0 {
			return 0
		}
		index[string(b[3:3+key])] = e
		live[e.where.segment] += int64(e.where.size)
		b = rest[28:]
	}
	s.index, s.live, s.seq, s.began = index, live, seq, upTo
	return segment
}

// replay reads a segment's records from a place on, and gives where they end.
func (s *Store) replay(g segment, from int64) (int64, error) {
	b, err := read(s.files[g.number])
	if err != nil {
		return 0, err
	}
	if g.length > 0 {
		b = b[:g.length]
	}
	at, whole := from, from // whole: up to the last batch that is
	var batch []*entry
	var keys []string
	last := s.seq
	if from == segmentHead && g.first > 0 { // one that was compacted begins with what is older, or ends before what was deleted
		if last = max(last, g.first-1); g.length > 0 {
			last = g.first - 1
		}
	}
	for at < int64(len(b)) {
		r, size, ok := readRecord(b[at:])
		rises := ok && (r.seq == last+1 || g.length > 0 && r.seq > last)
		if !rises {
			if g.length > 0 {
				return 0, &Damage{segmentName(g.number), at, "a record can't be read"}
			}
			if after, lost := durableAfter(b, at+1, last); lost {
				return 0, &Damage{segmentName(g.number), at, fmt.Sprintf("a record can't be read, and that at byte %d says that it was durable", after)}
			}
			break
		}
		last = r.seq
		batch = append(batch, &entry{seq: r.seq, gone: r.kind == typeDelete, where: place{g.number, at, uint32(size)}})
		keys = append(keys, string(r.key))
		at += int64(size)
		if r.last {
			for i, e := range batch {
				s.put(keys[i], e)
				e.prev = nil
			}
			s.seq, whole = max(s.seq, last), at
			batch, keys = batch[:0], keys[:0]
		}
	}
	if len(batch) == 0 && g.first > 0 {
		s.seq = max(s.seq, g.first-1)
	}
	if len(batch) > 0 && g.length > 0 {
		return 0, &Damage{segmentName(g.number), whole, "a batch has no end"}
	}
	return whole, nil
}

// durableAfter looks for a whole record further on that was written when more was durable than what was read.
func durableAfter(b []byte, from int64, last uint64) (at int64, lost bool) {
	for end := min(int64(len(b)), from+scanBytes); from < end; from++ {
		if r, _, ok := readRecord(b[from:]); ok && r.seq > last && r.durable > last {
			return from, true
		}
	}
	return 0, false
}

// Finding is one thing that Verify has to say.
type Finding struct {
	File string
	At   int64
	What string
	Bad  bool // acknowledged records are lost
}

// Verify reads all of a folder without changing it, and says what is there and what is wrong. No process may have it open.
func Verify(fs FS) ([]Finding, error) {
	names, unlock, err := listed(fs)
	if err != nil {
		return nil, err
	}
	defer unlock()
	if !slices.Contains(names, manifestName) {
		return []Finding{{File: manifestName, What: "missing", Bad: slices.ContainsFunc(names, func(n string) bool { return strings.HasSuffix(n, ".seg") })}}, nil
	}
	text, err := readFile(fs, manifestName)
	if err != nil {
		return nil, err
	}
	m, err := readManifest(text)
	if err != nil {
		return []Finding{{manifestName, 0, err.Error(), true}}, nil
	}
	list := []Finding{{File: manifestName, What: fmt.Sprintf("store %x, opened %d times, %d segments", m.id[:], m.epoch, len(m.segments))}}
	if m.checkpoint != 0 {
		c := &Store{fs: fs, man: m}
		if c.loadCheckpoint() == 0 {
			list = append(list, Finding{File: checkpointName(m.checkpoint), What: "can't be used: all segments are read at the next opening"})
		} else {
			list = append(list, Finding{File: checkpointName(m.checkpoint), What: fmt.Sprintf("%d entries up to number %d", len(c.index), c.seq)})
		}
	}
	for _, g := range m.segments {
		name := segmentName(g.number)
		b, err := readFile(fs, name)
		if err != nil {
			list = append(list, Finding{name, 0, err.Error(), true})
			continue
		}
		if err := checkSegment(b, m.id, g.number); err != nil {
			list = append(list, Finding{name, 0, err.Error(), true})
			continue
		}
		if g.length > int64(len(b)) {
			list = append(list, Finding{name, int64(len(b)), fmt.Sprintf("the file ends here, of %d bytes", g.length), true})
		} else if g.length > 0 {
			b = b[:g.length]
		}
		good, gaps := scan(b)
		for _, gap := range gaps {
			tail := g.length == 0 && gap.to == int64(len(b))
			what := fmt.Sprintf("%d bytes can't be read", gap.to-gap.from)
			if tail {
				what += ": what a crash left of records that nobody was told of"
			}
			list = append(list, Finding{name, gap.from, what, !tail})
		}
		list = append(list, Finding{File: name, What: fmt.Sprintf("%d records, %d bytes", len(good), len(b))})
	}
	return list, nil
}

// listed locks a folder and names what is in it, in order.
func listed(fs FS) (names []string, unlock func(), err error) {
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

type gap struct{ from, to int64 }

// scan reads the records of a segment, over what can't be read.
func scan(b []byte) (good []record, gaps []gap) {
	for at := int64(segmentHead); at < int64(len(b)); {
		r, size, ok := readRecord(b[at:])
		if ok {
			good = append(good, r)
			at += int64(size)
			continue
		}
		from := at
		for at++; at < int64(len(b)); at++ {
			if _, _, ok := readRecord(b[at:]); ok {
				break
			}
		}
		gaps = append(gaps, gap{from, at})
	}
	return good, gaps
}

// Repair makes a folder that can be opened of one that can't: it writes all records that can be read into one new segment, and says
// what it gave up. The damaged files stay under names that end in .damaged.
func Repair(fs FS) ([]Finding, error) {
	names, unlock, err := listed(fs)
	if err != nil {
		return nil, err
	}
	defer unlock()
	var list []Finding
	var all []record
	var id ID
	found, epoch, next := false, uint64(0), uint64(0)
	if text, err := readFile(fs, manifestName); err == nil {
		if m, err := readManifest(text); err == nil {
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
		if !found && len(b) >= 32 && checkHead(b, "SPLS", ID(b[8:24])) == nil {
			id, epoch, found = ID(b[8:24]), max(epoch, binary.BigEndian.Uint64(b[24:])), true
		}
		if len(b) < segmentHead || checkSegment(b, id, number) != nil {
			list = append(list, Finding{name, 0, "given up: not a segment of this store", true})
			continue
		}
		good, gaps := scan(b)
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
	s := &Store{fs: fs, next: next + 1, files: map[uint64]File{}, sizes: map[uint64]int64{}}
	out, first := segmentBytes(id, epoch, s.next), uint64(1)
	for i, r := range all {
		if r.last = true; i == 0 {
			first = r.seq
		}
		out = r.append(out)
	}
	number := s.next
	if err := s.whole(segmentName(number), out); err != nil {
		return list, err
	}
	if err := s.install(manifest{id: id, epoch: epoch, segments: []segment{{number, int64(len(out)), first}}}); err != nil {
		return list, err
	}
	for _, name := range names {
		if strings.HasSuffix(name, ".seg") || strings.HasSuffix(name, ".ckp") {
			if err := fs.Rename(name, name+".damaged"); err != nil {
				return list, err
			}
		}
	}
	return append(list, Finding{File: segmentName(number), What: fmt.Sprintf("%d records saved", len(all))}), fs.Sync()
}
