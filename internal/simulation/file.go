package simulation

import (
	"io"
	"io/fs"
	"syscall"
)

// diskFile is an open file of a simulated disk. It implements slots.File.
type diskFile struct {
	disk        *Disk
	file        *inode
	incarnation int // of the process that opened it
	closed      bool
}

// check returns an error if the file was closed or its process has ended.
func (f *diskFile) check() error {
	if f.closed {
		return fs.ErrClosed
	}
	if f.incarnation != f.disk.incarnation {
		return ErrPowerLost
	}
	return nil
}

// Write implements slots.File.
func (f *diskFile) Write(data []byte) (int, error) {
	if err := f.check(); err != nil {
		return 0, err
	}
	losesPower, err := f.disk.countOperation()
	if err != nil {
		return 0, err
	}
	fits := f.disk.capacityFor(len(data))
	if fits > 0 {
		written := append([]byte(nil), data[:fits]...)
		f.file.write(contentChange{offset: len(f.file.content), data: written})
	}
	if losesPower {
		return 0, ErrPowerLost
	}
	if fits < len(data) {
		return fits, syscall.ENOSPC
	}
	return fits, nil
}

// ReadAt implements slots.File.
func (f *diskFile) ReadAt(data []byte, offset int64) (int, error) {
	if err := f.check(); err != nil {
		return 0, err
	}
	if f.disk.poweredOff {
		return 0, ErrPowerLost
	}
	if offset >= int64(len(f.file.content)) {
		return 0, io.EOF
	}
	count := copy(data, f.file.content[offset:])
	if count < len(data) {
		return count, io.EOF
	}
	return count, nil
}

// Truncate implements slots.File.
func (f *diskFile) Truncate(size int64) error {
	if err := f.check(); err != nil {
		return err
	}
	losesPower, err := f.disk.countOperation()
	if err != nil {
		return err
	}
	f.file.write(contentChange{offset: int(size)})
	if losesPower {
		return ErrPowerLost
	}
	return nil
}

// Sync implements slots.File. If power is lost during it, none of the unsynced changes is guaranteed to
// be durable.
func (f *diskFile) Sync() error {
	if err := f.check(); err != nil {
		return err
	}
	losesPower, err := f.disk.countOperation()
	if err != nil {
		return err
	}
	if losesPower {
		return ErrPowerLost
	}
	f.disk.syncFile(f.file)
	return nil
}

// Close implements slots.File.
func (f *diskFile) Close() error {
	f.closed = true
	return nil
}
