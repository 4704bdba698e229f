package slots

import "fmt"

// Open opens the store in a folder, or creates an empty one, and returns what to recover the state from. If
// acknowledged state is missing it returns ErrCorrupt, no store, and whatever is readable.
func Open(fs FS, options Options) (*Store, Recovered, error) {
	files, err := loadFiles(fs, options.Prefix)
	if err != nil {
		return nil, Recovered{}, fmt.Errorf("slots: %w", err)
	}
	recovered, active := files.recover()
	if recovered.DataLoss() {
		return nil, recovered, fmt.Errorf("%w: %s", ErrCorrupt, recovered.describeFindings())
	}
	s := &Store{fs: fs, prefix: options.Prefix}
	if active < 0 {
		err = s.createEmpty()
	} else {
		err = s.openExisting(files, active)
	}
	if err != nil {
		s.closeLog()
		return nil, Recovered{}, fmt.Errorf("slots: open: %w", markDiskFull(err))
	}
	return s, recovered, nil
}

// createEmpty creates the files of an empty store. The slot that makes it valid comes last, once all names
// are durable.
func (s *Store) createEmpty() error {
	s.sequence = 1
	for number := range 2 {
		if err := s.writeFile(slotName(s.prefix, number)); err != nil {
			return err
		}
		if err := s.writeFile(logName(s.prefix, number), encodeLogHeader(uint64(number+1))); err != nil {
			return err
		}
	}
	if err := s.fs.SyncDir(); err != nil {
		return err
	}
	if err := s.writeFile(slotName(s.prefix, 0), encodeSlotHeader(s.sequence, nil)); err != nil {
		return err
	}
	if err := s.fs.SyncDir(); err != nil {
		return err
	}
	return s.openLog(logHeaderSize)
}

// openExisting takes over the files that were found. It makes durable what recover has returned to the
// caller, since a killed process may have left it unsynced, and truncates the log behind its last valid
// batch.
func (s *Store) openExisting(files *storeFiles, active int) error {
	s.active = active
	s.sequence = files.slots[active].sequence
	s.batches = files.logs[active].batches
	if files.missing {
		if err := s.recreateInactive(); err != nil {
			return err
		}
	}
	if err := s.syncFile(slotName(s.prefix, active)); err != nil {
		return err
	}
	if err := s.truncateTornSlot(files); err != nil {
		return err
	}
	if err := s.fs.SyncDir(); err != nil {
		return err
	}
	if err := s.openLog(files.logs[active].validSize); err != nil {
		return err
	}
	if files.logs[active].fileSize > s.logSize {
		if err := s.log.Truncate(s.logSize); err != nil {
			return err
		}
	}
	return s.log.Sync()
}

// recreateInactive creates the inactive slot and log anew, empty, after at least one of them was found
// missing.
func (s *Store) recreateInactive() error {
	inactive := 1 - s.active
	if err := s.writeFile(logName(s.prefix, inactive)); err != nil {
		return err
	}
	return s.writeFile(slotName(s.prefix, inactive))
}

// truncateTornSlot empties the inactive slot if a Compact was interrupted in it. The writes of that Compact
// may not be durable yet: mixed with those of the next Compact, which has the same sequence, a loss of power
// could make a valid slot of them.
func (s *Store) truncateTornSlot(files *storeFiles) error {
	inactive := 1 - s.active
	if files.slots[inactive].valid {
		return nil
	}
	return s.writeFile(slotName(s.prefix, inactive))
}

// openLog opens the active log, of which this many bytes are valid.
func (s *Store) openLog(validSize int64) error {
	log, err := s.fs.Open(logName(s.prefix, s.active))
	if err != nil {
		return err
	}
	s.log = log
	s.logSize = validSize
	return nil
}
