package chain

import "fmt"

// Entry is a command at its index of the log. Its fields are part of the formats on disk and on the wire.
type Entry struct {
	Index uint64 // index in the log; the first entry has index 1
	Epoch uint64 // epoch of the view in which the head appended the entry; never decreases along the log
	ID    string // ID of the command; commands with the same ID are applied once; empty: always applied
	Order []byte // the command
}

// entryOverhead is the approximate size of an entry in bytes without its ID and command.
const entryOverhead = 32

// size returns the approximate size of an entry in bytes.
func (e *Entry) size() int { return len(e.Order) + len(e.ID) + entryOverhead }

// EpochRun describes consecutive entries of the same epoch: those after the end of the previous run, up to and
// including the index Last.
type EpochRun struct {
	Epoch uint64
	Last  uint64
}

// Log holds the entries after its base, which is the entry up to which the log is compacted. Indexes are
// contiguous.
type Log struct {
	baseIndex uint64
	baseEpoch uint64
	entries   []Entry
}

// NewLog returns a log with the given base and the entries that follow it.
func NewLog(baseIndex, baseEpoch uint64, entries []Entry) *Log {
	log := &Log{baseIndex: baseIndex, baseEpoch: baseEpoch}
	for _, entry := range entries {
		log.Append(entry)
	}
	return log
}

// Base returns the index and epoch of the last compacted entry, or zeros if none was compacted.
func (l *Log) Base() (index, epoch uint64) { return l.baseIndex, l.baseEpoch }

// LastIndex returns the index of the last entry, or of the base if there are no entries after it.
func (l *Log) LastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// EpochAt returns the epoch of the entry at index. It returns false if index is before the base or after the
// last entry.
func (l *Log) EpochAt(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseEpoch, true
	}
	if index < l.baseIndex || index > l.LastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Epoch, true
}

// Entry returns the entry at index. It panics if index isn't after the base, or is after the last entry.
func (l *Log) Entry(index uint64) Entry { return l.entries[index-l.baseIndex-1] }

// Append adds the next entry. It panics if entry's index isn't the next index, or if its epoch is lower than that
// of the last entry, because the caller then violates the protocol.
func (l *Log) Append(entry Entry) {
	if entry.Index != l.LastIndex()+1 {
		panic(fmt.Sprintf("chain: append entry %d, want the successor of entry %d", entry.Index, l.LastIndex()))
	}
	if last, _ := l.EpochAt(l.LastIndex()); entry.Epoch < last {
		panic(fmt.Sprintf("chain: append entry %d of epoch %d, want at least epoch %d", entry.Index, entry.Epoch, last))
	}
	l.entries = append(l.entries, entry)
}

// After returns the entries that follow index, up to about limit bytes, but at least one entry if any follows.
// It returns nil if index is before the base. The caller must not change the entries.
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

// Truncate removes all entries after index. It copies the remaining entries, because slices returned by After
// may still be in use. It panics if index is before the base.
func (l *Log) Truncate(index uint64) {
	if index < l.baseIndex {
		panic(fmt.Sprintf("chain: truncate at %d below the base at %d", index, l.baseIndex))
	}
	if index < l.LastIndex() {
		rest := l.entries[:index-l.baseIndex]
		l.entries = append(make([]Entry, 0, len(rest)), rest...)
	}
}

// Compact makes index the base of the log. It copies the remaining entries, so that the memory of the removed
// entries can be freed; slices.Clone isn't used because it would keep the array of an empty slice. Compact
// panics if index is before the base or after the last entry.
func (l *Log) Compact(index uint64) {
	epoch, known := l.EpochAt(index)
	if !known {
		panic(fmt.Sprintf("chain: compact at %d, want an index in %d..%d", index, l.baseIndex, l.LastIndex()))
	}
	rest := l.entries[index-l.baseIndex:]
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.baseIndex, l.baseEpoch = index, epoch
}

// EpochRuns returns a description of the log by the epochs of its entries. The first run ends at the base.
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

// LastCommonIndex returns the last index at which this log agrees with the log that runs describe. ok is false if
// they agree at no index that both logs still contain, because one of them is compacted beyond the last index at
// which they agree.
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

// epochInRuns returns the epoch of the entry at index, or 0 if index is after the last run.
func epochInRuns(runs []EpochRun, index uint64) uint64 {
	for _, run := range runs {
		if index <= run.Last {
			return run.Epoch
		}
	}
	return 0
}
