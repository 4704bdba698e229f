package slots

import "fmt"

// Verify reads the store in a folder as Open does, without changing anything. If another process has the store
// open, the result may lack the Append or the Compact in flight. If acknowledged state is missing, it returns
// ErrCorrupt and the readable part of the state.
func Verify(fs FS, options Options) (Recovered, error) {
	files, err := loadFiles(fs, options.Prefix)
	if err != nil {
		return Recovered{}, fmt.Errorf("slots: %w", err)
	}
	recovered, _ := files.recover()
	if recovered.DataLoss() {
		return recovered, fmt.Errorf("%w: %s", ErrCorrupt, recovered.describeFindings())
	}
	return recovered, nil
}

// Verify reads the files again, to find corruption while other replicas still have the state. It returns
// ErrCorrupt if they don't hold exactly the acknowledged state. Unlike Open, it knows how long the log must be.
// It blocks appends while it reads.
func (s *Store) Verify() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.checkAppendable(); err != nil {
		return err
	}
	files, err := loadFiles(s.fs, s.prefix)
	if err != nil {
		return fmt.Errorf("slots: verify: %w", err)
	}
	slot := files.slots[s.active]
	log := files.logs[s.active]
	switch {
	case !slot.valid || slot.sequence != s.sequence:
		return fmt.Errorf("%w: %s", ErrCorrupt, slotName(s.prefix, s.active))
	case !log.valid || log.sequence != s.sequence || log.validSize != s.logSize || log.batches != s.batches:
		return fmt.Errorf("%w: %s after %d bytes", ErrCorrupt, logName(s.prefix, s.active), log.validSize)
	}
	return nil
}
