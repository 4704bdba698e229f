package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// FS is a folder. What a store does to its disk goes through it alone, so that tests can have a disk that fails.
type FS interface {
	// Open opens a file for reading and writing; create makes one that must not be there.
	Open(name string, create bool) (File, error)
	// Rename puts a file in another's place, which lasts once the folder is synced.
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	// Sync makes what was created, renamed and removed last.
	Sync() error
	// Lock keeps other processes out until Unlock.
	Lock(name string) (unlock func(), err error)
}

// File is an open file.
type File interface {
	ReadAt(p []byte, at int64) (int, error)
	WriteAt(p []byte, at int64) (int, error)
	Truncate(size int64) error
	Size() (int64, error)
	Sync() error
	Close() error
}

// ErrLocked says that another process has the folder open.
var ErrLocked = errors.New("another process has this store open")

// Folder is a folder of the operating system's, made where it isn't there.
func OpenDir(path string) (FS, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return dirFS(path), nil
}

type dirFS string

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

func (f dirFS) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(f), from), filepath.Join(string(f), to))
}

func (f dirFS) Remove(name string) error { return os.Remove(filepath.Join(string(f), name)) }

func (f dirFS) List() (names []string, err error) {
	list, err := os.ReadDir(string(f))
	for _, e := range list {
		names = append(names, e.Name())
	}
	return names, err
}

func (f dirFS) Sync() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

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
	return func() { file.Close() }, nil // the lock goes with the file, and with the process
}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
