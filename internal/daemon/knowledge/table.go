package knowledge

import (
	"cmp"
	"maps"
	"slices"
)

// Table holds the facts on the members that are listed. It is not safe for concurrent use.
type Table struct {
	options     Options
	listed      map[string]int64 // StartedMs of the listed members, by instance
	facts       map[key]*record
	factsOf     map[string]int // number of facts by observer; no zeros
	version     uint64         // rises with each fact that is stored
	seq         uint64         // of this gateway's last observation
	priors      map[Life]Time  // when Priors last returned a prior
	lastOverdue map[Life]Time  // when this gateway itself last had overdue attempts at the member
	counts      Counts
}

// record is a fact in the table.
type record struct {
	Fact              // without its age
	observedAt Time   // by this gateway's clock
	version    uint64 // of the table when it was stored
}

// key identifies a record: a member's incarnation, and an observer by name.
type key struct {
	Life
	observer string
}

// New returns an empty table.
func New(opt Options) *Table {
	opt.defaults()
	return &Table{options: opt, listed: map[string]int64{}, facts: map[key]*record{}, factsOf: map[string]int{},
		priors: map[Life]Time{}, lastOverdue: map[Life]Time{}}
}

// SetMembers sets the listed members. Facts on others, and on other incarnations, are removed.
func (t *Table) SetMembers(members []Life) {
	clear(t.listed)
	for _, m := range members[:min(len(members), t.options.MaxMembers)] {
		t.listed[m.Instance] = m.StartedMs
	}
	for k := range t.facts {
		if !t.isListed(k.Life) {
			t.remove(k)
		}
	}
	departed := func(m Life, _ Time) bool { return !t.isListed(m) }
	maps.DeleteFunc(t.priors, departed)
	maps.DeleteFunc(t.lastOverdue, departed)
}

// isListed reports whether a member is listed in this incarnation.
func (t *Table) isListed(m Life) bool {
	started, ok := t.listed[m.Instance]
	return ok && started == m.StartedMs
}

// remove removes a record.
func (t *Table) remove(k key) {
	delete(t.facts, k)
	if t.factsOf[k.observer]--; t.factsOf[k.observer] == 0 {
		delete(t.factsOf, k.observer)
	}
}

// Receive merges facts from peers. Each fact is checked separately; Counts returns how many were
// accepted, and dropped for each reason.
func (t *Table) Receive(now Time, list []Fact) {
	for i := range list {
		t.counts[t.receive(now, list[i])]++
	}
}

// receive merges a fact from a peer.
func (t *Table) receive(now Time, f Fact) DropReason {
	switch {
	case !f.valid():
		return Malformed
	case f.Age > t.options.MaxAge:
		return TooOld
	case f.Hops > t.options.MaxHops:
		return TooManyHops
	case f.Observer.Name == t.options.Self.Name:
		return OwnFact
	}
	started, ok := t.listed[f.Instance]
	if !ok {
		return UnknownMember
	}
	if started != f.StartedMs {
		return OtherIncarnation
	}
	return t.store(now, f)
}

// store stores a fact unless the table has a newer one of its observer.
func (t *Table) store(now Time, f Fact) DropReason {
	k := key{f.Life, f.Observer.Name}
	r := &record{Fact: f, observedAt: now - f.Age}
	r.Age = 0
	old := t.facts[k]
	switch {
	case old != nil && !r.newer(old):
		return Stale
	case old == nil && t.factsOf[k.observer] == 0 && len(t.factsOf) >= t.options.MaxObservers:
		return TooManyObservers
	case old == nil:
		t.factsOf[k.observer]++
	}
	t.version++
	r.version = t.version
	t.facts[k] = r
	return Accepted
}

// newer reports whether a record supersedes another of the same observer. Copies of one observation that came over
// different paths differ by the delays on the way, which make it look younger: the oldest of these copies is kept. The
// other comparisons only make the order total.
func (r *record) newer(o *record) bool {
	if c := cmp.Or(cmp.Compare(r.Birth, o.Birth), cmp.Compare(r.Seq, o.Seq)); c != 0 {
		return c > 0
	}
	return cmp.Or(cmp.Compare(o.observedAt, r.observedAt), cmp.Compare(o.Hops, r.Hops),
		slices.Compare(r.numbers(), o.numbers())) > 0
}

// FactsSince returns the facts to forward that were stored after a version, at most limit of them, the earliest first.
// It also returns the version up to which it has returned them, to pass to the next call. After version 0 the facts
// are a snapshot of the table.
func (t *Table) FactsSince(now Time, after uint64, limit int) ([]Fact, uint64) {
	var records []*record
	for _, r := range t.facts {
		if r.version > after && r.onwardHops(t.options.Self) <= t.options.MaxHops && now-r.observedAt <= t.options.MaxAge {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(x, y *record) int { return cmp.Compare(x.version, y.version) })
	version := t.version
	if len(records) > limit {
		records = records[:limit]
		version = records[limit-1].version
	}
	list := make([]Fact, len(records))
	for i, r := range records {
		list[i] = r.Fact
		list[i].Age, list[i].Hops = max(0, now-r.observedAt), r.onwardHops(t.options.Self)
	}
	return list, version
}

// onwardHops returns the hops of the fact once this gateway has forwarded it.
func (r *record) onwardHops(self Observer) int {
	if r.Observer == self {
		return 0
	}
	return r.Hops + 1
}

// Counts returns the number of received facts by DropReason.
func (t *Table) Counts() Counts { return t.counts }

// Size returns the number of facts in the table, and the number of their observers.
func (t *Table) Size() (facts, observers int) { return len(t.facts), len(t.factsOf) }
