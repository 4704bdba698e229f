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
	Lost bool
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
	Damaged []Finding
}

// Lost tells whether acknowledged state is missing.
func (r Recovered) Lost() bool {
	for _, finding := range r.Damaged {
		if finding.Lost {
			return true
		}
	}
	return false
}

// describe returns the findings in one line.
func (r Recovered) describe() string {
	texts := make([]string, 0, len(r.Damaged))
	for _, finding := range r.Damaged {
		texts = append(texts, finding.String())
	}
	return strings.Join(texts, "; ")
}

// slotName and logName are the names of the files of a number.
func slotName(prefix string, number int) string { return fmt.Sprintf("%sslot-%d", prefix, number) }
func logName(prefix string, number int) string  { return fmt.Sprintf("%slog-%d", prefix, number) }

// contents is what all files of a store hold.
type contents struct {
	prefix  string
	slots   [2]slotContents
	logs    [2]logContents
	missing bool // at least one file isn't there
}

// load reads all files of a store.
func load(fs FS, prefix string) (*contents, error) {
	loaded := &contents{prefix: prefix}
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
func (c *contents) read(fs FS, name string) ([]byte, error) {
	data, err := fs.ReadAll(name)
	if isMissing(err) {
		c.missing = true
		return nil, nil
	}
	return data, err
}

// newest returns the number of the valid slot with the highest sequence, or -1.
func (c *contents) newest() int {
	newest := -1
	for number, slot := range c.slots {
		if slot.valid && (newest < 0 || slot.sequence > c.slots[newest].sequence) {
			newest = number
		}
	}
	return newest
}

// recover returns the state on the disk and the number of the slot that it starts from, or -1 if there is no store.
func (c *contents) recover() (Recovered, int) {
	current := c.newest()
	if current < 0 {
		return c.withoutSlot(), -1
	}
	recovered := Recovered{Found: true, Snapshot: c.slots[current].snapshot}
	sequence := c.slots[current].sequence
	c.replay(&recovered, current, sequence)
	other := 1 - current
	if !c.slots[other].valid && !c.slots[other].empty {
		c.find(&recovered, slotName(c.prefix, other), 0, "torn or damaged snapshot", false)
	}
	if c.logs[other].valid && c.logs[other].sequence > sequence && c.logs[other].batches > 0 {
		c.find(&recovered, slotName(c.prefix, other), 0, "damaged snapshot that records follow", true)
		recovered.Records = append(recovered.Records, c.logs[other].records...)
	}
	return recovered, current
}

// withoutSlot returns the state where no slot is valid. Records without a snapshot to start from are lost.
func (c *contents) withoutSlot() Recovered {
	var recovered Recovered
	for number, log := range c.logs {
		if log.batches > 0 {
			recovered.Found = true
			c.find(&recovered, slotName(c.prefix, number), 0, "damaged snapshot that records follow", true)
		}
	}
	return recovered
}

// replay adds the records of a log that must belong to a slot.
func (c *contents) replay(recovered *Recovered, number int, sequence uint64) {
	log := c.logs[number]
	name := logName(c.prefix, number)
	if !log.valid || log.sequence != sequence {
		c.find(recovered, name, 0, "damaged header", true)
		return
	}
	recovered.Records = log.records
	switch {
	case log.damage > 0:
		c.find(recovered, name, log.damage, "damaged record before good ones", true)
	case log.length > log.size:
		c.find(recovered, name, log.size, "torn record at the end", false)
	}
}

// find adds a finding.
func (c *contents) find(recovered *Recovered, file string, offset int64, problem string, lost bool) {
	finding := Finding{File: file, Offset: offset, Problem: problem, Lost: lost}
	recovered.Damaged = append(recovered.Damaged, finding)
}
