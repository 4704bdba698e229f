package store

// This file has the interface to the disk, and its implementation for a directory of the operating system.

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is a directory. A store accesses its disk only through it, so that tests can inject faults.
type FS interface {
	// Open opens a file for reading and writing. With create, it creates the file, which must not exist.
	Open(name string, create bool) (File, error)
	// Rename renames a file, and replaces one that has the new name. It is durable once the directory is synced.
	Rename(from, to string) error
	// Remove removes a file. It is durable once the directory is synced.
	Remove(name string) error
	// List returns the names of all files, in any order.
	List() ([]string, error)
	// Sync makes creations, renames and removals durable.
	Sync() error
	// Lock locks the directory against other processes until unlock is called. It returns ErrLocked if one holds the lock.
	Lock(name string) (unlock func(), err error)
}

// File is an open file.
type File interface {
	ReadAt(p []byte, at int64) (int, error)
	WriteAt(p []byte, at int64) (int, error)
	Truncate(size int64) error
	Size() (int64, error)
	// Sync makes the content durable (fsync).
	Sync() error
	Close() error
}

// ErrLocked reports that another process has the directory open.
var ErrLocked = errors.New("another process has this store open")

// OpenDir returns a directory of the operating system, and creates it if it doesn't exist.
func OpenDir(path string) (FS, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return dirFS(path), nil
}

// dirFS is a directory of the operating system, by its path.
type dirFS string

// Open implements FS.
func (f dirFS) Open(name string, create bool) (File, error) {
	flags := os.O_RDWR
	if create {
		flags |= os.O_CREATE | os.O_EXCL
	}
	file, err := os.OpenFile(filepath.Join(string(f), name), flags, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Rename implements FS.
func (f dirFS) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(f), from), filepath.Join(string(f), to))
}

// Remove implements FS.
func (f dirFS) Remove(name string) error { return os.Remove(filepath.Join(string(f), name)) }

// List implements FS.
func (f dirFS) List() (names []string, err error) {
	list, err := os.ReadDir(string(f))
	for _, e := range list {
		names = append(names, e.Name())
	}
	return names, err
}

// Sync implements FS.
func (f dirFS) Sync() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock implements FS.
func (f dirFS) Lock(name string) (func(), error) {
	file, err := os.OpenFile(filepath.Join(string(f), name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("lock: %w", err)
	}
	return func() { file.Close() }, nil // closing the file releases the lock, and so does the end of the process
}

// osFile adds Size to an os.File.
type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// readAll returns the content of a file.
func readAll(f File) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	if n, err := f.ReadAt(b, 0); err != nil && (!errors.Is(err, io.EOF) || n != len(b)) {
		return nil, err
	}
	return b, nil
}

// readFile returns the content of a file, by its name.
func readFile(fs FS, name string) ([]byte, error) {
	f, err := fs.Open(name, false)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return readAll(f)
}
