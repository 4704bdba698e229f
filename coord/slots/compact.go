package slots

import "fmt"

// Compact replaces snapshot and log by a snapshot of the whole state and an empty log. When it returns nil, the
// snapshot is durable, and the store can be used again if it was in the state of ErrUncertain. After an error
// other than ErrUncertain, the old snapshot and log stay in use.
//
// It writes the inactive log before the inactive slot, because the sync of that slot is the commit point, after
// which the slot's log must exist with the slot's sequence. It doesn't change the active slot and log.
func (s *Store) Compact(snapshot []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return ErrClosed
	}
	next := 1 - s.active
	sequence := s.sequence + 1
	if err := s.writeFile(logName(s.prefix, next), encodeLogHeader(sequence)); err != nil {
		return fmt.Errorf("slots: compact: %w", markDiskFull(err))
	}
	log, err := s.fs.Open(logName(s.prefix, next))
	if err != nil {
		return fmt.Errorf("slots: compact: %w", err)
	}
	if err := s.writeFile(slotName(s.prefix, next), encodeSlotHeader(sequence, snapshot), snapshot); err != nil {
		_ = log.Close()
		return s.undoCompact(next, err)
	}
	s.closeLog()
	s.log = log
	s.active = next
	s.sequence = sequence
	s.logSize = logHeaderSize
	s.batches = 0
	s.uncertain = nil
	return nil
}

// undoCompact empties the slot that couldn't be written, and returns the error of the compaction. Otherwise the
// slot could be valid at the next Open, which would then miss the records that are appended to the old log from
// now on.
func (s *Store) undoCompact(slot int, cause error) error {
	if err := s.writeFile(slotName(s.prefix, slot)); err != nil {
		s.uncertain = fmt.Errorf("%w: %w, then %w", ErrUncertain, cause, err)
		return s.uncertain
	}
	return fmt.Errorf("slots: compact: %w", markDiskFull(cause))
}
