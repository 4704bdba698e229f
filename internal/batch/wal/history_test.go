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
	plainHistories = 200
	historyOps     = 400
	historySegment = 300 // bytes
)

// history is a log's life beside a model of it.
type history struct {
	random *simulation.Rand
	disk   *simulation.Disk
	fs     slots.FS // disk, or a liar before it
	log    *Log

	records []record // of all lives, those left out that were rightly lost
	first   int      // of records: those before it were released
	durable int      // records told to be durable, or handed over at a start
	before  int      // records when this life began
	lives   int
	ops     int
}

type record struct {
	text string
	at   Location
}

// playHistory gives what broke, and the life.
func playHistory(seed uint64, plant func(slots.FS) slots.FS) (h *history, err error) {
	random := simulation.NewRand(seed)
	h = &history{random: random, disk: simulation.NewDisk(random.Fork("disk"))}
	h.fs = h.disk
	if plant != nil {
		h.fs = plant(h.disk)
	}
	if err := h.start(); err != nil {
		return h, err
	}
	for range historyOps {
		if err := h.operate(); err != nil {
			return h, fmt.Errorf("life %d, operation %d: %w", h.lives, h.ops, err)
		}
	}
	return h, nil
}

// start opens the log, in which the power may go again, and compares what it hands over with the model.
func (h *history) start() error {
	for {
		h.lives++
		if h.random.Chance(0.1) {
			h.disk.FailAt(1 + h.random.IntN(6))
		}
		var found []record
		log, err := Load(h.fs, Options{Segment: historySegment}, func(at Location, payload []byte) error {
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
	h.durable, h.before = end, end
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
	h.durable = max(h.durable, h.before+int(h.log.Durable()))
	return h.judge(err)
}

// judge takes an operation's error: the power may have gone within it.
func (h *history) judge(err error) error {
	switch {
	case err == nil || errors.Is(err, ErrFull):
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
	oldest, current := h.log.Oldest()
	if oldest == current {
		if h.log.Release(oldest) == nil {
			return errors.New("the segment being written is released")
		}
		return nil
	}
	for h.first < len(h.records) && h.records[h.first].at.Segment <= oldest {
		h.first++
	}
	return h.judge(h.log.Release(oldest))
}

func wanted(name string, value int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return value
}

// TestRandomHistories plays lives of a log with fixed seeds; SEEDS=N plays N of them, FIRST=S starts at seed S.
func TestRandomHistories(t *testing.T) {
	first := wanted("FIRST", 0)
	count := wanted("SEEDS", plainHistories)
	lives, records := 0, 0
	for seed := first; seed < first+count; seed++ {
		h, err := playHistory(uint64(seed), nil)
		if err != nil {
			t.Fatalf("replay with FIRST=%d SEEDS=1: %v", seed, err)
		}
		lives += h.lives
		records += len(h.records)
	}
	t.Logf("%d histories, %d lives, %d records", count, lives, records)
}

// liar is a folder whose files don't do all that they are told.
type liar struct {
	slots.FS
	opened, created, truncates bool // files on which Sync does nothing, and whether Truncate does nothing
	folder                     bool // SyncDir does nothing
}

func (l liar) Open(name string) (slots.File, error) {
	file, err := l.FS.Open(name)
	return lyingFile{File: file, noSync: l.opened, noTruncate: l.truncates}, err
}

func (l liar) Create(name string) (slots.File, error) {
	file, err := l.FS.Create(name)
	return lyingFile{File: file, noSync: l.created}, err
}

func (l liar) SyncDir() error {
	if l.folder {
		return nil
	}
	return l.FS.SyncDir()
}

type lyingFile struct {
	slots.File
	noSync, noTruncate bool
}

func (f lyingFile) Sync() error {
	if f.noSync {
		return nil
	}
	return f.File.Sync()
}

func (f lyingFile) Truncate(size int64) error {
	if f.noTruncate {
		return nil
	}
	return f.File.Truncate(size)
}

// TestPlantedBugs shows that the histories find a log that leaves out what it must do with the disk.
func TestPlantedBugs(t *testing.T) {
	for name, bug := range map[string]liar{
		"durable before the sync":             {created: true},
		"a start does not sync what it found": {opened: true},
		"a torn tail is not cut":              {truncates: true},
		"removed names are not gone":          {folder: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2000) {
				_, err := playHistory(seed, func(fs slots.FS) slots.FS {
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
				log, err := Load(disk, Options{}, func(_ Location, payload []byte) error {
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
		log, err := Load(disk, Options{Segment: 10}, nil)
		So(err, ShouldBeNil)
		for _, text := range []string{"one", "two"} {
			log.Append([]byte(text))
		}
		for more := true; more; {
			more, err = log.Step()
			So(err, ShouldBeNil)
		}
		So(disk.FlipBit(name(1), headSize, 0), ShouldBeTrue)
		disk.Kill()
		size, _ := disk.Size(name(1))
		_, err = Load(disk, Options{}, func(Location, []byte) error { return nil })
		So(errors.Is(err, ErrCorrupt), ShouldBeTrue)
		after, _ := disk.Size(name(1))
		So(after, ShouldEqual, size)
		names, _ := disk.List()
		So(names, ShouldResemble, []string{name(1), name(2)})
	})
}

func TestReleaseOrder(t *testing.T) {
	Convey("Only the oldest segment goes, and none that is still written", t, func() {
		disk := simulation.NewDisk(simulation.NewRand(1))
		log, err := Load(disk, Options{Segment: 10}, nil)
		So(err, ShouldBeNil)
		for range 3 {
			log.Append([]byte("record"))
		}
		_, _ = log.Step()
		oldest, current := log.Oldest()
		So(oldest, ShouldEqual, current) // what is queued for the others isn't written
		So(log.Release(1), ShouldNotBeNil)
		for more := true; more; {
			more, err = log.Step()
			So(err, ShouldBeNil)
		}
		So(log.Release(2), ShouldNotBeNil)
		So(log.Release(1), ShouldBeNil)
		So(log.Release(2), ShouldBeNil)
		So(log.Release(3), ShouldNotBeNil)
	})
}
