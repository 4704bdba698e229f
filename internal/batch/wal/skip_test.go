package wal

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/simulation"
)

// writtenLog returns a disk with a log of ten records, "1" to "9" and "0", three in each segment.
func writtenLog() *simulation.Disk {
	disk := simulation.NewDisk(simulation.NewRand(1))
	log, err := OpenLog(disk, Options{SegmentSize: 3 * (headerSize + 1)}, nil)
	if err != nil {
		panic(err)
	}
	for number := 1; number <= 10; number++ {
		log.Append(fmt.Append(nil, number%10))
	}
	stepUntilSynced(log)
	disk.Kill()
	return disk
}

// loadSkipping opens a log. It returns the replayed records, with "-" for each skipped part, and the skipped parts.
func loadSkipping(disk *simulation.Disk) (string, []Location) {
	var text strings.Builder
	var skipped []Location
	_, err := OpenLog(disk, Options{OnSkipped: func(at Location) {
		skipped = append(skipped, at)
		text.WriteString("-")
	}}, func(_ Location, record []byte) error {
		text.Write(record)
		return nil
	})
	if err != nil {
		panic(err)
	}
	disk.Kill()
	return text.String(), skipped
}

func TestSkipped(t *testing.T) {
	Convey("A corrupt record is skipped and reported; the records before and after it are replayed", t, func() {
		const record = headerSize + 1
		for _, test := range []struct {
			segment uint32
			offset  int64
			found   string
			at      Location
		}{
			{2, headerSize, "123-567890", Location{2, 0, record}},                     // its payload
			{2, record + 4, "1234-67890", Location{2, record, record}},                // its checksum
			{2, 2*record + headerSize, "12345-7890", Location{2, 2 * record, record}}, // the last of its segment
			{1, 1, "-4567890", Location{1, 0, 3 * record}},                            // its length
			{3, record, "1234567-0", Location{3, record, 2 * record}},
		} {
			disk := writtenLog()
			before, _ := disk.ReadAll(segmentName(test.segment))
			So(disk.FlipBit(segmentName(test.segment), test.offset, 3), ShouldBeTrue)
			for range 2 { // the next start gives the same
				found, skipped := loadSkipping(disk)
				So(found, ShouldEqual, test.found)
				So(skipped, ShouldResemble, []Location{test.at})
			}
			disk.FlipBit(segmentName(test.segment), test.offset, 3)
			after, _ := disk.ReadAll(segmentName(test.segment))
			So(bytes.Equal(before, after), ShouldBeTrue) // the skipped part is left unchanged
		}
	})
	Convey("A corrupt tail of the last segment is truncated like a torn write", t, func() {
		disk := writtenLog()
		So(disk.FlipBit(segmentName(4), headerSize, 0), ShouldBeTrue)
		found, skipped := loadSkipping(disk)
		So(found, ShouldEqual, "123456789")
		So(skipped, ShouldBeEmpty)
	})
}
