package store

// This file has Repair, which salvages the readable records of a damaged store.

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// Repair makes a damaged store usable again: it writes all records that are readable into one new segment, and
// reports the data that it could not read. It is a last resort: batches may be applied in part, and deleted keys may
// come back. The damaged files are kept under names that end in ".damaged".
func Repair(fs FS) ([]Finding, error) {
	names, unlock, err := lockAndList(fs)
	if err != nil {
		return nil, err
	}
	defer unlock()
	found, err := salvage(fs, names)
	if err != nil {
		return found.findings, err
	}
	list := found.findings
	number := found.lastNumber + 1
	out, firstSeq := encodeSegmentHeader(found.id, found.epoch, number), uint64(1)
	for i, r := range found.records {
		if r.batchEnd = true; i == 0 {
			firstSeq = r.seq
		}
		out = r.appendTo(out)
	}
	s := &Store{fs: fs}
	if err := s.writeFile(segmentName(number), out); err != nil {
		return list, err
	}
	m := manifest{id: found.id, epoch: found.epoch, segments: []segmentInfo{{number, int64(len(out)), firstSeq}}}
	if err := s.installManifest(m); err != nil {
		return list, err
	}
	for _, name := range names {
		if isSegment(name) || isCheckpoint(name) {
			if err := fs.Rename(name, name+".damaged"); err != nil {
				return list, err
			}
		}
	}
	list = append(list, Finding{File: segmentName(number),
		Description: fmt.Sprintf("%d records saved", len(found.records))})
	return list, fs.Sync()
}

// salvaged is the readable content of a damaged store.
type salvaged struct {
	id         ID
	epoch      uint64
	lastNumber uint64   // highest number of a segment or checkpoint
	records    []record // by sequence number, each once
	findings   []Finding
}

// salvage reads the records of all segments in the directory, whether or not the manifest names them. It fails if there
// is neither a manifest nor a segment that is readable.
func salvage(fs FS, names []string) (found salvaged, err error) {
	known := false // whether found has the store's ID and epoch
	addLoss := func(file string, offset int64, data string) {
		found.findings = append(found.findings, Finding{file, offset, "given up: " + data, true})
	}
	if b, err := readFile(fs, manifestName); err == nil {
		if m, err := decodeManifest(b); err == nil {
			found.id, found.epoch, known = m.id, m.epoch, true
			for _, g := range m.segments {
				if name := segmentName(g.number); !slices.Contains(names, name) {
					addLoss(name, 0, "the file is missing")
				}
			}
		}
	}
	for _, name := range names {
		number, ok := fileNumber(name)
		if !ok || !isSegment(name) && !isCheckpoint(name) {
			continue
		}
		if found.lastNumber = max(found.lastNumber, number); !isSegment(name) {
			continue
		}
		b, err := readFile(fs, name)
		if err != nil {
			return found, err
		}
		if !known && len(b) >= 32 && checkHeader(b, segmentMagic, ID(b[8:24])) == nil {
			found.id, found.epoch, known = ID(b[8:24]), max(found.epoch, binary.BigEndian.Uint64(b[24:])), true
		}
		if len(b) < segmentHeaderSize || checkSegmentHeader(b, found.id, number) != nil {
			addLoss(name, 0, "not a segment of this store")
			continue
		}
		records, gaps := scanRecords(b)
		for _, g := range gaps {
			addLoss(name, g.from, fmt.Sprintf("%d bytes", g.to-g.from))
		}
		found.records = append(found.records, records...)
	}
	if !known {
		return found, errors.New("store: neither a manifest nor a segment of the directory can be read")
	}
	slices.SortStableFunc(found.records, func(a, b record) int { return cmp.Compare(a.seq, b.seq) })
	// An interrupted compaction leaves copies of records that the old segments still hold.
	found.records = slices.CompactFunc(found.records, func(a, b record) bool { return a.seq == b.seq })
	return found, nil
}
