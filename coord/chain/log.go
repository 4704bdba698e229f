package chain

import "fmt"

// Entry is one order at its place. Index and Epoch together identify it and all entries before
// it: one head orders in an epoch, and it never gives an index twice.
type Entry struct {
	Index uint64
	Epoch uint64
	ID    string // of the request, for exactly one application
	Order []byte
}

// size is the rough number of bytes that an entry takes.
func (e *Entry) size() int { return len(e.Order) + len(e.ID) + entryOverhead }

const entryOverhead = 32

// Run tells that entries up to Last, from the end of the run before, are of Epoch.
type EpochRun struct {
	Epoch uint64
	Last  uint64
}

// Log is the orders after a snapshot.
type Log struct {
	baseIndex uint64
	baseEpoch uint64
	entries   []Entry
}

// NewLog returns a log that starts after base.
func NewLog(baseIndex, baseEpoch uint64, entries []Entry) *Log {
	log := &Log{baseIndex: baseIndex, baseEpoch: baseEpoch}
	for _, entry := range entries {
		log.Append(entry)
	}
	return log
}

// Base returns the index and epoch of the last entry that isn't held any more.
func (l *Log) Base() (index, epoch uint64) { return l.baseIndex, l.baseEpoch }

// End returns the index of the last entry.
func (l *Log) LastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// EpochAt returns the epoch of the entry at index.
func (l *Log) EpochAt(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseEpoch, true
	}
	if index < l.baseIndex || index > l.LastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Epoch, true
}

// Entry returns the entry at index, which must be held.
func (l *Log) Entry(index uint64) Entry { return l.entries[index-l.baseIndex-1] }

// Append adds the next entry.
func (l *Log) Append(entry Entry) {
	if entry.Index != l.LastIndex()+1 {
		panic(fmt.Sprintf("chain: entry %d after %d", entry.Index, l.LastIndex()))
	}
	if last, _ := l.EpochAt(l.LastIndex()); entry.Epoch < last {
		panic(fmt.Sprintf("chain: entry %d of epoch %d after epoch %d", entry.Index, entry.Epoch, last))
	}
	l.entries = append(l.entries, entry)
}

// After returns entries from index+1 on, at least one if there is one, up to about limit bytes.
func (l *Log) After(index uint64, limit int) []Entry {
	if index < l.baseIndex || index >= l.LastIndex() {
		return nil
	}
	rest := l.entries[index-l.baseIndex:]
	size := 0
	for i := range rest {
		size += rest[i].size()
		if size > limit && i > 0 {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// Truncate drops all entries after index.
func (l *Log) Truncate(index uint64) {
	if index < l.baseIndex {
		panic(fmt.Sprintf("chain: truncate at %d below the snapshot at %d", index, l.baseIndex))
	}
	if index < l.LastIndex() {
		keep := l.entries[:index-l.baseIndex]
		l.entries = append(make([]Entry, 0, len(keep)), keep...)
	}
}

// Compact forgets the entries through index.
func (l *Log) Compact(index uint64) {
	epoch, known := l.EpochAt(index)
	if !known {
		panic(fmt.Sprintf("chain: compact at %d outside of %d..%d", index, l.baseIndex, l.LastIndex()))
	}
	rest := l.entries[index-l.baseIndex:]
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.baseIndex, l.baseEpoch = index, epoch
}

// Runs describes the log's epochs.
func (l *Log) EpochRuns() []EpochRun {
	runs := []EpochRun{{Epoch: l.baseEpoch, Last: l.baseIndex}}
	for i := range l.entries {
		entry := &l.entries[i]
		if last := &runs[len(runs)-1]; len(runs) > 1 && last.Epoch == entry.Epoch {
			last.Last = entry.Index
			continue
		}
		runs = append(runs, EpochRun{Epoch: entry.Epoch, Last: entry.Index})
	}
	return runs
}

// Common returns the last index at which this log and the one described by runs agree, if this
// log still holds what follows it.
func (l *Log) LastCommonIndex(runs []EpochRun) (uint64, bool) {
	if len(runs) == 0 {
		return 0, false
	}
	index := min(l.LastIndex(), runs[len(runs)-1].Last)
	for ; index >= l.baseIndex && index >= runs[0].Last; index-- {
		own, _ := l.EpochAt(index)
		if own == epochInRuns(runs, index) {
			return index, true
		}
		if index == 0 {
			break
		}
	}
	return 0, false
}

func epochInRuns(runs []EpochRun, index uint64) uint64 {
	for _, run := range runs {
		if index <= run.Last {
			return run.Epoch
		}
	}
	return 0
}
