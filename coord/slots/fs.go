package slots

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is one folder of a disk. Names are plain file names. Errors for files that aren't there wrap fs.ErrNotExist.
type FS interface {
	// Create makes an empty file, or empties an existing one, for writing.
	Create(name string) (File, error)
	// Open opens an existing file for reading, and for writing at its end.
	Open(name string) (File, error)
	// ReadAll returns the whole contents of a file.
	ReadAll(name string) ([]byte, error)
	// Size returns the length of a file in bytes.
	Size(name string) (int64, error)
	// Rename gives a file another name, in place of any file of that name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// List returns the names of all files.
	List() ([]string, error)
	// SyncDir makes names that were created, renamed and removed durable.
	SyncDir() error
}

// File is an open file.
type File interface {
	// Write appends to the file.
	Write(data []byte) (int, error)
	// ReadAt reads at an offset. It may be called while others write.
	ReadAt(data []byte, offset int64) (int, error)
	// Truncate sets the length in bytes.
	Truncate(size int64) error
	// Sync makes contents and length durable.
	Sync() error
	// Close closes the file without making anything durable.
	Close() error
}

// filePermissions are those of new files.
const filePermissions = 0o600

// directory is a folder of the operating system.
type directory string

// Directory returns the folder at a path, which must exist.
func Directory(path string) FS {
	return directory(path)
}

// path returns the path of a file.
func (d directory) path(name string) string {
	return filepath.Join(string(d), name)
}

// Create implements FS.
func (d directory) Create(name string) (File, error) {
	return d.open(name, os.O_CREATE|os.O_TRUNC)
}

// Open implements FS.
func (d directory) Open(name string) (File, error) {
	return d.open(name, 0)
}

// open opens a file for reading, and for writing at its end.
func (d directory) open(name string, flags int) (File, error) {
	file, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_APPEND|flags, filePermissions)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// ReadAll implements FS.
func (d directory) ReadAll(name string) ([]byte, error) {
	return os.ReadFile(d.path(name))
}

// Size implements FS.
func (d directory) Size(name string) (int64, error) {
	info, err := os.Stat(d.path(name))
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Rename implements FS.
func (d directory) Rename(from, to string) error {
	return os.Rename(d.path(from), d.path(to))
}

// Remove implements FS.
func (d directory) Remove(name string) error {
	return os.Remove(d.path(name))
}

// List implements FS.
func (d directory) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// SyncDir implements FS.
func (d directory) SyncDir() error {
	folder, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// osFile is a file of the operating system.
type osFile struct{ *os.File }

// Sync implements File with fdatasync.
func (f osFile) Sync() error {
	raw, err := f.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		failure = unix.EINTR
		for failure == unix.EINTR {
			failure = unix.Fdatasync(int(descriptor))
		}
	})
	return errors.Join(err, failure)
}

// isFull tells whether an error reports a disk without space.
func isDiskFull(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}

// isMissing tells whether an error reports a file that isn't there.
func isNotExist(err error) bool {
	return errors.Is(err, fs.ErrNotExist)
}
