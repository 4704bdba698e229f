package slots

import (
	"errors"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// filePermissions are the permissions of new files. Only the replica's own user may read and write its state.
const filePermissions = 0o600

// directory is the path of a folder of the operating system. It implements FS.
type directory string

// Directory returns the FS of the folder at a path, which must exist.
func Directory(path string) FS {
	return directory(path)
}

// path returns the path of a file in the folder.
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

// Sync implements File with fdatasync, which also makes the length durable. It doesn't make times and permissions
// durable, which would cost a second write. It retries on EINTR, as package os does for fsync.
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
