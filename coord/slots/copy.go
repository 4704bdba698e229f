package slots

import (
	"errors"
	"fmt"
)

// ErrTooLarge reports that a copy would exceed its maximum size. Nothing was written.
var ErrTooLarge = errors.New("slots: the copy would be too large")

// Copy copies a store's files to another prefix and replaces an earlier copy there. The files may be corrupt: a
// copy lets Verify examine them after a Wipe. It is no backup, because its contents aren't synced. If the files
// have more than maxBytes bytes, it returns ErrTooLarge. The store must not be open.
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
		return fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, total, maxBytes)
	}
	for i, copied := range storeFileNames(prefix) {
		if err := copyFile(fs, names[i], copied); err != nil {
			return fmt.Errorf("slots: copy: %w", err)
		}
	}
	return fs.SyncDir()
}

// copyFile copies a file. If the file doesn't exist, it removes an earlier copy.
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
