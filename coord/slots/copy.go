package slots

import (
	"errors"
	"fmt"
)

// ErrTooLarge reports that a copy would take more bytes than allowed. Nothing was written.
var ErrTooLarge = errors.New("slots: the copy would be too large")

// Copy writes a copy of a store's files under another prefix, in place of an earlier copy, whatever state they are
// in: so that what a Wipe is about to remove can still be examined (Verify). It is no backup, as it isn't synced.
// The store must not be open.
func Copy(fs FS, options Options, prefix string, maxBytes int64) error {
	names := storeFileNames(options.Prefix)
	total := int64(0)
	for _, name := range names {
		size, err := fs.Size(name)
		if err != nil && !isNotExist(err) {
			return fmt.Errorf("slots: copy: %w", err)
		}
		total += size
	}
	if total > maxBytes {
		return fmt.Errorf("%w: %d bytes of %d", ErrTooLarge, total, maxBytes)
	}
	for i, copied := range storeFileNames(prefix) {
		if err := copyFile(fs, names[i], copied); err != nil {
			return fmt.Errorf("slots: copy: %w", err)
		}
	}
	return fs.SyncDir()
}

// copyFile copies a file, or removes an earlier copy of one that doesn't exist.
func copyFile(fs FS, from, to string) error {
	data, err := fs.ReadAll(from)
	if isNotExist(err) {
		if err := fs.Remove(to); err != nil && !isNotExist(err) {
			return err
		}
		return nil
	}
	if err != nil {
		return err
	}
	file, err := fs.Create(to)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	return errors.Join(err, file.Close())
}

// storeFileNames returns the names of a store's files.
func storeFileNames(prefix string) []string {
	return []string{slotName(prefix, 0), slotName(prefix, 1), logName(prefix, 0), logName(prefix, 1)}
}
