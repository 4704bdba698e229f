package slots

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// randomCases is the number of random inputs that a normal test run tries.
const randomCases = 20_000

// testSequence is the sequence of the log in encodedTestLog.
const testSequence = 7

// testAppends are the records of the appends in encodedTestLog.
var testAppends = [][][]byte{
	{[]byte("first")},
	{[]byte("second"), nil, []byte("third")},
	{bytes.Repeat([]byte("x"), 200)},
	{[]byte("last")},
}

// encodedTestLog returns a log file, and the number of records in its first 0, 1, 2... batches.
func encodedTestLog(t testing.TB) ([]byte, []int) {
	t.Helper()
	log := encodeLogHeader(testSequence)
	counts := []int{0}
	var err error
	for number, records := range testAppends {
		if log, err = appendBatch(log, testSequence, uint32(number), records); err != nil {
			t.Fatal(err)
		}
		counts = append(counts, counts[number]+len(records))
	}
	return log, counts
}

// testRecords returns all records of testAppends.
func testRecords() [][]byte {
	var records [][]byte
	for _, batch := range testAppends {
		records = append(records, batch...)
	}
	return records
}

// checkLog fails unless the records parsed from a changed copy of the test log are the records of its first
// batches, in order.
func checkLog(t testing.TB, data []byte, counts []int) {
	t.Helper()
	contents := parseLog(data)
	if !contents.valid || contents.sequence != testSequence {
		return
	}
	if contents.validSize > contents.fileSize || contents.validSize < logHeaderSize {
		t.Fatalf("valid size %d outside the header and the file of %d bytes", contents.validSize, contents.fileSize)
	}
	if int(contents.batches) >= len(counts) || len(contents.records) != counts[contents.batches] {
		t.Fatalf("parsed %d records in %d batches, unlike the test log", len(contents.records), contents.batches)
	}
	for i, record := range testRecords()[:len(contents.records)] {
		if !bytes.Equal(record, contents.records[i]) {
			t.Fatalf("record %d is %q, unlike the test log", i, contents.records[i])
		}
	}
}

// FuzzLog parses arbitrary bytes as a log. The fuzzer may generate other valid batches, so that only the bounds
// are checked.
func FuzzLog(f *testing.F) {
	log, _ := encodedTestLog(f)
	f.Add(log)
	f.Add(log[:len(log)-3])
	f.Add(encodeLogHeader(1))
	f.Fuzz(func(t *testing.T, data []byte) {
		contents := parseLog(data)
		if contents.valid && (contents.validSize > int64(len(data)) || contents.validSize < logHeaderSize) {
			t.Fatalf("valid size %d outside the header and the file of %d bytes", contents.validSize, len(data))
		}
	})
}

// FuzzSlot parses arbitrary bytes as a slot.
func FuzzSlot(f *testing.F) {
	f.Add(append(encodeSlotHeader(3, []byte("snapshot")), "snapshot"...))
	f.Add(encodeSlotHeader(1, nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		contents := parseSlot(data)
		if contents.valid && len(contents.snapshot) > len(data)-slotHeaderSize {
			t.Fatalf("snapshot of %d bytes in a file of %d bytes", len(contents.snapshot), len(data))
		}
	})
}

// TestRandomLogs parses a log that was changed at random, with the same changes in each run.
func TestRandomLogs(t *testing.T) {
	log, counts := encodedTestLog(t)
	if contents := parseLog(log); len(contents.records) != counts[len(testAppends)] || contents.corruptOffset != 0 {
		t.Fatalf("unchanged log: %+v", contents)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range randomCases {
		changed := bytes.Clone(log)
		for range 1 + random.IntN(4) {
			place := random.IntN(len(changed))
			switch random.IntN(3) {
			case 0:
				changed[place] ^= 1 << random.IntN(8)
			case 1:
				changed = changed[:place+1]
			case 2:
				changed = append(changed, changed[place:]...)
			}
		}
		checkLog(t, changed, counts)
	}
}

// TestBatchesOfAnotherSequenceAreIgnored parses a log in which batches of an earlier use of the file follow a new
// header.
func TestBatchesOfAnotherSequenceAreIgnored(t *testing.T) {
	log, _ := encodedTestLog(t)
	contents := parseLog(append(encodeLogHeader(testSequence+1), log[logHeaderSize:]...))
	if !contents.valid || len(contents.records) != 0 || contents.corruptOffset != 0 {
		t.Fatalf("log with batches of another sequence: %+v; want no records and no corruption", contents)
	}
}

// TestCorruptionIsDistinguishedFromTornTail corrupts each batch in turn. Only a corrupt last batch may be treated
// as a torn write.
func TestCorruptionIsDistinguishedFromTornTail(t *testing.T) {
	log, _ := encodedTestLog(t)
	ends := []int{logHeaderSize}
	for ends[len(ends)-1] < len(log) {
		size, _ := parseBatch(log[ends[len(ends)-1]:], testSequence, uint32(len(ends)-1))
		ends = append(ends, ends[len(ends)-1]+size)
	}
	for number, start := range ends[:len(ends)-1] {
		changed := bytes.Clone(log)
		changed[start+batchHeaderSize] ^= 1
		contents := parseLog(changed)
		isLast := number == len(testAppends)-1
		if isLast != (contents.corruptOffset == 0) || contents.validSize != int64(start) {
			t.Fatalf("batch %d corrupted: %+v", number, contents)
		}
	}
}
