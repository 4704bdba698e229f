package slots

import (
	"fmt"
	"slices"
	"strings"
)

// Finding describes a torn or corrupt part of a file.
type Finding struct {
	// File is the name of the file.
	File string
	// Offset is the position in the file, in bytes from its start.
	Offset int64
	// Problem describes the finding for people.
	Problem string
	// DataLoss is true if acknowledged state is missing because of the finding. If false, the
	// finding is treated as the result of a crash.
	DataLoss bool
}

// String describes the finding with its file and offset.
func (f Finding) String() string {
	return fmt.Sprintf("%s at %d: %s", f.File, f.Offset, f.Problem)
}

// Recovered is the state that Open found on the disk.
type Recovered struct {
	// Snapshot is the snapshot of the last Compact, empty before the first Compact.
	Snapshot []byte
	// Records are the records appended since, in order.
	Records [][]byte
	// Found is true if there was a store. If the first Open crashed, there is none.
	Found bool
	// Findings are the torn and corrupt parts of the files.
	Findings []Finding
}

// DataLoss reports whether acknowledged state is missing.
func (r Recovered) DataLoss() bool {
	return slices.ContainsFunc(r.Findings, func(finding Finding) bool { return finding.DataLoss })
}

// describeFindings returns a description of all findings in one line.
func (r Recovered) describeFindings() string {
	texts := make([]string, 0, len(r.Findings))
	for _, finding := range r.Findings {
		texts = append(texts, finding.String())
	}
	return strings.Join(texts, "; ")
}

// addFinding adds a finding. dataLoss must be true if acknowledged state is missing because of it.
func (r *Recovered) addFinding(file string, offset int64, problem string, dataLoss bool) {
	finding := Finding{File: file, Offset: offset, Problem: problem, DataLoss: dataLoss}
	r.Findings = append(r.Findings, finding)
}

// slotName returns the name of the slot with a number, 0 or 1.
func slotName(prefix string, number int) string { return fmt.Sprintf("%sslot-%d", prefix, number) }

// logName returns the name of the log with a number, 0 or 1.
func logName(prefix string, number int) string { return fmt.Sprintf("%slog-%d", prefix, number) }

// storeFiles is the contents of the files of a store.
type storeFiles struct {
	prefix  string
	slots   [2]slotContents
	logs    [2]logContents
	missing bool // at least one file doesn't exist
}

// loadFiles reads all files of a store.
func loadFiles(fs FS, prefix string) (*storeFiles, error) {
	files := &storeFiles{prefix: prefix}
	for number := range 2 {
		slot, err := files.read(fs, slotName(prefix, number))
		if err != nil {
			return nil, err
		}
		log, err := files.read(fs, logName(prefix, number))
		if err != nil {
			return nil, err
		}
		files.slots[number] = parseSlot(slot)
		files.logs[number] = parseLog(log)
	}
	return files, nil
}

// read returns a file's contents. If the file doesn't exist, it returns nil and sets missing.
func (f *storeFiles) read(fs FS, name string) ([]byte, error) {
	data, err := fs.ReadAll(name)
	if isNotExist(err) {
		f.missing = true
		return nil, nil
	}
	return data, err
}

// newestSlot returns the number of the valid slot with the highest sequence, or -1 if none is valid.
func (f *storeFiles) newestSlot() int {
	newest := -1
	for number, slot := range f.slots {
		if slot.valid && (newest < 0 || slot.sequence > f.slots[newest].sequence) {
			newest = number
		}
	}
	return newest
}

// recover returns the state on the disk and the number of the slot with its snapshot, or -1 if no slot is valid.
func (f *storeFiles) recover() (Recovered, int) {
	active := f.newestSlot()
	if active < 0 {
		return f.recoverWithoutSlot(), -1
	}
	recovered := Recovered{Found: true, Snapshot: f.slots[active].snapshot}
	sequence := f.slots[active].sequence
	f.replayLog(&recovered, active, sequence)
	inactive := 1 - active
	if !f.slots[inactive].valid && !f.slots[inactive].empty {
		recovered.addFinding(slotName(f.prefix, inactive), 0, "torn or damaged snapshot", false)
	}
	// Batches are appended to a log only after its slot was synced. If a log with a higher sequence than the
	// newest valid slot holds batches, a newer slot was acknowledged and has been lost.
	if f.logs[inactive].valid && f.logs[inactive].sequence > sequence && f.logs[inactive].batches > 0 {
		recovered.addFinding(slotName(f.prefix, inactive), 0, "damaged snapshot that records follow", true)
		recovered.Records = append(recovered.Records, f.logs[inactive].records...)
	}
	return recovered, active
}

// recoverWithoutSlot returns the state if no slot is valid. It returns no records, as records can't be used
// without the snapshot that they follow.
func (f *storeFiles) recoverWithoutSlot() Recovered {
	var recovered Recovered
	for number, log := range f.logs {
		if log.batches > 0 {
			recovered.Found = true
			recovered.addFinding(slotName(f.prefix, number), 0, "damaged snapshot that records follow", true)
		}
	}
	return recovered
}

// replayLog adds the records of the active log, whose sequence must equal the given one of its slot.
func (f *storeFiles) replayLog(recovered *Recovered, number int, sequence uint64) {
	log := f.logs[number]
	name := logName(f.prefix, number)
	if !log.valid || log.sequence != sequence {
		recovered.addFinding(name, 0, "damaged header", true)
		return
	}
	recovered.Records = log.records
	switch {
	case log.corruptOffset > 0:
		recovered.addFinding(name, log.corruptOffset, "damaged record before good ones", true)
	case log.fileSize > log.validSize:
		recovered.addFinding(name, log.validSize, "torn record at the end", false)
	}
}
