package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/coord/ring"
)

// buckets is the number of parts of a table that have a digest each.
const digestBuckets = 16

// entry is what is known of one machine.
type entry struct {
	update Update
	since  time.Time // of the state
	bucket int
	digest uint64 // the share of the bucket's digest, 0 for a machine that isn't present
}

// table holds all machines that are known, this one included.
type table struct {
	entries    map[string]*entry
	digests    [digestBuckets]uint64 // over the machines that are present and their incarnations
	suspects   map[string]struct{}
	departed   map[string]struct{} // dead and left machines
	cachedRing *ring.Ring          // of the machines that are alive; nil if it is to be made anew
}

// newTable returns an empty table.
func newTable() *table {
	return &table{
		entries:  make(map[string]*entry),
		suspects: make(map[string]struct{}),
		departed: make(map[string]struct{}),
	}
}

// merge takes an update in if it is newer. It returns the state before and whether it was newer.
func (t *table) merge(update Update, now time.Time) (State, bool) {
	name := update.Member.Name
	known, ok := t.entries[name]
	if !ok {
		known = &entry{bucket: int(xxhash.Sum64String(name) % digestBuckets)}
		t.entries[name] = known
	} else if !update.supersedes(known.update.Incarnation, known.update.State) {
		return known.update.State, false
	}
	old := known.update.State
	known.update = update
	if old != update.State {
		known.since = now
	}
	if (old == Alive) != (update.State == Alive) {
		t.cachedRing = nil
	}
	t.reindex(name, known)
	return old, true
}

// reindex brings digests and sets in line with an entry.
func (t *table) reindex(name string, changed *entry) {
	delete(t.suspects, name)
	delete(t.departed, name)
	t.digests[changed.bucket] ^= changed.digest
	changed.digest = 0
	switch changed.update.State {
	case Suspect:
		t.suspects[name] = struct{}{}
	case Dead, Left:
		t.departed[name] = struct{}{}
	}
	if changed.update.State.isPresent() {
		changed.digest = memberDigest(name, changed.update.Incarnation)
		t.digests[changed.bucket] ^= changed.digest
	}
}

// ring returns the ring of the machines that are alive. Suspects have no place on it, so that their work as monitors
// passes to others at once.
func (t *table) ring() *ring.Ring {
	if t.cachedRing != nil {
		return t.cachedRing
	}
	names := make([]string, 0, len(t.entries))
	for name, known := range t.entries {
		if known.update.State == Alive {
			names = append(names, name)
		}
	}
	t.cachedRing = ring.New(names...)
	return t.cachedRing
}

// digest returns the digest of the whole table.
func (t *table) digest() uint64 {
	var digest uint64
	for _, part := range t.digests {
		digest ^= part
	}
	return digest
}

// forget removes machines that have been gone since before a time.
func (t *table) purgeDeparted(before time.Time) {
	for name := range t.departed {
		if t.entries[name].since.Before(before) {
			delete(t.entries, name)
			delete(t.departed, name)
		}
	}
}

// get returns what is known of a machine, or nothing.
func (t *table) get(name string) (Update, bool) {
	known, ok := t.entries[name]
	if !ok {
		return Update{}, false
	}
	return known.update, true
}

// suspected returns the names of the machines under suspicion, in order.
func (t *table) suspectNames() []string {
	names := make([]string, 0, len(t.suspects))
	for name := range t.suspects {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// differing returns all that is known in the buckets whose digests differ from those of another table, or all there
// is where these are not given.
func (t *table) differingFrom(others []uint64) []Update {
	var updates []Update
	for _, known := range t.entries {
		if len(others) == digestBuckets && others[known.bucket] == t.digests[known.bucket] {
			continue
		}
		updates = append(updates, known.update)
	}
	slices.SortFunc(updates, compareByName)
	return updates
}

// compareNames orders updates by the names of their machines.
func compareByName(one, other Update) int {
	return strings.Compare(one.Member.Name, other.Member.Name)
}

// sumOf returns the share of a machine in a digest.
func memberDigest(name string, incarnation uint64) uint64 {
	return xxhash.Sum64String(name) * (2*incarnation + 1)
}
