package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/wal"
)

// writeLog appends records to the log in a directory.
func writeLog(directory string, records ...[]byte) {
	ignore := func(wal.Location, []byte) error { return nil }
	log, err := wal.Open(directory, wal.Options{}, ignore, func(uint64, error) {})
	So(err, ShouldBeNil)
	for _, record := range records {
		log.Append(record, true)
	}
	log.Close()
}

// writeGroups appends records to the log in a directory, each synced before the next is written.
func writeGroups(directory string, records ...[]byte) {
	durable := make(chan uint64, len(records))
	log, err := wal.Open(directory, wal.Options{}, func(wal.Location, []byte) error { return nil },
		func(sequence uint64, _ error) { durable <- sequence })
	So(err, ShouldBeNil)
	for _, record := range records {
		sequence, _ := log.Append(record, true)
		for <-durable < sequence {
		}
	}
	log.Close()
}

// invertBit inverts the lowest bit of a file's byte.
func invertBit(path string, offset int) {
	text, err := os.ReadFile(path)
	So(err, ShouldBeNil)
	text[offset] ^= 1
	So(os.WriteFile(path, text, 0o644), ShouldBeNil)
}

// replicaRecord returns the record that a store writes for a complete batch job with one item.
func replicaRecord(id string) []byte {
	content := (&job.Content{ID: id, Tenant: "t", Route: "r", Items: []job.Item{{ID: "item", Path: "/p"}}}).Encode()
	record := job.AppendString([]byte{1}, id)
	record = append(record, 0, 0, 0) // version, replicas, not ended
	record = job.AppendString(record, string(content))
	return append(record, 0) // results
}

// readFiles returns the content of all files of a directory except the incarnation file, by name.
func readFiles(directory string) map[string]string {
	files := map[string]string{}
	entries, err := os.ReadDir(directory)
	So(err, ShouldBeNil)
	for _, entry := range entries {
		text, err := os.ReadFile(filepath.Join(directory, entry.Name()))
		So(err, ShouldBeNil)
		if entry.Name() != incarnationFile {
			files[entry.Name()] = string(text)
		}
	}
	return files
}

// logLines returns the lines of a log whose message is event.
func logLines(log *bytes.Buffer, event string) (lines []map[string]any) {
	decoder := json.NewDecoder(bytes.NewReader(log.Bytes()))
	for {
		var line map[string]any
		if decoder.Decode(&line) != nil {
			return lines
		}
		if line["message"] == event {
			lines = append(lines, line)
		}
	}
}

func TestCorruptRecords(t *testing.T) {
	Convey("A start uses all valid records, logs the others with their location, and changes no segment", t, func() {
		directory := t.TempDir()
		first, err := openIncarnation(directory)
		So(err, ShouldBeNil)
		junk := make([][]byte, 16)
		for kind := range junk {
			junk[kind] = []byte{byte(kind)} // incomplete record of each kind
		}
		writeLog(directory, append(append([][]byte{replicaRecord("before")}, junk...), replicaRecord("after"))...)
		before := readFiles(directory)
		for start := range 3 {
			var log bytes.Buffer
			s, err := New(testSettings("127.0.0.1", "store-1", directory), zerolog.New(&log))
			So(err, ShouldBeNil)
			s.disk.wal.Close()
			So(s.process.Incarnation, ShouldEqual, first.id)
			So(s.report().BatchJobs, ShouldEqual, 2)
			findings, corruptJobs := s.corruptionCounts()
			So(findings, ShouldEqual, len(junk))
			So(corruptJobs, ShouldEqual, 0)
			lines := logLines(&log, "record_corrupt")
			So(lines, ShouldHaveLength, len(junk))
			for _, line := range lines {
				So(line["segment"], ShouldEqual, 1)
				So(line["offset"], ShouldBeGreaterThan, 0)
				So(line["problem"], ShouldNotBeEmpty)
			}
			for file, text := range before {
				now := readFiles(directory)[file]
				So(now == text, ShouldBeTrue)
			}
			So(readFiles(directory), ShouldHaveLength, len(before)+start+1) // a segment for each start
		}
	})
	Convey("A part of the log that doesn't match its checksum is logged, and the rest is used", t, func() {
		directory := t.TempDir()
		writeLog(directory, replicaRecord("one"), replicaRecord("two"))
		writeLog(directory, replicaRecord("three"))
		path := filepath.Join(directory, "segment-00000001")
		text, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		text[12] ^= 1
		So(os.WriteFile(path, text, 0o644), ShouldBeNil)
		var log bytes.Buffer
		s, err := New(testSettings("127.0.0.1", "store-1", directory), zerolog.New(&log))
		So(err, ShouldBeNil)
		s.disk.wal.Close()
		So(s.report().BatchJobs, ShouldEqual, 2)
		So(logLines(&log, "record_corrupt"), ShouldHaveLength, 1)
		So(readFiles(directory)["segment-00000001"] == string(text), ShouldBeTrue)
	})
	Convey("So is one in the last segment before records that were synced later, and nothing is truncated", t, func() {
		directory := t.TempDir()
		writeLog(directory, replicaRecord("one"))
		path := filepath.Join(directory, "segment-00000001")
		text, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		writeGroups(directory, replicaRecord("two"), replicaRecord("three"), replicaRecord("four"))
		invertBit(filepath.Join(directory, "segment-00000002"), len(text)+12) // within the second of three
		before := readFiles(directory)["segment-00000002"]
		var log bytes.Buffer
		s, err := New(testSettings("127.0.0.1", "store-1", directory), zerolog.New(&log))
		So(err, ShouldBeNil)
		s.disk.wal.Close()
		findings, corruptJobs := s.corruptionCounts()
		So(findings, ShouldEqual, 1)
		So(corruptJobs, ShouldEqual, 2) // all batch jobs that the log held before the corrupt part
		So(s.report().BatchJobs, ShouldEqual, 3)
		So(logLines(&log, "record_corrupt"), ShouldHaveLength, 1)
		So(logLines(&log, "log_tail_truncated"), ShouldBeEmpty)
		So(readFiles(directory)["segment-00000002"] == before, ShouldBeTrue)
	})
	Convey("A tail that may be a torn write is truncated, and logged with its location and size", t, func() {
		directory := t.TempDir()
		writeGroups(directory, replicaRecord("one"), replicaRecord("two"))
		path := filepath.Join(directory, "segment-00000001")
		text, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		So(os.WriteFile(path, text[:len(text)-3], 0o644), ShouldBeNil)
		var log bytes.Buffer
		s, err := New(testSettings("127.0.0.1", "store-1", directory), zerolog.New(&log))
		So(err, ShouldBeNil)
		s.disk.wal.Close()
		So(s.report().BatchJobs, ShouldEqual, 1)
		findings, corruptJobs := s.corruptionCounts()
		So(findings+corruptJobs, ShouldEqual, 0)
		lines := logLines(&log, "log_tail_truncated")
		So(lines, ShouldHaveLength, 1)
		So(lines[0]["segment"], ShouldEqual, 1)
		So(lines[0]["offset"], ShouldEqual, len(text)/2)
		So(lines[0]["length"], ShouldEqual, len(text)/2-3)
		s.logState()
		So(logLines(&log, "state")[0]["truncated_bytes"], ShouldEqual, len(text)/2-3)
	})
	Convey("After corruption of the incarnation file, a start begins a new incarnation and uses the whole log", t, func() {
		for _, corrupt := range []string{"?", "", "0123456789abcdef", "0123456789abcdef x\n"} {
			directory := t.TempDir()
			first, err := openIncarnation(directory)
			So(err, ShouldBeNil)
			writeLog(directory, replicaRecord("one"))
			So(os.WriteFile(filepath.Join(directory, incarnationFile), []byte(corrupt), 0o644), ShouldBeNil)
			var log bytes.Buffer
			s, err := New(testSettings("127.0.0.1", "store-1", directory), zerolog.New(&log))
			So(err, ShouldBeNil)
			s.disk.wal.Close()
			So(s.process.Incarnation, ShouldNotEqual, first.id)
			So(s.process.Incarnation, ShouldHaveLength, len(first.id))
			So(s.report().BatchJobs, ShouldEqual, 1)
			So(logLines(&log, "incarnation_unreadable"), ShouldHaveLength, 1)
			again, err := openIncarnation(directory)
			So(err, ShouldBeNil)
			So(again.id, ShouldEqual, s.process.Incarnation)
			So(again.unreadable, ShouldBeFalse)
		}
	})
}

func TestUnreadableDisk(t *testing.T) {
	Convey("A disk that can't be read at all is left unchanged, and opening it is retried", t, func() {
		directory := t.TempDir()
		writeLog(directory, replicaRecord("one"))
		path := filepath.Join(directory, "segment-00000001")
		So(os.Rename(path, path+".kept"), ShouldBeNil)
		So(os.Mkdir(path, 0o755), ShouldBeNil) // reading it gives an error
		var log bytes.Buffer
		attempts := 0
		settings := testSettings("127.0.0.1", "store-1", directory)
		s, err := openWithRetry(context.Background(), settings, zerolog.New(&log), func(context.Context) error {
			attempts++
			if attempts == 3 {
				So(os.Remove(path), ShouldBeNil)
				So(os.Rename(path+".kept", path), ShouldBeNil)
			}
			return nil
		})
		So(err, ShouldBeNil)
		s.disk.wal.Close()
		So(attempts, ShouldEqual, 3)
		So(s.report().BatchJobs, ShouldEqual, 1)
		So(logLines(&log, "disk_unreadable"), ShouldHaveLength, 3)
	})
	Convey("Opening is retried until the context ends, and isn't retried without a data directory", t, func() {
		file := filepath.Join(t.TempDir(), "file")
		So(os.WriteFile(file, nil, 0o644), ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := Open(ctx, testSettings("127.0.0.1", "store-1", file), zerolog.Nop())
		So(errors.Is(err, context.Canceled), ShouldBeTrue)
		_, err = Open(context.Background(), testSettings("127.0.0.1", "store-1", ""), zerolog.Nop())
		So(errors.Is(err, errNoDataDir), ShouldBeTrue)
	})
}
