package wal

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"

	"sprucelane.example/sprucelane/coord/slots"
)

// OpenLog reads the log in a directory, hands each record to replay in order, and begins a new segment. All
// that it replayed is durable when it returns. Corruption and a torn tail are reported to Options.OnSkipped
// and Options.OnTruncated; without OnSkipped, a corrupt log gives an error that wraps ErrCorrupt, and is
// left as it is. Errors of the disk and of replay are returned.
func OpenLog(fs slots.FS, options Options, replay ReplayFunc) (*Log, error) {
	if options.SegmentSize <= 0 {
		options.SegmentSize = DefaultSegmentSize
	}
	l := &Log{fs: fs, segmentSize: options.SegmentSize, segments: map[uint32]*segment{}}
	files, err := l.listSegments()
	if err != nil {
		return nil, err
	}
	last := len(files) - 1 // the others were synced whole before the next was created
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

// segmentFile is a segment's file as a start finds it.
type segmentFile struct {
	number uint32
	size   int64 // bytes
}

// listSegments lists the segments in the directory by number. Other files are ignored.
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

// loadSegment replays a segment, truncates what follows its last valid record, so that it can't come back,
// and syncs the file: a process that was killed before it synced may have written what was replayed.
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

// replay replays all valid records and reports what is corrupt between them. In the last segment it stops
// before an unreadable tail without a marker after it, which may be a torn write; in others such a tail is
// corrupt. On return s.size is the end of what was replayed or skipped.
func (s *segment) replay(size int64, last bool, replay ReplayFunc, onSkipped func(Location)) error {
	for {
		if err := s.replayRun(size, replay); err != nil {
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

// truncateTail removes what follows s.size.
func (s *segment) truncateTail(size int64, onTruncated func(Location)) error {
	if onTruncated != nil {
		onTruncated(Location{Segment: s.number, Offset: uint32(s.size), Length: uint32(size - s.size)})
	}
	return s.file.Truncate(s.size)
}

// replayRun replays records from s.size on, up to the first that can't be read.
func (s *segment) replayRun(size int64, replay ReplayFunc) error {
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

// skip moves s.size past a corrupt record: to the record after it, if the corrupt one's length leads to a
// valid one, or else to the next marker, which is the end of the segment if there is none. It returns the
// part that was skipped.
func (s *segment) skip(marker, size int64) Location {
	start := s.size
	s.size = marker
	if next, valid := s.recordBehind(start, size); valid {
		s.size = next
	}
	return Location{Segment: s.number, Offset: uint32(start), Length: uint32(s.size - start)}
}

// recordBehind returns the offset that the length of the record at an offset leads to, and whether a valid
// record begins there.
func (s *segment) recordBehind(offset, size int64) (next int64, valid bool) {
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

// nextMarker looks for a marker after the unreadable record at s.size.
func (s *segment) nextMarker(size int64) (offset int64, found bool, err error) {
	rest := make([]byte, size-s.size)
	if _, err := s.file.ReadAt(rest, s.size); err != nil {
		return 0, false, err
	}
	offset, found = findMarker(rest, s.number, s.size)
	return offset, found, nil
}
