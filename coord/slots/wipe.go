package slots

import (
	"errors"
	"fmt"
)

// Wipe removes a store, so that the next Open finds none. A crash during Wipe leaves no store, the same state as
// before, or a store for which Open returns ErrCorrupt, but never an older state. For this, it empties the older
// slot first, and the logs only after both slots, so that their records still show that state is missing.
func Wipe(fs FS, options Options) error {
	files, err := loadFiles(fs, options.Prefix)
	if err != nil {
		return fmt.Errorf("slots: wipe: %w", err)
	}
	s := &Store{fs: fs, prefix: options.Prefix}
	for _, number := range files.oldestFirst() {
		if err := s.writeFile(slotName(s.prefix, number)); err != nil {
			return fmt.Errorf("slots: wipe: %w", err)
		}
	}
	for number := range 2 {
		if err := s.writeFile(logName(s.prefix, number)); err != nil {
			return fmt.Errorf("slots: wipe: %w", err)
		}
	}
	return s.removeAll()
}

// oldestFirst returns the numbers of the slots, with the newest valid one last.
func (f *storeFiles) oldestFirst() [2]int {
	if newest := f.newestSlot(); newest >= 0 {
		return [2]int{1 - newest, newest}
	}
	return [2]int{0, 1}
}

// removeAll removes the store's files, which Wipe has emptied before.
func (s *Store) removeAll() error {
	var failures []error
	for _, name := range storeFileNames(s.prefix) {
		if err := s.fs.Remove(name); err != nil && !isNotExist(err) {
			failures = append(failures, err)
		}
	}
	failures = append(failures, s.fs.SyncDir())
	return errors.Join(failures...)
}
