package wal

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/simulation"
)

// writeGroups returns a disk with a log of one segment, in which each group was written and synced before the next.
func writeGroups(groups ...[]string) *simulation.Disk {
	disk := simulation.NewDisk(simulation.NewRand(1))
	log, err := OpenLog(disk, Options{}, nil)
	if err != nil {
		panic(err)
	}
	for _, group := range groups {
		for _, text := range group {
			log.Append([]byte(text))
		}
		stepUntilSynced(log)
	}
	disk.Kill()
	return disk
}

// stepUntilSynced makes all appended records durable.
func stepUntilSynced(log *Log) {
	for more := true; more; {
		var err error
		if more, err = log.Step(); err != nil {
			panic(err)
		}
	}
}

// withoutMarkers returns a disk with a log as earlier versions wrote it, without group-commit markers.
func withoutMarkers(texts ...string) *simulation.Disk {
	disk := simulation.NewDisk(simulation.NewRand(1))
	file, err := disk.Create(segmentName(1))
	So(err, ShouldBeNil)
	for _, text := range texts {
		_, err := file.Write(encodeRecord([]byte(text)))
		So(err, ShouldBeNil)
	}
	So(file.Sync(), ShouldBeNil)
	So(disk.SyncDir(), ShouldBeNil)
	disk.Kill()
	return disk
}

// recovery holds the records that a start replayed, with "-" for each skipped part, and the parts that it reported.
type recovery struct {
	records    []string
	skipped    []Location
	truncated  []Location
	recordsAt  []Location
	sizeBefore int64
	sizeAfter  int64
}

func (s *recovery) text() string { return strings.Join(s.records, " ") }

// recoverLog opens a log. sizeBefore and sizeAfter are set to the size of the given segment.
func recoverLog(disk *simulation.Disk, segment uint32) *recovery {
	s := &recovery{}
	s.sizeBefore, _ = disk.Size(segmentName(segment))
	options := Options{
		OnSkipped: func(at Location) {
			s.skipped = append(s.skipped, at)
			s.records = append(s.records, "-")
		},
		OnTruncated: func(at Location) { s.truncated = append(s.truncated, at) },
	}
	_, err := OpenLog(disk, options, func(at Location, record []byte) error {
		s.records = append(s.records, string(record))
		s.recordsAt = append(s.recordsAt, at)
		return nil
	})
	if err != nil {
		panic(err)
	}
	s.sizeAfter, _ = disk.Size(segmentName(segment))
	disk.Kill()
	return s
}

func TestCorruptionInTheLastSegment(t *testing.T) {
	const record = headerSize + 1
	Convey("An unreadable record that was synced before later ones is skipped as corrupt, not truncated", t, func() {
		for _, test := range []struct {
			offset  int64
			found   string
			skipped Location
		}{
			{headerSize, "- 2 3 4 5", Location{1, 0, record}},               // the first group's payload
			{0, "- 2 3 4 5", Location{1, 0, record}},                        // its length
			{3, "- 2 3 4 5", Location{1, 0, record}},                        // its marker
			{record + headerSize, "1 - 3 4 5", Location{1, record, record}}, // first of two in a group
			{record + 1, "1 - 4 5", Location{1, record, 2 * record}},        // its length
			{2*record + headerSize, "1 2 - 4 5", Location{1, 2 * record, record}},
			{3*record + 4, "1 2 3 - 5", Location{1, 3 * record, record}}, // a checksum
		} {
			disk := writeGroups([]string{"1"}, []string{"2", "3"}, []string{"4"}, []string{"5"})
			So(disk.FlipBit(segmentName(1), test.offset, 5), ShouldBeTrue)
			for range 2 { // the next start gives the same
				s := recoverLog(disk, 1)
				So(s.text(), ShouldEqual, test.found)
				So(s.skipped, ShouldResemble, []Location{test.skipped})
				So(s.truncated, ShouldBeEmpty)
				So(s.sizeAfter, ShouldEqual, s.sizeBefore)
			}
		}
	})
	Convey("Without OnSkipped such a log isn't opened, and is left unchanged", t, func() {
		disk := writeGroups([]string{"1"}, []string{"2"})
		So(disk.FlipBit(segmentName(1), headerSize, 0), ShouldBeTrue)
		before, _ := disk.ReadAll(segmentName(1))
		_, err := OpenLog(disk, Options{}, nil)
		So(err, ShouldWrap, ErrCorrupt)
		disk.Kill()
		after, _ := disk.ReadAll(segmentName(1))
		So(bytes.Equal(before, after), ShouldBeTrue)
	})
	Convey("A marker is found by search after a corrupt length, and by length if the records are too long", t, func() {
		long := strings.Repeat("\x80", maxSearchedRecord)
		disk := writeGroups([]string{long}, []string{long}, []string{"end"})
		So(disk.FlipBit(segmentName(1), 2, 0), ShouldBeTrue)
		s := recoverLog(disk, 1)
		So(s.records, ShouldResemble, []string{"-", long, "end"})
		longer := strings.Repeat("\x80", maxSearchedRecord+1)
		disk = writeGroups([]string{longer}, []string{longer})
		So(disk.FlipBit(segmentName(1), headerSize, 0), ShouldBeTrue)
		s = recoverLog(disk, 1)
		So(s.records, ShouldResemble, []string{"-", longer})
	})
	Convey("Corruption at two offsets is reported twice, and a tail after the last marker is truncated", t, func() {
		disk := writeGroups([]string{"1"}, []string{"2"}, []string{"3"}, []string{"4"}, []string{"5", "6"})
		for _, offset := range []int64{headerSize, 2*record + headerSize, 5*record + headerSize} {
			So(disk.FlipBit(segmentName(1), offset, 0), ShouldBeTrue)
		}
		s := recoverLog(disk, 1)
		So(s.text(), ShouldEqual, "- 2 - 4 5")
		So(s.truncated, ShouldResemble, []Location{{1, 5 * record, record}})
	})
}

func TestTruncatedTail(t *testing.T) {
	const record = headerSize + 1
	Convey("An incomplete last group is truncated and reported, including valid records in its tail", t, func() {
		disk := writeGroups([]string{"1", "2"}, []string{"3", "4", "5"})
		So(disk.FlipBit(segmentName(1), 3*record+headerSize, 0), ShouldBeTrue)
		s := recoverLog(disk, 1)
		So(s.text(), ShouldEqual, "1 2 3")
		So(s.skipped, ShouldBeEmpty)
		So(s.truncated, ShouldResemble, []Location{{1, 3 * record, 2 * record}})
		So(s.sizeAfter, ShouldEqual, 3*record)
		s = recoverLog(disk, 1)
		So(s.text(), ShouldEqual, "1 2 3")
		So(s.truncated, ShouldBeEmpty)
	})
	Convey("So is the tail of a log without markers, and all records before it are replayed", t, func() {
		disk := withoutMarkers("1", "2", "3", "4")
		So(recoverLog(disk, 1).text(), ShouldEqual, "1 2 3 4")
		disk = withoutMarkers("1", "2", "3", "4")
		So(disk.FlipBit(segmentName(1), 2*record+headerSize, 0), ShouldBeTrue)
		s := recoverLog(disk, 1)
		So(s.text(), ShouldEqual, "1 2")
		So(s.truncated, ShouldResemble, []Location{{1, 2 * record, 2 * record}})
	})
	Convey("Once a later segment exists, even without records, nothing is truncated", t, func() {
		for _, disk := range []*simulation.Disk{writeGroups([]string{"1"}, []string{"2"}), withoutMarkers("1", "2")} {
			So(recoverLog(disk, 1).text(), ShouldEqual, "1 2") // begins segment 2
			So(disk.FlipBit(segmentName(1), record+headerSize, 0), ShouldBeTrue)
			s := recoverLog(disk, 1)
			So(s.text(), ShouldEqual, "1 -")
			So(s.skipped, ShouldResemble, []Location{{1, record, record}})
			So(s.truncated, ShouldBeEmpty)
		}
	})
	Convey("A payload that contains a segment's bytes isn't mistaken for a marker", t, func() {
		inner := writeGroups([]string{"1"}, []string{"2"})
		image, _ := inner.ReadAll(segmentName(1))
		disk := writeGroups([]string{"first"}, []string{string(image) + string(image)})
		So(disk.FlipBit(segmentName(1), 2*headerSize+int64(len("first")), 0), ShouldBeTrue)
		s := recoverLog(disk, 1)
		So(s.text(), ShouldEqual, "first")
		So(s.skipped, ShouldBeEmpty)
		So(s.truncated, ShouldHaveLength, 1)
	})
}

// TestRandomCorruption inverts a bit in logs of random groups. It checks that each record is replayed as it was
// written or lies in a part that was reported, and that only the last group is ever truncated.
func TestRandomCorruption(t *testing.T) {
	first := intFromEnvironment("FIRST", 0)
	for seed := first; seed < first+intFromEnvironment("SEEDS", defaultHistories); seed++ {
		if err := checkRandomCorruption(simulation.NewRand(uint64(seed))); err != nil {
			t.Fatalf("replay with FIRST=%d SEEDS=1: %v", seed, err)
		}
	}
}

// checkRandomCorruption inverts one bit of a random log and checks which parts a start replays and reports.
func checkRandomCorruption(random *simulation.Rand) error {
	var groups [][]string
	for range 2 + random.IntN(8) {
		var group []string
		for range 1 + random.IntN(4) {
			group = append(group, fmt.Sprint(len(groups), len(group), strings.Repeat("\x80", random.IntN(200))))
		}
		groups = append(groups, group)
	}
	disk := writeGroups(groups...)
	intact := recoverLog(disk, 1)
	lastGroup := intact.recordsAt[len(intact.recordsAt)-len(groups[len(groups)-1])].Offset - headerSize
	offset := random.Int64N(intact.sizeBefore)
	disk.FlipBit(segmentName(1), offset, random.IntN(8))
	s := recoverLog(disk, 1)
	for _, at := range s.truncated {
		if at.Offset < lastGroup {
			return fmt.Errorf("bit inverted in byte %d: %v was truncated, but the last group begins at %d",
				offset, at, lastGroup)
		}
	}
	if len(s.truncated)+len(s.skipped) != 1 {
		return fmt.Errorf("bit inverted in byte %d: skipped %v, truncated %v; want one part in total",
			offset, s.skipped, s.truncated)
	}
	lost := slices.Concat(s.truncated, s.skipped)[0]
	for i, at := range intact.recordsAt {
		within := at.Offset >= lost.Offset && at.Offset < lost.Offset+lost.Length
		found := slices.Index(s.recordsAt, at)
		if within == (found >= 0) {
			return fmt.Errorf("bit inverted in byte %d: record %d at %v is both or neither replayed and reported in %v",
				offset, i, at, lost)
		}
	}
	if lost.Offset > uint32(offset) || lost.Offset+lost.Length <= uint32(offset) {
		return fmt.Errorf("bit inverted in byte %d: reported %v, which doesn't contain the byte", offset, lost)
	}
	return nil
}
