package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/coord/ring"
)

// digestBuckets is the number of parts of a table, by the hashes of names, that have a digest each. Two
// tables that differ in few machines exchange few buckets.
const digestBuckets = 16

// entry is what is known of one machine.
type entry struct {
	update Update
	since  time.Time // when it came into the state of update, by this machine's clock
	bucket int       // in table.digests, by the name
	digest uint64    // its part of the bucket's digest, 0 if the machine isn't present
}

// table holds all machines that are known, this one included. Its sets, digests and ring always agree with
// entries.
type table struct {
	entries    map[string]*entry // by name
	digests    [digestBuckets]uint64
	suspects   map[string]struct{} // names of the entries that are Suspect
	departed   map[string]struct{} // names of the entries that are Dead or Left
	cachedRing *ring.Ring          // of the entries that are Alive; nil if it has to be made anew
}

// newTable returns an empty table.
func newTable() *table {
	return &table{
		entries:  make(map[string]*entry),
		suspects: make(map[string]struct{}),
		departed: make(map[string]struct{}),
	}
}

// merge takes in an update that supersedes what is known. It returns the state before, 0 for an unknown
// machine, and whether the update was merged.
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

// ring returns the ring of the machines that are alive. Suspects have no position on it, so that their tasks
// as monitors pass to others at once.
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

// digest returns the digest of the present machines and their incarnations.
func (t *table) digest() uint64 {
	var digest uint64
	for _, part := range t.digests {
		digest ^= part
	}
	return digest
}

// purgeDeparted removes machines that departed before a time.
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

// suspectNames returns the names of the suspects in order, so that runs replay by seed.
func (t *table) suspectNames() []string {
	names := make([]string, 0, len(t.suspects))
	for name := range t.suspects {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// differingFrom returns the entries in the buckets whose digests differ from those of another table, or all
// entries if there are no such digests, in order. Departed machines are included, as the other table may
// still have them as present.
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
func compareByName(one, other Update) int {
	return strings.Compare(one.Member.Name, other.Member.Name)
}

// memberDigest returns a present machine's part of a digest. Digests are combined by exclusive or, so that
// the order of updates doesn't matter; states don't count, so that a suspicion on its way isn't a mismatch.
func memberDigest(name string, incarnation uint64) uint64 {
	return xxhash.Sum64String(name) * (2*incarnation + 1)
}
