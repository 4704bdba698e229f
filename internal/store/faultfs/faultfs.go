// Package faultfs owns a folder in memory that fails as disks do: what was not synced may be gone after a power cut, or there in
// part and out of order; writes and fsyncs fail, or lie; bits flip. All chance follows from a seed. It is for tests, and must
// never be linked into a gateway.
package faultfs

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"

	"sprucelane.example/sprucelane/internal/store"
)

// ErrPowerCut is what every call gives after the power is cut.
var ErrPowerCut = errors.New("faultfs: the power is cut")

// ErrFull and ErrSync are what a disk says that is full, or whose fsync fails.
var (
	ErrNoSpace = errors.New("faultfs: no space left on the device")
	ErrIO      = errors.New("faultfs: input/output error")
)

// sector is what a disk writes at once.
const sectorSize = 512

// FS is a folder.
type FS struct {
	mu           sync.Mutex
	files        map[string]*inode // as the running system sees it
	durableNames map[string]*inode // as the folder was when it was last synced
	ops          int               // changes so far
	locked       bool
	poweredOff   bool

	// CutAt cuts the power at that change, from 1 on; FullAt and SyncFailsAt let that change fail, and all later writes or the
	// one fsync. 0: never.
	PowerCutAt, DiskFullAt, SyncErrorAt int
	IgnoreSync                          bool // fsyncs say yes and do nothing
}

type inode struct {
	current  []byte // as the running system sees it
	durable  []byte // as of its last sync
	unsynced []write
}

type write struct {
	offset int64
	data   []byte // nil: a truncation to at
}

// New gives an empty folder.
func New() *FS { return &FS{files: map[string]*inode{}, durableNames: map[string]*inode{}} }

// Ops counts the changes so far.
func (f *FS) Ops() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ops
}

// change counts one change and tells what becomes of it. The mutex is held.
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

// Crash gives the folder as a power cut now leaves it: of what was not synced each sector that was written is there or not, the one
// that was being written may be torn, and each change of the folder's names has happened or not.
func (f *FS) Crash(seed uint64) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	rng := rand.New(rand.NewPCG(seed, 7))
	next := New()
	names := map[string]*inode{}
	for name, n := range f.durableNames {
		names[name] = n
	}
	for _, name := range sortedNames(f.files, f.durableNames) { // renames, creations and removals that were not synced
		n, is := f.files[name]
		if old, was := f.durableNames[name]; is == was && n == old || rng.IntN(2) == 0 {
			continue
		}
		if is {
			names[name] = n
		} else {
			delete(names, name)
		}
	}
	for _, name := range sortedNames(names, nil) {
		n := names[name]
		data := slices.Clone(n.durable)
		for _, w := range n.unsynced {
			if w.data == nil {
				if rng.IntN(2) == 0 && int64(len(data)) > w.offset {
					data = data[:w.offset]
				}
				continue
			}
			for at := 0; at < len(w.data); {
				end := min(len(w.data), at+sectorSize-int((w.offset+int64(at))%sectorSize))
				keep := end
				switch rng.IntN(4) {
				case 0:
					at = end
					continue
				case 1:
					keep = at + rng.IntN(end-at+1)
				}
				data = writeAt(data, w.data[at:keep], w.offset+int64(at))
				at = end
			}
		}
		next.files[name] = &inode{current: data, durable: slices.Clone(data)}
		next.durableNames[name] = next.files[name]
	}
	return next
}

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

func writeAt(to, data []byte, at int64) []byte {
	if need := at + int64(len(data)); int64(len(to)) < need && len(data) > 0 {
		to = append(to, make([]byte, need-int64(len(to)))...)
	}
	copy(to[min(at, int64(len(to))):], data)
	return to
}

// Clone gives a copy of the folder as it is, with nothing pending.
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

// Bytes gives a file's bytes, to be changed by SetBytes: a cut, a flipped bit.
func (f *FS) Bytes(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.files[name]; n != nil {
		return slices.Clone(n.current)
	}
	return nil
}

// SetBytes changes a file behind everybody's back; nil takes it away.
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

type file struct {
	fs    *FS
	inode *inode
}

func (x *file) ReadAt(p []byte, at int64) (int, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	if x.fs.poweredOff {
		return 0, ErrPowerCut
	}
	if at >= int64(len(x.inode.current)) {
		return 0, io.EOF
	}
	n := copy(p, x.inode.current[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (x *file) WriteAt(p []byte, at int64) (int, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	err := x.fs.countOp()
	if errors.Is(err, ErrPowerCut) && x.fs.ops == x.fs.PowerCutAt { // the power went during this one
		x.inode.unsynced = append(x.inode.unsynced, write{at, slices.Clone(p)})
	}
	if err != nil {
		return 0, err
	}
	if x.fs.DiskFullAt > 0 && x.fs.ops >= x.fs.DiskFullAt {
		half := len(p) / 2
		x.inode.current = writeAt(x.inode.current, p[:half], at)
		x.inode.unsynced = append(x.inode.unsynced, write{at, slices.Clone(p[:half])})
		return half, ErrNoSpace
	}
	x.inode.current = writeAt(x.inode.current, p, at)
	x.inode.unsynced = append(x.inode.unsynced, write{at, slices.Clone(p)})
	return len(p), nil
}

func (x *file) Truncate(size int64) error {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	if err := x.fs.countOp(); err != nil {
		return err
	}
	if int64(len(x.inode.current)) > size {
		x.inode.current = x.inode.current[:size]
	}
	x.inode.unsynced = append(x.inode.unsynced, write{offset: size})
	return nil
}

func (x *file) Size() (int64, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	if x.fs.poweredOff {
		return 0, ErrPowerCut
	}
	return int64(len(x.inode.current)), nil
}

func (x *file) Sync() error {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	if err := x.fs.countOp(); err != nil {
		return err
	}
	if x.fs.SyncErrorAt > 0 && x.fs.ops == x.fs.SyncErrorAt {
		return ErrIO
	}
	if !x.fs.IgnoreSync {
		x.inode.durable, x.inode.unsynced = slices.Clone(x.inode.current), nil
	}
	return nil
}

func (x *file) Close() error { return nil }
