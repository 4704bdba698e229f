package wal

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"

	"sprucelane.example/sprucelane/coord/slots"
)

// Load reads a folder's log, hands each record to replay in order, and begins a new segment. All that was handed over is
// durable when it returns. A record that is damaged as no loss of power can have torn it is told to Options.Skipped; without
// that, Load gives ErrCorrupt and changes nothing. An end that a loss of power may have torn is told to Options.CutOff.
func OpenLog(fs slots.FS, options Options, replay func(Location, []byte) error) (*Log, error) {
	if options.SegmentSize <= 0 {
		options.SegmentSize = DefaultSegmentSize
	}
	l := &Log{fs: fs, segmentSize: options.SegmentSize, segments: map[uint32]*segment{}}
	found, err := l.listSegments()
	if err != nil {
		return nil, err
	}
	last := len(found) - 1 // the only one that isn't known to have been synced whole, as a segment is begun only after that
	for i := range found {
		if err := l.loadSegment(found[i], i == last, replay, &options); err != nil {
			l.closeFiles()
			return nil, err
		}
		l.tailSegment = found[i].number
	}
	l.tailSegment++
	if err := l.createSegment(l.tailSegment); err != nil {
		l.closeFiles()
		return nil, err
	}
	return l, nil
}

// stored is a segment's file as it was found.
type segmentFile struct {
	number uint32
	size   int64
}

// list gives the segments in order.
func (l *Log) listSegments() ([]segmentFile, error) {
	names, err := l.fs.List()
	if err != nil {
		return nil, err
	}
	var found []segmentFile
	for _, file := range names {
		var number uint32
		if n, _ := fmt.Sscanf(file, "segment-%08d", &number); n != 1 || file != segmentName(number) {
			continue
		}
		size, err := l.fs.Size(file)
		if err != nil {
			return nil, err
		}
		found = append(found, segmentFile{number: number, size: size})
	}
	slices.SortFunc(found, func(a, b segmentFile) int { return int(a.number) - int(b.number) })
	return found, nil
}

// load replays one segment up to its last whole record and cuts off what follows, so that it can't come back. What it
// replayed may be of a process that was killed before it synced it, and is synced here.
func (l *Log) loadSegment(found segmentFile, last bool, replay func(Location, []byte) error, options *Options) error {
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

// replayAll hands over all whole records, and tells of what is damaged between them. What it leaves is a torn end.
func (s *segment) replay(size int64, last bool, replay func(Location, []byte) error, onSkipped func(Location)) error {
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

// cutOff takes what follows the last whole record away.
func (s *segment) truncateTail(size int64, onTruncated func(Location)) error {
	if onTruncated != nil {
		onTruncated(Location{Segment: s.number, Offset: uint32(s.size), Length: uint32(size - s.size)})
	}
	return s.file.Truncate(s.size)
}

// replay hands over the records up to the last whole one.
func (s *segment) replayRun(size int64, replay func(Location, []byte) error) error {
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

// skip goes over a damaged record to the one behind it, where its length tells of a whole one there, or else to the next mark,
// or to the end of the segment where there is none. It gives the part that was gone over.
func (s *segment) skip(marker, size int64) Location {
	start := s.size
	s.size = marker
	if next, valid := s.recordBehind(start, size); valid {
		s.size = next
	}
	return Location{Segment: s.number, Offset: uint32(start), Length: uint32(s.size - start)}
}

// behind tells where the record after the one at an offset begins, and whether a whole one does.
func (s *segment) recordBehind(offset, size int64) (next int64, valid bool) {
	var head [headerSize]byte
	if _, err := s.file.ReadAt(head[:], offset); err != nil {
		return 0, false
	}
	next = offset + headerSize + int64(decodeHeader(head[:]).length)
	if next >= size {
		return 0, false
	}
	_, err := readRecord(bufio.NewReader(io.NewSectionReader(s.file, next, size-next)), s.number, next)
	return next, err == nil
}

// nextMark looks for a mark behind the record that can't be read.
func (s *segment) nextMarker(size int64) (offset int64, found bool, err error) {
	rest := make([]byte, size-s.size)
	if _, err := s.file.ReadAt(rest, s.size); err != nil {
		return 0, false, err
	}
	offset, found = findMarker(rest, s.number, s.size)
	return offset, found, nil
}
