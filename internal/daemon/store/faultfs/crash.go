package faultfs

// This file has the model of a power failure.

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// sectorSize is the largest unit that a disk may write atomically, in bytes.
const sectorSize = 512

// Crash returns the directory as a power failure at this moment may leave it. Each sector that was not synced
// is written, lost or torn, and each creation, rename and removal that was not synced has happened or not. The seed
// determines the outcome.
func (f *FS) Crash(seed uint64) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	rng := rand.New(rand.NewPCG(seed, 7))
	next := New()
	names := f.crashNames(rng)
	for _, name := range sortedNames(names, nil) {
		data := names[name].crash(rng)
		next.files[name] = &inode{current: data, durable: slices.Clone(data)}
		next.durableNames[name] = next.files[name]
	}
	return next
}

// crashNames returns the directory after a power failure: the names of its last sync, with some of the later changes.
func (f *FS) crashNames(rng *rand.Rand) map[string]*inode {
	names := maps.Clone(f.durableNames)
	for _, name := range sortedNames(f.files, f.durableNames) {
		n, exists := f.files[name]
		if old, existed := f.durableNames[name]; exists == existed && n == old || rng.IntN(2) == 0 {
			continue
		}
		if exists {
			names[name] = n
		} else {
			delete(names, name)
		}
	}
	return names
}

// crash returns a file's content after a power failure: that of its last sync, with some sectors of the later writes.
func (n *inode) crash(rng *rand.Rand) []byte {
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
			case 0: // lost
				at = end
				continue
			case 1: // torn
				keep = at + rng.IntN(end-at+1)
			}
			data = writeAt(data, w.data[at:keep], w.offset+int64(at))
			at = end
		}
	}
	return data
}
