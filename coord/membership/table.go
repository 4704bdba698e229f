package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/coord/ring"
)

// digestBuckets is the number of buckets of a table. A machine's bucket is determined by the hash of its name,
// and each bucket has a digest, so that tables that differ in few machines exchange few buckets.
const digestBuckets = 16

// entry is the table's entry for one machine.
type entry struct {
	update Update
	since  time.Time // when update.State was entered, by this machine's clock
	bucket int       // index into table.digests, from the name's hash
	digest uint64    // its contribution to the bucket's digest, 0 if the machine isn't present
}

// table holds all known machines, this one included. Its sets, digests and ring are always consistent with
// entries.
type table struct {
	entries    map[string]*entry // by name
	digests    [digestBuckets]uint64
	suspects   map[string]struct{} // names of the entries that are Suspect
	departed   map[string]struct{} // names of the entries that are Dead or Left
	cachedRing *ring.Ring          // of the entries that are Alive; nil if it must be rebuilt
}

// newTable returns an empty table.
func newTable() *table {
	return &table{
		entries:  make(map[string]*entry),
		suspects: make(map[string]struct{}),
		departed: make(map[string]struct{}),
	}
}

// merge stores an update if it supersedes the machine's entry. It returns the previous state, 0 for an unknown
// machine, and whether the update was stored.
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

// reindex updates the digests and sets for a changed entry.
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

// ring returns the ring of the machines that are Alive. Suspects aren't on it, so that other machines take over
// their role as monitors at once.
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

// digest returns the digest of all present machines and their incarnations.
func (t *table) digest() uint64 {
	var digest uint64
	for _, part := range t.digests {
		digest ^= part
	}
	return digest
}

// purgeDeparted removes the machines that became Dead or Left before the given time.
func (t *table) purgeDeparted(before time.Time) {
	for name := range t.departed {
		if t.entries[name].since.Before(before) {
			delete(t.entries, name)
			delete(t.departed, name)
		}
	}
}

// get returns the update of a machine, and false if the machine isn't known.
func (t *table) get(name string) (Update, bool) {
	known, ok := t.entries[name]
	if !ok {
		return Update{}, false
	}
	return known.update, true
}

// suspectNames returns the sorted names of the suspects; the fixed order lets simulated runs replay by seed.
func (t *table) suspectNames() []string {
	names := make([]string, 0, len(t.suspects))
	for name := range t.suspects {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// differingFrom returns the updates in the buckets whose digests differ from those of another table, sorted by
// name. If others doesn't hold one digest per bucket, it returns all updates. Departed machines are included,
// as the other table may still have them as present.
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

// compareByName orders updates by the names of their machines.
func compareByName(a, b Update) int {
	return strings.Compare(a.Member.Name, b.Member.Name)
}

// memberDigest returns a present machine's contribution to a digest. Contributions are combined by exclusive
// or, so that the order of updates doesn't matter. They don't include the state, so that a suspicion that is
// still being disseminated isn't a mismatch.
func memberDigest(name string, incarnation uint64) uint64 {
	return xxhash.Sum64String(name) * (2*incarnation + 1)
}
