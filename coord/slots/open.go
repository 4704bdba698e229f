package slots

import "fmt"

// Open opens the store in a folder, or creates an empty one, and returns the snapshot and records from which to
// recover the state. If acknowledged state is missing, it returns ErrCorrupt, no store, and the readable part of
// the state.
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

// createEmpty creates the files of an empty store. It writes the slot that makes the store valid last, once all
// names are durable.
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

// openExisting opens the store on the files that were found. It syncs the state that recover has returned, since
// a killed process may have left it unsynced, and truncates the log after its last valid batch.
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

// recreateInactive replaces the inactive slot and log by empty files, after at least one file was found missing.
func (s *Store) recreateInactive() error {
	inactive := 1 - s.active
	if err := s.writeFile(logName(s.prefix, inactive)); err != nil {
		return err
	}
	return s.writeFile(slotName(s.prefix, inactive))
}

// truncateTornSlot empties the inactive slot if it isn't valid, as after an interrupted Compact. The writes of
// that Compact may not be durable yet. The next Compact has the same sequence, and after a loss of power the
// writes of both, mixed, could form a valid slot.
func (s *Store) truncateTornSlot(files *storeFiles) error {
	inactive := 1 - s.active
	if files.slots[inactive].valid {
		return nil
	}
	return s.writeFile(slotName(s.prefix, inactive))
}

// openLog opens the active log, whose first validSize bytes are valid.
func (s *Store) openLog(validSize int64) error {
	log, err := s.fs.Open(logName(s.prefix, s.active))
	if err != nil {
		return err
	}
	s.log = log
	s.logSize = validSize
	return nil
}
