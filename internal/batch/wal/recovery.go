package wal

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"

	"sprucelane.example/sprucelane/coord/slots"
)

// OpenLog reads the log in a directory, calls replay with each record in order, and begins a new segment. All
// records that it replayed are durable when it returns. Corruption and a torn tail are reported to
// Options.OnSkipped and Options.OnTruncated. If OnSkipped is nil, OpenLog returns an error that wraps ErrCorrupt
// for a corrupt log, and leaves the log unchanged. Errors of the disk and of replay are returned.
func OpenLog(fs slots.FS, options Options, replay ReplayFunc) (*Log, error) {
	if options.SegmentSize <= 0 {
		options.SegmentSize = DefaultSegmentSize
	}
	l := &Log{fs: fs, segmentSize: options.SegmentSize, segments: map[uint32]*segment{}}
	files, err := l.listSegments()
	if err != nil {
		return nil, err
	}
	last := len(files) - 1 // each of the other segments was synced completely before the next was created
	for i := range files {
		if err := l.loadSegment(files[i], i == last, replay, &options); err != nil {
			l.closeFiles()
			return nil, err
		}
		l.tailSegment = files[i].number
	}
	l.tailSegment++
	if err := l.createSegment(l.tailSegment); err != nil {
		l.closeFiles()
		return nil, err
	}
	return l, nil
}

// segmentFile is a segment's file as found in the directory.
type segmentFile struct {
	number uint32
	size   int64 // bytes
}

// listSegments returns the segments in the directory, ordered by number. Other files are ignored.
func (l *Log) listSegments() ([]segmentFile, error) {
	names, err := l.fs.List()
	if err != nil {
		return nil, err
	}
	var files []segmentFile
	for _, name := range names {
		var number uint32
		if n, _ := fmt.Sscanf(name, "segment-%08d", &number); n != 1 || name != segmentName(number) {
			continue
		}
		size, err := l.fs.Size(name)
		if err != nil {
			return nil, err
		}
		files = append(files, segmentFile{number: number, size: size})
	}
	slices.SortFunc(files, func(a, b segmentFile) int { return int(a.number) - int(b.number) })
	return files, nil
}

// loadSegment replays a segment, truncates an unreadable tail of the last segment that has no marker after it, so that
// its records can't be replayed by a later start, and syncs the file, because the replayed records may have been
// written by a process that was killed before it synced them.
func (l *Log) loadSegment(found segmentFile, last bool, replay ReplayFunc, options *Options) error {
	file, err := l.fs.Open(segmentName(found.number))
	if err != nil {
		return err
	}
	s := &segment{number: found.number, file: file}
	l.segments[found.number] = s
	if err := s.replay(found.size, last, replay, options.OnSkipped); err != nil {
		return err
	}
	l.totalSize += s.size
	if s.size < found.size {
		if err := s.truncateTail(found.size, options.OnTruncated); err != nil {
			return err
		}
	}
	if found.size == 0 {
		return nil
	}
	return file.Sync()
}

// replay replays all valid records and reports corrupt parts between them. In the last segment it stops before an
// unreadable tail that has no marker after it, as this may be a torn write; in other segments such a tail is
// corrupt. On return, s.size is the end of the part that was replayed or skipped.
func (s *segment) replay(size int64, last bool, replay ReplayFunc, onSkipped func(Location)) error {
	for {
		if err := s.replayUntilCorrupt(size, replay); err != nil {
			return err
		}
		if s.size == size {
			return nil
		}
		next, found, err := s.nextMarker(size)
		switch {
		case err != nil:
			return err
		case last && !found:
			return nil
		case onSkipped == nil:
			return fmt.Errorf("%w: %s at byte %d of %d", ErrCorrupt, segmentName(s.number), s.size, size)
		case !found:
			next = size
		}
		onSkipped(s.skip(next, size))
	}
}

// truncateTail truncates the segment's file, which has the given size, to s.size, and reports the removed tail.
func (s *segment) truncateTail(size int64, onTruncated func(Location)) error {
	if onTruncated != nil {
		onTruncated(Location{Segment: s.number, Offset: uint32(s.size), Length: uint32(size - s.size)})
	}
	return s.file.Truncate(s.size)
}

// replayUntilCorrupt replays records from s.size on, up to the first one that is corrupt, and advances s.size.
func (s *segment) replayUntilCorrupt(size int64, replay ReplayFunc) error {
	in := bufio.NewReaderSize(io.NewSectionReader(s.file, s.size, size-s.size), readBufferSize)
	for s.size < size {
		payload, err := readRecord(in, s.number, s.size)
		if errors.Is(err, ErrCorrupt) {
			return nil
		}
		if err != nil {
			return err
		}
		location := Location{Segment: s.number, Offset: uint32(s.size + headerSize), Length: uint32(len(payload))}
		if err := replay(location, payload); err != nil {
			return err
		}
		s.size += headerSize + int64(len(payload))
	}
	return nil
}

// skip moves s.size past a corrupt record. If the length of the corrupt record leads to a valid record, it moves
// there, and otherwise to marker, which is the offset of the next marker, or the end of the segment if there is
// none. It returns the skipped part.
func (s *segment) skip(marker, size int64) Location {
	start := s.size
	s.size = marker
	if next, valid := s.recordAfter(start, size); valid {
		s.size = next
	}
	return Location{Segment: s.number, Offset: uint32(start), Length: uint32(s.size - start)}
}

// recordAfter returns the offset to which the length of the record at offset leads, and whether a valid record
// begins there.
func (s *segment) recordAfter(offset, size int64) (next int64, valid bool) {
	var header [headerSize]byte
	if _, err := s.file.ReadAt(header[:], offset); err != nil {
		return 0, false
	}
	next = offset + headerSize + int64(decodeHeader(header[:]).length)
	if next >= size {
		return 0, false
	}
	_, err := readRecord(bufio.NewReader(io.NewSectionReader(s.file, next, size-next)), s.number, next)
	return next, err == nil
}

// nextMarker returns the offset of the first marker that it finds after the unreadable record at s.size.
func (s *segment) nextMarker(size int64) (offset int64, found bool, err error) {
	rest := make([]byte, size-s.size)
	if _, err := s.file.ReadAt(rest, s.size); err != nil {
		return 0, false, err
	}
	offset, found = findMarker(rest, s.number, s.size)
	return offset, found, nil
}
