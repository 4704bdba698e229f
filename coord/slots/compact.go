package slots

import "fmt"

// Compact replaces snapshot and log by a snapshot of the whole state, and an empty log. When it returns nil
// the snapshot is durable, and the store is usable again after an ErrUncertain. After any other error the old
// snapshot and log are in use as before.
//
// It prepares the inactive log before it writes the inactive slot: the sync of that slot is the commit point,
// from which on the slot's log must exist with the slot's sequence. The active slot and log aren't touched.
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

// undoCompact truncates the slot that couldn't be written, and returns the error of the compaction. If the
// slot stayed, it could be valid at the next Open, without the records that are appended to the old log from
// now on.
func (s *Store) undoCompact(slot int, cause error) error {
	if err := s.writeFile(slotName(s.prefix, slot)); err != nil {
		s.uncertain = fmt.Errorf("%w: %w, then %w", ErrUncertain, cause, err)
		return s.uncertain
	}
	return fmt.Errorf("slots: compact: %w", markDiskFull(cause))
}
