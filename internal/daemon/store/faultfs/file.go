package faultfs

import (
	"errors"
	"io"
	"slices"
)

// file is an open file. The mutex of fs guards it.
type file struct {
	fs    *FS
	inode *inode
}

// ReadAt implements store.File.
func (f *file) ReadAt(p []byte, at int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.poweredOff {
		return 0, ErrPowerCut
	}
	if at >= int64(len(f.inode.current)) {
		return 0, io.EOF
	}
	n := copy(p, f.inode.current[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt implements store.File.
func (f *file) WriteAt(p []byte, at int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	err := f.fs.countOp()
	if errors.Is(err, ErrPowerCut) && f.fs.ops == f.fs.PowerCutAt { // Crash may keep a part of this write
		f.inode.unsynced = append(f.inode.unsynced, write{at, slices.Clone(p)})
	}
	if err != nil {
		return 0, err
	}
	if f.fs.DiskFullAt > 0 && f.fs.ops >= f.fs.DiskFullAt {
		half := len(p) / 2
		f.inode.current = writeAt(f.inode.current, p[:half], at)
		f.inode.unsynced = append(f.inode.unsynced, write{at, slices.Clone(p[:half])})
		return half, ErrNoSpace
	}
	f.inode.current = writeAt(f.inode.current, p, at)
	f.inode.unsynced = append(f.inode.unsynced, write{at, slices.Clone(p)})
	return len(p), nil
}

// Truncate implements store.File.
func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countOp(); err != nil {
		return err
	}
	if int64(len(f.inode.current)) > size {
		f.inode.current = f.inode.current[:size]
	}
	f.inode.unsynced = append(f.inode.unsynced, write{offset: size})
	return nil
}

// Size implements store.File.
func (f *file) Size() (int64, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.poweredOff {
		return 0, ErrPowerCut
	}
	return int64(len(f.inode.current)), nil
}

// Sync implements store.File.
func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countOp(); err != nil {
		return err
	}
	if f.fs.SyncErrorAt > 0 && f.fs.ops == f.fs.SyncErrorAt {
		return ErrIO
	}
	if !f.fs.IgnoreSync {
		f.inode.durable, f.inode.unsynced = slices.Clone(f.inode.current), nil
	}
	return nil
}

// Close implements store.File.
func (f *file) Close() error { return nil }
