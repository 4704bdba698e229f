package wal

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/slots"
)

// openedWAL is a WAL with the records that it replayed and the sequence numbers that it reported as durable.
type openedWAL struct {
	*WAL
	replayed  [][]byte
	locations []Location
	durable   chan uint64
}

func open(t *testing.T, directory string, options Options) *openedWAL {
	o := &openedWAL{durable: make(chan uint64, 1000)}
	var err error
	o.WAL, err = Open(directory, options, func(at Location, payload []byte) error {
		o.replayed = append(o.replayed, bytes.Clone(payload))
		o.locations = append(o.locations, at)
		return nil
	}, func(sequence uint64, err error) {
		if err != nil {
			t.Error(err)
		}
		o.durable <- sequence
	})
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func (o *openedWAL) await(t *testing.T, sequence uint64) {
	for {
		select {
		case done := <-o.durable:
			if done >= sequence {
				return
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("record %d doesn't become durable", sequence)
		}
	}
}

func TestWAL(t *testing.T) {
	Convey("Durable records are read back, across segments and restarts", t, func() {
		directory := t.TempDir()
		w := open(t, directory, Options{SegmentSize: 1000, Linger: time.Millisecond})
		var wrote [][]byte
		var at []Location
		last := uint64(0)
		for i := range 40 {
			payload := bytes.Repeat([]byte{byte(i + 1)}, 10+7*i)
			wrote = append(wrote, payload)
			sequence, location := w.Append(payload, i%5 == 0)
			at, last = append(at, location), sequence
		}
		w.await(t, last)
		for i := range at {
			payload, err := w.Read(at[i])
			So(err, ShouldBeNil)
			So(bytes.Equal(payload, wrote[i]), ShouldBeTrue)
		}
		part, err := w.Read(at[3].Part(2, 5))
		So(err, ShouldBeNil)
		So(part, ShouldResemble, wrote[3][2:7])
		size := w.Size()
		w.Close()
		w = open(t, directory, Options{SegmentSize: 1000})
		So(w.replayed, ShouldResemble, wrote)
		So(w.locations, ShouldResemble, at)
		So(w.Size(), ShouldEqual, size)
		oldest, current := w.SegmentRange()
		So(current, ShouldBeGreaterThan, oldest)
		So(w.RemoveSegment(oldest), ShouldBeNil)
		So(w.RemoveSegment(current), ShouldNotBeNil)
		So(w.Size(), ShouldBeLessThan, size)
		w.Close()
		w = open(t, directory, Options{SegmentSize: 1000})
		So(len(w.replayed), ShouldBeLessThan, len(wrote))
		So(w.replayed, ShouldResemble, wrote[len(wrote)-len(w.replayed):])
		w.Close()
	})
}

func TestTornTail(t *testing.T) {
	Convey("A prefix of the records that were not synced is replayed, and truncated records never are", t, func() {
		for seed := range uint64(60) {
			random := rand.New(rand.NewPCG(seed, 1))
			directory := t.TempDir()
			var wrote [][]byte
			for i := range 12 {
				padding := bytes.Repeat([]byte("x"), random.IntN(200))
				wrote = append(wrote, fmt.Appendf(nil, "record %d of %d %s", i, seed, padding))
			}
			writeGroup(directory, wrote)
			kept := tearGroup(t, directory, random)
			w := open(t, directory, Options{Linger: time.Millisecond})
			So(len(w.replayed), ShouldBeGreaterThanOrEqualTo, kept)
			So(w.replayed, ShouldResemble, wrote[:len(w.replayed)])
			count := len(w.replayed)
			sequence, _ := w.Append([]byte("next"), true)
			w.await(t, sequence)
			w.Close()
			w = open(t, directory, Options{})
			So(w.replayed, ShouldHaveLength, count+1)
			So(string(w.replayed[count]), ShouldEqual, "next")
			w.Close()
		}
	})
}

// writeGroup writes records to the log of an empty directory, as one group.
func writeGroup(directory string, records [][]byte) {
	log, err := OpenLog(slots.Directory(directory), Options{}, nil)
	So(err, ShouldBeNil)
	for _, record := range records {
		log.Append(record)
	}
	stepUntilSynced(log)
	log.closeFiles()
}

// tearGroup damages the only segment with records, which holds one group, as a loss of power may: at a random point
// it cuts the file off, zeroes up to 100 bytes, or changes a bit. It returns the number of records before that point.
func tearGroup(t *testing.T, directory string, random *rand.Rand) int {
	path := filepath.Join(directory, segmentName(1))
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	point := random.IntN(len(data))
	kept := 0
	for at := 0; at+headerSize <= point; kept++ {
		at += headerSize + int(uint32(data[at])|uint32(data[at+1])<<8)
		if at > point {
			break
		}
	}
	switch random.IntN(3) {
	case 0:
		data = data[:point]
	case 1:
		clear(data[point:min(len(data), point+1+random.IntN(100))])
	case 2:
		data[point] ^= 0x40
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		t.Fatal(err)
	}
	return kept
}
