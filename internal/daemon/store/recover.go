package store

// This file has recovery, in which Open rebuilds the index from the files.

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// recover reads the files and prepares the store for writing.
func (s *Store) recover() error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	if !slices.Contains(names, manifestName) {
		return s.initialize(names)
	}
	b, err := readFile(s.fs, manifestName)
	if err != nil {
		return err
	}
	if s.manifest, err = decodeManifest(b); err != nil {
		return &CorruptionError{manifestName, 0, err.Error()}
	}
	for _, name := range names {
		if number, ok := fileNumber(name); ok {
			s.nextFileNumber = max(s.nextFileNumber, number)
		}
	}
	s.nextFileNumber++
	for _, g := range s.manifest.segments {
		if err := s.openSegment(g); err != nil {
			return err
		}
	}
	from, offset, ok := s.loadCheckpoint()
	for i, g := range s.manifest.segments {
		start := int64(segmentHeaderSize)
		if ok && i < s.manifest.position(from) {
			continue // the checkpoint covers the whole segment
		}
		if ok && g.number == from {
			start = offset
		}
		end, err := s.replay(g, start)
		if err != nil {
			return err
		}
		s.segmentSizes[g.number] = end
	}
	s.durableSeq = s.lastSeq
	return s.prepareForWriting(names)
}

// openSegment opens a segment that the manifest names, and checks its header and size.
func (s *Store) openSegment(g segmentInfo) error {
	name := segmentName(g.number)
	f, err := s.fs.Open(name, false)
	if errors.Is(err, os.ErrNotExist) {
		return &CorruptionError{name, 0, "the file is missing"}
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
		return &CorruptionError{name, 0, err.Error()}
	}
	size, err := f.Size()
	if err != nil {
		return err
	}
	if size < g.sealedSize {
		return &CorruptionError{name, size, fmt.Sprintf("file truncated, want %d bytes", g.sealedSize)}
	}
	s.segmentSizes[g.number] = g.sealedSize
	return nil
}

// initialize creates a store in a directory without a manifest. It returns a *CorruptionError if there are files
// with data, as their manifest must have been lost.
func (s *Store) initialize(names []string) error {
	for _, name := range names {
		if isCheckpoint(name) {
			return &CorruptionError{manifestName, 0, "missing, although the directory has " + name}
		}
		if !isSegment(name) {
			continue
		}
		b, err := readFile(s.fs, name)
		if err != nil {
			return err
		}
		if len(b) > segmentHeaderSize { // a crash during the first Open leaves at most one segment, without records
			return &CorruptionError{manifestName, 0, "missing, although the directory has " + name}
		}
	}
	s.manifest, s.nextFileNumber = manifest{id: newID()}, 1
	return s.prepareForWriting(names)
}

// prepareForWriting removes the files that the manifest doesn't name, which an interrupted change has left, truncates
// torn writes, and starts a segment of the next epoch.
func (s *Store) prepareForWriting(names []string) error {
	known := []string{manifestName, lockName, checkpointName(s.manifest.checkpoint)}
	for _, g := range s.manifest.segments {
		known = append(known, segmentName(g.number))
	}
	for _, name := range names {
		ours := strings.HasSuffix(name, tempSuffix) || isSegment(name) || isCheckpoint(name)
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
		// The records may have been read from the page cache alone. The sync keeps a later crash from losing them.
		if err := f.Sync(); err != nil {
			return err
		}
	}
	m := s.sealedManifest()
	m.epoch++
	return s.startSegment(m)
}

// replay applies a segment's complete batches from an offset on to the index, and returns the offset of their end.
func (s *Store) replay(g segmentInfo, from int64) (end int64, err error) {
	b, err := readAll(s.segmentFiles[g.number])
	if err != nil {
		return 0, err
	}
	sealed := g.sealedSize > 0
	if sealed {
		b = b[:g.sealedSize]
	}
	at, end := from, from // end: of the last complete batch
	var batch []*indexEntry
	var keys []string
	last := s.lastSeq
	if from == segmentHeaderSize && g.firstSeq > 0 {
		// A compacted segment starts with older records than the segments before it have, or skips sequence numbers.
		if last = max(last, g.firstSeq-1); sealed {
			last = g.firstSeq - 1
		}
	}
	for at < int64(len(b)) {
		r, size, ok := decodeRecord(b[at:])
		inOrder := ok && (r.seq == last+1 || sealed && r.seq > last)
		if !inOrder {
			if sealed {
				return 0, &CorruptionError{segmentName(g.number), at, "a record can't be read"}
			}
			if after, lost := laterDurableRecord(b, at+1, last); lost {
				return 0, &CorruptionError{segmentName(g.number), at,
					fmt.Sprintf("a record can't be read, although the record at byte %d shows that it was durable", after)}
			}
			break
		}
		last = r.seq
		batch = append(batch, &indexEntry{seq: r.seq, tombstone: r.kind == kindDelete,
			location: location{g.number, at, uint32(size)}})
		keys = append(keys, string(r.key))
		at += int64(size)
		if r.batchEnd {
			for i, e := range batch {
				s.indexPut(keys[i], e)
				e.prev = nil
			}
			s.lastSeq, end = max(s.lastSeq, last), at
			batch, keys = batch[:0], keys[:0]
		}
	}
	if len(batch) == 0 && g.firstSeq > 0 {
		s.lastSeq = max(s.lastSeq, g.firstSeq-1)
	}
	if len(batch) > 0 && sealed {
		return 0, &CorruptionError{segmentName(g.number), end, "the last batch of the sealed segment is incomplete"}
	}
	return end, nil
}

// maxCorruptionScan is how many bytes after an unreadable record are searched for evidence that it was durable.
const maxCorruptionScan = 64 << 20

// laterDurableRecord searches for an intact record that was written when a sequence number above last was durable. If
// there is one, the unreadable record before it was acknowledged; else it is a torn write.
func laterDurableRecord(b []byte, from int64, last uint64) (at int64, lost bool) {
	for end := min(int64(len(b)), from+maxCorruptionScan); from < end; from++ {
		if r, _, ok := decodeRecord(b[from:]); ok && r.seq > last && r.durableSeq > last {
			return from, true
		}
	}
	return 0, false
}
