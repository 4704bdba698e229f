package slots

import (
	"fmt"
	"strings"
)

// Finding is something on the disk that is not as it should be.
type Finding struct {
	// File is the name of the file.
	File string
	// Offset is where in the file, in bytes.
	Offset int64
	// Problem describes it.
	Problem string
	// Lost tells whether acknowledged records or snapshots are missing for it.
	DataLoss bool
}

// String describes the finding with its place.
func (f Finding) String() string {
	return fmt.Sprintf("%s at %d: %s", f.File, f.Offset, f.Problem)
}

// Recovered is what Open found on the disk.
type Recovered struct {
	// Snapshot is that of the last Compact, empty before the first.
	Snapshot []byte
	// Records are those appended since, in order.
	Records [][]byte
	// Found tells whether a store was on the disk. A first Open that crashed leaves none.
	Found bool
	// Damaged lists what was wrong. Entries without Lost are what a crash leaves behind.
	Findings []Finding
}

// Lost tells whether acknowledged state is missing.
func (r Recovered) DataLoss() bool {
	for _, finding := range r.Findings {
		if finding.DataLoss {
			return true
		}
	}
	return false
}

// describe returns the findings in one line.
func (r Recovered) describeFindings() string {
	texts := make([]string, 0, len(r.Findings))
	for _, finding := range r.Findings {
		texts = append(texts, finding.String())
	}
	return strings.Join(texts, "; ")
}

// slotName and logName are the names of the files of a number.
func slotName(prefix string, number int) string { return fmt.Sprintf("%sslot-%d", prefix, number) }
func logName(prefix string, number int) string  { return fmt.Sprintf("%slog-%d", prefix, number) }

// contents is what all files of a store hold.
type storeFiles struct {
	prefix  string
	slots   [2]slotContents
	logs    [2]logContents
	missing bool // at least one file isn't there
}

// load reads all files of a store.
func loadFiles(fs FS, prefix string) (*storeFiles, error) {
	loaded := &storeFiles{prefix: prefix}
	for number := range 2 {
		slot, err := loaded.read(fs, slotName(prefix, number))
		if err != nil {
			return nil, err
		}
		log, err := loaded.read(fs, logName(prefix, number))
		if err != nil {
			return nil, err
		}
		loaded.slots[number] = parseSlot(slot)
		loaded.logs[number] = parseLog(log)
	}
	return loaded, nil
}

// read returns a file's contents, or nothing if it isn't there.
func (c *storeFiles) read(fs FS, name string) ([]byte, error) {
	data, err := fs.ReadAll(name)
	if isNotExist(err) {
		c.missing = true
		return nil, nil
	}
	return data, err
}

// newest returns the number of the valid slot with the highest sequence, or -1.
func (c *storeFiles) newestSlot() int {
	newest := -1
	for number, slot := range c.slots {
		if slot.valid && (newest < 0 || slot.sequence > c.slots[newest].sequence) {
			newest = number
		}
	}
	return newest
}

// recover returns the state on the disk and the number of the slot that it starts from, or -1 if there is no store.
func (c *storeFiles) recover() (Recovered, int) {
	current := c.newestSlot()
	if current < 0 {
		return c.recoverWithoutSlot(), -1
	}
	recovered := Recovered{Found: true, Snapshot: c.slots[current].snapshot}
	sequence := c.slots[current].sequence
	c.replayLog(&recovered, current, sequence)
	other := 1 - current
	if !c.slots[other].valid && !c.slots[other].empty {
		c.addFinding(&recovered, slotName(c.prefix, other), 0, "torn or damaged snapshot", false)
	}
	if c.logs[other].valid && c.logs[other].sequence > sequence && c.logs[other].batches > 0 {
		c.addFinding(&recovered, slotName(c.prefix, other), 0, "damaged snapshot that records follow", true)
		recovered.Records = append(recovered.Records, c.logs[other].records...)
	}
	return recovered, current
}

// withoutSlot returns the state where no slot is valid. Records without a snapshot to start from are lost.
func (c *storeFiles) recoverWithoutSlot() Recovered {
	var recovered Recovered
	for number, log := range c.logs {
		if log.batches > 0 {
			recovered.Found = true
			c.addFinding(&recovered, slotName(c.prefix, number), 0, "damaged snapshot that records follow", true)
		}
	}
	return recovered
}

// replay adds the records of a log that must belong to a slot.
func (c *storeFiles) replayLog(recovered *Recovered, number int, sequence uint64) {
	log := c.logs[number]
	name := logName(c.prefix, number)
	if !log.valid || log.sequence != sequence {
		c.addFinding(recovered, name, 0, "damaged header", true)
		return
	}
	recovered.Records = log.records
	switch {
	case log.corruptOffset > 0:
		c.addFinding(recovered, name, log.corruptOffset, "damaged record before good ones", true)
	case log.fileSize > log.validSize:
		c.addFinding(recovered, name, log.validSize, "torn record at the end", false)
	}
}

// find adds a finding.
func (c *storeFiles) addFinding(recovered *Recovered, file string, offset int64, problem string, lost bool) {
	finding := Finding{File: file, Offset: offset, Problem: problem, DataLoss: lost}
	recovered.Findings = append(recovered.Findings, finding)
}
