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

// The tests in this file check the guarantees of the package comment on a simulated disk. They cover many
// incarnations, kills, losses of power between and within operations, full disks, small segments and removed
// segments.

const (
	defaultHistories   = 200
	historyOps         = 400
	historySegmentSize = 300 // bytes
)

// history is a log on a simulated disk together with a model of what it must contain.
type history struct {
	random *simulation.Rand
	disk   *simulation.Disk
	fs     slots.FS // disk, or a faultyFS around it
	log    *Log

	records        []record // of all incarnations, without records that were lost before they were durable
	first          int      // index of the first record that is not in a removed segment
	durable        int      // number of records that were reported as durable, or replayed at a start
	recordsAtStart int      // number of records when this incarnation began
	incarnations   int
	ops            int
}

// record is an appended record with its location.
type record struct {
	text string
	at   Location
}

// runHistory runs the history of a seed. It returns the history and the first violation. If inject is not nil, the
// log uses the disk that inject returns.
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
			return h, fmt.Errorf("incarnation %d, operation %d: %w", h.incarnations, h.ops, err)
		}
	}
	return h, nil
}

// start opens the log and compares the replayed records with the model. The power may be lost while the log is
// opened; it is then opened again.
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

// compare checks that the replayed records are all durable records, followed by a prefix of the others, without a
// gap. Records of removed segments may be replayed too.
func (h *history) compare(found []record) error {
	begin := h.first
	if len(found) > 0 {
		for begin = 0; begin < len(h.records) && h.records[begin] != found[0]; begin++ {
		}
	}
	end := begin + len(found)
	if begin > h.first || end > len(h.records) {
		return fmt.Errorf("records %d to %d of %d were replayed, %d were in removed segments",
			begin, end, len(h.records), h.first)
	}
	for i := range found {
		if h.records[begin+i] != found[i] {
			return fmt.Errorf("record %d was replayed as %v, appended as %v", begin+i, found[i], h.records[begin+i])
		}
	}
	if end < h.durable {
		return fmt.Errorf("only records up to %d were replayed, %d were durable", end, h.durable)
	}
	h.records = h.records[:end]
	h.durable, h.recordsAtStart = end, end
	return nil
}

// operate does one random operation on the log or its disk.
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
		return h.removeOldest()
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

// append appends a record of random length.
func (h *history) append() {
	text := strconv.Itoa(h.ops) + strings.Repeat("x", h.random.IntN(120))
	_, at := h.log.Append([]byte(text))
	h.records = append(h.records, record{text: text, at: at})
}

// step calls the log's Step, and updates the number of durable records.
func (h *history) step() error {
	_, err := h.log.Step()
	h.durable = max(h.durable, h.recordsAtStart+int(h.log.Durable()))
	return h.checkError(err)
}

// checkError handles the error of an operation. A full disk is no violation; after a loss of power during the
// operation, the log is opened again.
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

// read reads a random durable record and compares it with the model.
func (h *history) read() error {
	if h.first >= h.durable || h.disk.PoweredOff() {
		return nil
	}
	want := h.records[h.first+h.random.IntN(h.durable-h.first)]
	got, err := h.log.Read(want.at)
	if err != nil || string(got) != want.text {
		return fmt.Errorf("read of %v returned %q, %w", want, got, err)
	}
	return nil
}

// removeOldest removes the oldest segment. If that is the active one, it checks that it can't be removed.
func (h *history) removeOldest() error {
	oldest, current := h.log.SegmentRange()
	if oldest == current {
		if h.log.RemoveSegment(oldest) == nil {
			return errors.New("the active segment was removed")
		}
		return nil
	}
	for h.first < len(h.records) && h.records[h.first].at.Segment <= oldest {
		h.first++
	}
	return h.checkError(h.log.RemoveSegment(oldest))
}

// intFromEnvironment returns the integer value of an environment variable, or a default.
func intFromEnvironment(name string, value int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return value
}

// TestRandomHistories runs histories with fixed seeds. SEEDS=N runs N of them, FIRST=S starts at seed S.
func TestRandomHistories(t *testing.T) {
	first := intFromEnvironment("FIRST", 0)
	count := intFromEnvironment("SEEDS", defaultHistories)
	incarnations, records := 0, 0
	for seed := first; seed < first+count; seed++ {
		h, err := runHistory(uint64(seed), nil)
		if err != nil {
			t.Fatalf("replay with FIRST=%d SEEDS=1: %v", seed, err)
		}
		incarnations += h.incarnations
		records += len(h.records)
	}
	t.Logf("%d histories, %d incarnations, %d records", count, incarnations, records)
}

// faultyFS is a directory of which some operations do nothing but report success.
type faultyFS struct {
	slots.FS
	skipSyncOfOpened  bool // File.Sync of files returned by Open does nothing
	skipSyncOfCreated bool // File.Sync of files returned by Create does nothing
	skipTruncate      bool // File.Truncate of files returned by Open does nothing
	skipSyncDir       bool // SyncDir does nothing
}

func (f faultyFS) Open(name string) (slots.File, error) {
	file, err := f.FS.Open(name)
	return faultyFile{File: file, skipSync: f.skipSyncOfOpened, skipTruncate: f.skipTruncate}, err
}

func (f faultyFS) Create(name string) (slots.File, error) {
	file, err := f.FS.Create(name)
	return faultyFile{File: file, skipSync: f.skipSyncOfCreated}, err
}

func (f faultyFS) SyncDir() error {
	if f.skipSyncDir {
		return nil
	}
	return f.FS.SyncDir()
}

// faultyFile is a file of a faultyFS.
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

// TestInjectedBugs checks that the histories detect a log that omits a necessary operation on the disk.
func TestInjectedBugs(t *testing.T) {
	for name, bug := range map[string]faultyFS{
		"records are reported as durable before the sync": {skipSyncOfCreated: true},
		"a start does not sync replayed records":          {skipSyncOfOpened: true},
		"a torn tail is not truncated":                    {skipTruncate: true},
		"removals are not durable":                        {skipSyncDir: true},
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
			t.Error("no seed detects it")
		})
	}
}

func TestKilledBeforeSync(t *testing.T) {
	Convey("Records of a killed process that a start replayed survive a loss of power, as do later records", t, func() {
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
				_, err := log.Step() // writes the first record; the next call syncs it
				So(err, ShouldBeNil)
			}
			disk.Kill()
			log = load()
			replayed := found
			log.Append([]byte("later"))
			stepUntilSynced(log)
			disk.LosePower()
			load()
			So(found, ShouldResemble, append(replayed, "later"))
		}
	})
}

func TestCorruptionBeforeTheLastSegment(t *testing.T) {
	Convey("A corrupt record that can't be a torn write is reported, and the log is left unchanged", t, func() {
		disk := simulation.NewDisk(simulation.NewRand(1))
		log, err := OpenLog(disk, Options{SegmentSize: 10}, nil)
		So(err, ShouldBeNil)
		for _, text := range []string{"one", "two"} {
			log.Append([]byte(text))
		}
		stepUntilSynced(log)
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
	Convey("Only the oldest segment can be removed, and not while it is active", t, func() {
		disk := simulation.NewDisk(simulation.NewRand(1))
		log, err := OpenLog(disk, Options{SegmentSize: 10}, nil)
		So(err, ShouldBeNil)
		for range 3 {
			log.Append([]byte("record"))
		}
		_, _ = log.Step()
		oldest, current := log.SegmentRange()
		So(oldest, ShouldEqual, current) // the records that are queued for later segments aren't written yet
		So(log.RemoveSegment(1), ShouldNotBeNil)
		stepUntilSynced(log)
		So(log.RemoveSegment(2), ShouldNotBeNil)
		So(log.RemoveSegment(1), ShouldBeNil)
		So(log.RemoveSegment(2), ShouldBeNil)
		So(log.RemoveSegment(3), ShouldNotBeNil)
	})
}
