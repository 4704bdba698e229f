package wal

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/internal/simulation"
)

// This file holds the log to what it promises, on a simulated disk: kills, losses of power between and within operations,
// full disks, small segments, releases, for many lives.

const (
	defaultHistories   = 200
	historyOps         = 400
	historySegmentSize = 300 // bytes
)

// history is a log's life beside a model of it.
type history struct {
	random *simulation.Rand
	disk   *simulation.Disk
	fs     slots.FS // disk, or a liar before it
	log    *Log

	records      []record // of all lives, those left out that were rightly lost
	first        int      // of records: those before it were released
	durable      int      // records told to be durable, or handed over at a start
	loaded       int      // records when this life began
	incarnations int
	ops          int
}

type record struct {
	text string
	at   Location
}

// playHistory gives what broke, and the life.
func runHistory(seed uint64, inject func(slots.FS) slots.FS) (h *history, err error) {
	random := simulation.NewRand(seed)
	h = &history{random: random, disk: simulation.NewDisk(random.Fork("disk"))}
	h.fs = h.disk
	if inject != nil {
		h.fs = inject(h.disk)
	}
	if err := h.start(); err != nil {
		return h, err
	}
	for range historyOps {
		if err := h.operate(); err != nil {
			return h, fmt.Errorf("life %d, operation %d: %w", h.incarnations, h.ops, err)
		}
	}
	return h, nil
}

// start opens the log, in which the power may go again, and compares what it hands over with the model.
func (h *history) start() error {
	for {
		h.incarnations++
		if h.random.Chance(0.1) {
			h.disk.FailAt(1 + h.random.IntN(6))
		}
		var found []record
		log, err := OpenLog(h.fs, Options{SegmentSize: historySegmentSize}, func(at Location, payload []byte) error {
			found = append(found, record{text: string(payload), at: at})
			return nil
		})
		switch {
		case errors.Is(err, simulation.ErrPowerLost):
			h.disk.LosePower()
			continue
		case err != nil:
			return err
		}
		h.log = log
		return h.compare(found)
	}
}

// compare wants of the records all that are durable, no gap, and of the others those that came first.
func (h *history) compare(found []record) error {
	begin := h.first
	if len(found) > 0 {
		for begin = 0; begin < len(h.records) && h.records[begin] != found[0]; begin++ {
		}
	}
	end := begin + len(found)
	if begin > h.first || end > len(h.records) {
		return fmt.Errorf("records %d to %d of %d came back, released %d", begin, end, len(h.records), h.first)
	}
	for i := range found {
		if h.records[begin+i] != found[i] {
			return fmt.Errorf("record %d is %v, was %v", begin+i, found[i], h.records[begin+i])
		}
	}
	if end < h.durable {
		return fmt.Errorf("%d records came back, %d were durable", end, h.durable)
	}
	h.records = h.records[:end]
	h.durable, h.loaded = end, end
	return nil
}

func (h *history) operate() error {
	h.ops++
	switch kind := h.random.IntN(100); {
	case kind < 35:
		h.append()
	case kind < 80:
		return h.step()
	case kind < 84:
		return h.read()
	case kind < 88:
		return h.release()
	case kind < 90:
		h.disk.SetCapacity(int64(h.random.IntN(3000)))
	case kind < 93:
		h.disk.SetCapacity(0)
	case kind < 95:
		h.disk.FailAt(1 + h.random.IntN(8))
	case kind < 98:
		h.disk.Kill()
		return h.start()
	default:
		h.disk.LosePower()
		return h.start()
	}
	return nil
}

func (h *history) append() {
	text := strconv.Itoa(h.ops) + strings.Repeat("x", h.random.IntN(120))
	_, at := h.log.Append([]byte(text))
	h.records = append(h.records, record{text: text, at: at})
}

func (h *history) step() error {
	_, err := h.log.Step()
	h.durable = max(h.durable, h.loaded+int(h.log.Durable()))
	return h.checkError(err)
}

// judge takes an operation's error: the power may have gone within it.
func (h *history) checkError(err error) error {
	switch {
	case err == nil || errors.Is(err, ErrDiskFull):
		return nil
	case errors.Is(err, simulation.ErrPowerLost):
		h.disk.LosePower()
		return h.start()
	}
	return err
}

func (h *history) read() error {
	if h.first >= h.durable || h.disk.PoweredOff() {
		return nil
	}
	want := h.records[h.first+h.random.IntN(h.durable-h.first)]
	got, err := h.log.Read(want.at)
	if err != nil || string(got) != want.text {
		return fmt.Errorf("%v is read as %q, %w", want, got, err)
	}
	return nil
}

func (h *history) release() error {
	oldest, current := h.log.SegmentRange()
	if oldest == current {
		if h.log.RemoveSegment(oldest) == nil {
			return errors.New("the segment being written is released")
		}
		return nil
	}
	for h.first < len(h.records) && h.records[h.first].at.Segment <= oldest {
		h.first++
	}
	return h.checkError(h.log.RemoveSegment(oldest))
}

func envInt(name string, value int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return value
}

// TestRandomHistories plays lives of a log with fixed seeds; SEEDS=N plays N of them, FIRST=S starts at seed S.
func TestRandomHistories(t *testing.T) {
	first := envInt("FIRST", 0)
	count := envInt("SEEDS", defaultHistories)
	lives, records := 0, 0
	for seed := first; seed < first+count; seed++ {
		h, err := runHistory(uint64(seed), nil)
		if err != nil {
			t.Fatalf("replay with FIRST=%d SEEDS=1: %v", seed, err)
		}
		lives += h.incarnations
		records += len(h.records)
	}
	t.Logf("%d histories, %d lives, %d records", count, lives, records)
}

// liar is a folder whose files don't do all that they are told.
type faultyFS struct {
	slots.FS
	skipSyncOfOpened, skipSyncOfCreated, skipTruncate bool // files on which Sync does nothing, and whether Truncate does nothing
	skipSyncDir                                       bool // SyncDir does nothing
}

func (l faultyFS) Open(name string) (slots.File, error) {
	file, err := l.FS.Open(name)
	return faultyFile{File: file, skipSync: l.skipSyncOfOpened, skipTruncate: l.skipTruncate}, err
}

func (l faultyFS) Create(name string) (slots.File, error) {
	file, err := l.FS.Create(name)
	return faultyFile{File: file, skipSync: l.skipSyncOfCreated}, err
}

func (l faultyFS) SyncDir() error {
	if l.skipSyncDir {
		return nil
	}
	return l.FS.SyncDir()
}

type faultyFile struct {
	slots.File
	skipSync, skipTruncate bool
}

func (f faultyFile) Sync() error {
	if f.skipSync {
		return nil
	}
	return f.File.Sync()
}

func (f faultyFile) Truncate(size int64) error {
	if f.skipTruncate {
		return nil
	}
	return f.File.Truncate(size)
}

// TestPlantedBugs shows that the histories find a log that leaves out what it must do with the disk.
func TestInjectedBugs(t *testing.T) {
	for name, bug := range map[string]faultyFS{
		"durable before the sync":             {skipSyncOfCreated: true},
		"a start does not sync what it found": {skipSyncOfOpened: true},
		"a torn tail is not cut":              {skipTruncate: true},
		"removed names are not gone":          {skipSyncDir: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2000) {
				_, err := runHistory(seed, func(fs slots.FS) slots.FS {
					bug := bug
					bug.FS = fs
					return bug
				})
				if err != nil {
					t.Logf("found with seed %d: %v", seed, err)
					return
				}
			}
			t.Error("not found")
		})
	}
}

func TestKilledBeforeSync(t *testing.T) {
	Convey("What a start took from a killed process outlives a loss of power, before what was appended later", t, func() {
		for seed := range uint64(40) {
			disk := simulation.NewDisk(simulation.NewRand(seed))
			var found []string
			load := func() *Log {
				found = nil
				log, err := OpenLog(disk, Options{}, func(_ Location, payload []byte) error {
					found = append(found, string(payload))
					return nil
				})
				So(err, ShouldBeNil)
				return log
			}
			log := load()
			for _, text := range []string{"one", "two", "three"} {
				log.Append([]byte(text))
				_, err := log.Step() // writes the first, and syncs it at the second
				So(err, ShouldBeNil)
			}
			disk.Kill()
			log = load()
			taken := found
			log.Append([]byte("later"))
			for more := true; more; {
				var err error
				more, err = log.Step()
				So(err, ShouldBeNil)
			}
			disk.LosePower()
			load()
			So(found, ShouldResemble, append(taken, "later"))
		}
	})
}

func TestDamagedMiddle(t *testing.T) {
	Convey("A damaged record that no loss of power can have torn is told, and the log stays as it is", t, func() {
		disk := simulation.NewDisk(simulation.NewRand(1))
		log, err := OpenLog(disk, Options{SegmentSize: 10}, nil)
		So(err, ShouldBeNil)
		for _, text := range []string{"one", "two"} {
			log.Append([]byte(text))
		}
		for more := true; more; {
			more, err = log.Step()
			So(err, ShouldBeNil)
		}
		So(disk.FlipBit(segmentName(1), headerSize, 0), ShouldBeTrue)
		disk.Kill()
		size, _ := disk.Size(segmentName(1))
		_, err = OpenLog(disk, Options{}, func(Location, []byte) error { return nil })
		So(errors.Is(err, ErrCorrupt), ShouldBeTrue)
		after, _ := disk.Size(segmentName(1))
		So(after, ShouldEqual, size)
		names, _ := disk.List()
		So(names, ShouldResemble, []string{segmentName(1), segmentName(2)})
	})
}

func TestReleaseOrder(t *testing.T) {
	Convey("Only the oldest segment goes, and none that is still written", t, func() {
		disk := simulation.NewDisk(simulation.NewRand(1))
		log, err := OpenLog(disk, Options{SegmentSize: 10}, nil)
		So(err, ShouldBeNil)
		for range 3 {
			log.Append([]byte("record"))
		}
		_, _ = log.Step()
		oldest, current := log.SegmentRange()
		So(oldest, ShouldEqual, current) // what is queued for the others isn't written
		So(log.RemoveSegment(1), ShouldNotBeNil)
		for more := true; more; {
			more, err = log.Step()
			So(err, ShouldBeNil)
		}
		So(log.RemoveSegment(2), ShouldNotBeNil)
		So(log.RemoveSegment(1), ShouldBeNil)
		So(log.RemoveSegment(2), ShouldBeNil)
		So(log.RemoveSegment(3), ShouldNotBeNil)
	})
}
