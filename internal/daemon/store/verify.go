package store

// This file has Verify, and the functions for reading a damaged store that Repair uses, too.

import (
	"fmt"
	"slices"
)

// Finding is one result of Verify or Repair.
type Finding struct {
	File        string
	Offset      int64 // in bytes
	Description string
	DataLoss    bool // acknowledged records are lost
}

// Verify reads all files of a store without changing any, and reports what they hold and what is damaged. It returns
// ErrLocked if a process has the store open.
func Verify(fs FS) ([]Finding, error) {
	names, unlock, err := lockAndList(fs)
	if err != nil {
		return nil, err
	}
	defer unlock()
	if !slices.Contains(names, manifestName) {
		return []Finding{{File: manifestName, Description: "missing", DataLoss: slices.ContainsFunc(names, isSegment)}}, nil
	}
	b, err := readFile(fs, manifestName)
	if err != nil {
		return nil, err
	}
	m, err := decodeManifest(b)
	if err != nil {
		return []Finding{{manifestName, 0, err.Error(), true}}, nil
	}
	list := []Finding{{File: manifestName,
		Description: fmt.Sprintf("store %x, opened %d times, %d segments", m.id[:], m.epoch, len(m.segments))}}
	if m.checkpoint != 0 {
		list = append(list, verifyCheckpoint(fs, m))
	}
	for _, g := range m.segments {
		list = append(list, verifySegment(fs, m.id, g)...)
	}
	return list, nil
}

// verifyCheckpoint reports on the checkpoint. A damaged one loses no data, as the log has all its entries.
func verifyCheckpoint(fs FS, m manifest) Finding {
	f := Finding{File: checkpointName(m.checkpoint)}
	s := &Store{fs: fs, manifest: m}
	if _, _, ok := s.loadCheckpoint(); ok {
		f.Description = fmt.Sprintf("%d entries up to sequence number %d", len(s.index), s.lastSeq)
	} else {
		f.Description = "can't be used: the next Open replays all segments"
	}
	return f
}

// verifySegment reports on a segment that the manifest names.
func verifySegment(fs FS, id ID, g segmentInfo) (list []Finding) {
	name := segmentName(g.number)
	b, err := readFile(fs, name)
	if err == nil {
		err = checkSegmentHeader(b, id, g.number)
	}
	if err != nil {
		return []Finding{{name, 0, err.Error(), true}}
	}
	if g.sealedSize > int64(len(b)) {
		list = append(list, Finding{name, int64(len(b)), fmt.Sprintf("file truncated, want %d bytes", g.sealedSize), true})
	} else if g.sealedSize > 0 {
		b = b[:g.sealedSize]
	}
	records, gaps := scanRecords(b)
	for _, gap := range gaps {
		tornWrite := g.sealedSize == 0 && gap.to == int64(len(b))
		description := fmt.Sprintf("%d bytes can't be read", gap.to-gap.from)
		if tornWrite {
			description += ": a torn write, of records that were not acknowledged"
		}
		list = append(list, Finding{name, gap.from, description, !tornWrite})
	}
	return append(list, Finding{File: name, Description: fmt.Sprintf("%d records, %d bytes", len(records), len(b))})
}

// lockAndList locks a directory and returns the names of its files in order.
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

// byteRange is a range of offsets in a file, without its end.
type byteRange struct{ from, to int64 }

// scanRecords decodes all intact records of a segment, and returns the ranges between them that are unreadable.
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
