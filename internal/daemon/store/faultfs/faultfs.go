// Package faultfs is a store.FS in memory that injects the faults of disks, for tests only.
//
// It models what the operating system guarantees and no more: until a file is synced, each sector that was written
// may be on disk after a power failure, in any order, and in part; until the directory is synced, each creation,
// rename and removal may have happened or not. Other faults are writes that find the disk full, an fsync that
// returns an error, and disks that acknowledge an fsync and ignore it. The seed passed to Crash determines all random
// choices.
package faultfs

import (
	"errors"
	"os"
	"slices"
	"sync"

	"sprucelane.example/sprucelane/internal/daemon/store"
)

// ErrPowerCut is the error of every operation after the power was cut.
var ErrPowerCut = errors.New("faultfs: the power is cut")

// The errors of a full disk, and of a failed fsync.
var (
	ErrNoSpace = errors.New("faultfs: no space left on the device")
	ErrIO      = errors.New("faultfs: input/output error")
)

// FS is a directory. Its exported fields must be set before its first use.
type FS struct {
	// PowerCutAt cuts the power during the operation with this number; 0: never. Operations are counted from 1; reads
	// don't count.
	PowerCutAt int
	// DiskFullAt makes all writes from this operation on fail, after half of their bytes; 0: never.
	DiskFullAt int
	// SyncErrorAt makes this operation fail if it is a sync; 0: never.
	SyncErrorAt int
	// IgnoreSync makes all syncs succeed without any effect.
	IgnoreSync bool

	mu           sync.Mutex        // guards the fields below and the content of all files
	files        map[string]*inode // what the running system sees
	durableNames map[string]*inode // the directory as of its last sync
	ops          int               // operations so far
	locked       bool
	poweredOff   bool
}

// inode is the content of a file.
type inode struct {
	current  []byte  // what the running system sees
	durable  []byte  // as of the last sync
	unsynced []write // writes and truncations since the last sync
}

// write is a write or a truncation that has not been synced.
type write struct {
	offset int64
	data   []byte // nil: a truncation to offset
}

// New returns an empty directory.
func New() *FS { return &FS{files: map[string]*inode{}, durableNames: map[string]*inode{}} }

// Ops returns the number of operations so far.
func (f *FS) Ops() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ops
}

// countOp counts an operation, and returns ErrPowerCut if the power is cut at this operation or was cut before. mu
// is held.
func (f *FS) countOp() error {
	if f.poweredOff {
		return ErrPowerCut
	}
	if f.ops++; f.PowerCutAt > 0 && f.ops >= f.PowerCutAt {
		f.poweredOff = true
		return ErrPowerCut
	}
	return nil
}

// Clone returns a copy of the directory in which everything is synced.
func (f *FS) Clone() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := New()
	for name, n := range f.files {
		next.files[name] = &inode{current: slices.Clone(n.current), durable: slices.Clone(n.current)}
		next.durableNames[name] = next.files[name]
	}
	return next
}

// Bytes returns a copy of a file's content; nil: there is no such file.
func (f *FS) Bytes(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.files[name]; n != nil {
		return slices.Clone(n.current)
	}
	return nil
}

// SetBytes replaces a file's content, on disk too, to simulate damage; nil removes the file.
func (f *FS) SetBytes(name string, b []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.files, name)
	delete(f.durableNames, name)
	if b != nil {
		f.files[name] = &inode{current: slices.Clone(b), durable: slices.Clone(b)}
		f.durableNames[name] = f.files[name]
	}
}

// Open implements store.FS.
func (f *FS) Open(name string, create bool) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.files[name]
	if create {
		if n != nil {
			return nil, os.ErrExist
		}
		if err := f.countOp(); err != nil {
			return nil, err
		}
		n = &inode{}
		f.files[name] = n
	}
	switch {
	case f.poweredOff:
		return nil, ErrPowerCut
	case n == nil:
		return nil, os.ErrNotExist
	}
	return &file{f, n}, nil
}

// Rename implements store.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.files[from]
	if n == nil {
		return os.ErrNotExist
	}
	if err := f.countOp(); err != nil {
		return err
	}
	delete(f.files, from)
	f.files[to] = n
	return nil
}

// Remove implements store.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.files[name] == nil {
		return os.ErrNotExist
	}
	if err := f.countOp(); err != nil {
		return err
	}
	delete(f.files, name)
	return nil
}

// List implements store.FS.
func (f *FS) List() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.poweredOff {
		return nil, ErrPowerCut
	}
	return sortedNames(f.files, nil), nil
}

// Sync implements store.FS.
func (f *FS) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countOp(); err != nil {
		return err
	}
	if f.SyncErrorAt > 0 && f.ops == f.SyncErrorAt {
		return ErrIO
	}
	if !f.IgnoreSync {
		f.durableNames = map[string]*inode{}
		for name, n := range f.files {
			f.durableNames[name] = n
		}
	}
	return nil
}

// Lock implements store.FS.
func (f *FS) Lock(string) (func(), error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked {
		return nil, store.ErrLocked
	}
	f.locked = true
	return func() {
		f.mu.Lock()
		f.locked = false
		f.mu.Unlock()
	}, nil
}

// sortedNames returns the names in either map, in order.
func sortedNames(a, b map[string]*inode) (names []string) {
	for n := range a {
		names = append(names, n)
	}
	for n := range b {
		names = append(names, n)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// writeAt writes data into a file's content, and extends it as needed.
func writeAt(to, data []byte, at int64) []byte {
	if need := at + int64(len(data)); int64(len(to)) < need && len(data) > 0 {
		to = append(to, make([]byte, need-int64(len(to)))...)
	}
	copy(to[min(at, int64(len(to))):], data)
	return to
}
