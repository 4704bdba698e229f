package chain

import "fmt"

// Entry is a command at its index of the log. Its fields are part of the formats on disk and on the wire.
type Entry struct {
	Index uint64 // the first entry has 1
	Epoch uint64 // of the view in which the head appended it; it never falls from one entry to the next
	ID    string // of the command, which is applied once for each ID; empty: always applied
	Order []byte // the command
}

// entryOverhead is about what an entry takes beside its ID and command, in bytes.
const entryOverhead = 32

// size returns about how many bytes an entry takes.
func (e *Entry) size() int { return len(e.Order) + len(e.ID) + entryOverhead }

// EpochRun says that the entries up to Last, from the end of the run before, are of Epoch.
type EpochRun struct {
	Epoch uint64
	Last  uint64
}

// Log is the entries after a base: the entry up to which the log is compacted. Indexes are contiguous.
type Log struct {
	baseIndex uint64
	baseEpoch uint64
	entries   []Entry
}

// NewLog returns a log of entries that follow a base.
func NewLog(baseIndex, baseEpoch uint64, entries []Entry) *Log {
	log := &Log{baseIndex: baseIndex, baseEpoch: baseEpoch}
	for _, entry := range entries {
		log.Append(entry)
	}
	return log
}

// Base returns the index and epoch of the last entry that is compacted away; zeros if none is.
func (l *Log) Base() (index, epoch uint64) { return l.baseIndex, l.baseEpoch }

// LastIndex returns the index of the last entry, or of the base if there is none.
func (l *Log) LastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// EpochAt returns the epoch of the entry at index. It is known from the base to the last entry.
func (l *Log) EpochAt(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseEpoch, true
	}
	if index < l.baseIndex || index > l.LastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Epoch, true
}

// Entry returns the entry at index. It panics outside of (base, last].
func (l *Log) Entry(index uint64) Entry { return l.entries[index-l.baseIndex-1] }

// Append adds the next entry. It panics if the index isn't the next one or the epoch is lower than the last
// entry's: the caller has broken the protocol.
func (l *Log) Append(entry Entry) {
	if entry.Index != l.LastIndex()+1 {
		panic(fmt.Sprintf("chain: entry %d after %d", entry.Index, l.LastIndex()))
	}
	if last, _ := l.EpochAt(l.LastIndex()); entry.Epoch < last {
		panic(fmt.Sprintf("chain: entry %d of epoch %d after epoch %d", entry.Index, entry.Epoch, last))
	}
	l.entries = append(l.entries, entry)
}

// After returns the entries that follow index, up to about limit bytes, but at least one if there is one. It
// returns none if index is before the base. The entries must not be changed.
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

// Truncate drops all entries after index. It copies the others, because slices returned by After may still be
// in use. It panics if index is before the base.
func (l *Log) Truncate(index uint64) {
	if index < l.baseIndex {
		panic(fmt.Sprintf("chain: truncate at %d below the base at %d", index, l.baseIndex))
	}
	if index < l.LastIndex() {
		rest := l.entries[:index-l.baseIndex]
		l.entries = append(make([]Entry, 0, len(rest)), rest...)
	}
}

// Compact makes index the base. It copies the remaining entries (also none: slices.Clone would keep the array
// of an empty slice), so that the memory of the others becomes free. It panics if index isn't in the log.
func (l *Log) Compact(index uint64) {
	epoch, known := l.EpochAt(index)
	if !known {
		panic(fmt.Sprintf("chain: compact at %d outside of %d..%d", index, l.baseIndex, l.LastIndex()))
	}
	rest := l.entries[index-l.baseIndex:]
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.baseIndex, l.baseEpoch = index, epoch
}

// EpochRuns describes the log by the epochs of its entries. The first run ends at the base.
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

// LastCommonIndex returns the last index at which this log agrees with the one that runs describe. ok is
// false if they agree at no index that both still know: one is compacted beyond it.
func (l *Log) LastCommonIndex(runs []EpochRun) (index uint64, ok bool) {
	if len(runs) == 0 {
		return 0, false
	}
	index = min(l.LastIndex(), runs[len(runs)-1].Last)
	for ; index >= l.baseIndex && index >= runs[0].Last; index-- {
		epoch, _ := l.EpochAt(index)
		if epoch == epochInRuns(runs, index) {
			return index, true
		}
		if index == 0 {
			break
		}
	}
	return 0, false
}

// epochInRuns returns the epoch of the entry at index, 0 after the last run.
func epochInRuns(runs []EpochRun, index uint64) uint64 {
	for _, run := range runs {
		if index <= run.Last {
			return run.Epoch
		}
	}
	return 0
}
