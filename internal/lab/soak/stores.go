package soak

import (
	"cmp"
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// watch reads what stores and control processes log of themselves.
type watch struct {
	mu       sync.Mutex
	stores   []*storeLog
	newest   uint64 // epoch that any store told
	controls []*controlLog
}

// storeLog is the log of one store and what it told last.
type storeLog struct {
	unit    *unit
	lines   tail
	at      time.Time // of the newest state of the life that runs, when it was read; zero: none yet
	epoch   uint64
	settled uint64
	broken  []string // invariants that the store said not to hold, since they were taken
}

// controlLog is the log of one control process and the newest view of the chain that it told.
type controlLog struct {
	lines tail
	epoch uint64
	chain string
}

func newWatch(folder string, stores, controls []*unit) *watch {
	w := &watch{}
	path := func(one *unit) string { return filepath.Join(folder, one.name()+".log") }
	for _, one := range stores {
		w.stores = append(w.stores, &storeLog{unit: one, lines: tail{path: path(one)}})
	}
	for _, one := range controls {
		w.controls = append(w.controls, &controlLog{lines: tail{path: path(one)}})
	}
	return w
}

// look reads what was logged since.
func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, one := range w.stores {
		one.lines.read(one.take)
		w.newest = max(w.newest, one.epoch)
	}
	for _, one := range w.controls {
		one.lines.read(one.take)
	}
}

// takeBroken gives the invariants that stores said not to hold, by store, and forgets them.
func (w *watch) takeBroken() map[string][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	broken := map[string][]string{}
	for _, one := range w.stores {
		if len(one.broken) > 0 {
			broken[one.unit.name()] = one.broken
			one.broken = nil
		}
	}
	return broken
}

// settled tells whether all stores said, after a moment, that all is whole under the newest epoch.
func (w *watch) settled(after time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !slices.ContainsFunc(w.stores, func(one *storeLog) bool {
		_, up := one.unit.life()
		return !up || !one.at.After(after) || one.epoch != w.newest || one.settled != w.newest
	})
}

// told gives what each store told last.
func (w *watch) told() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf("the newest epoch is %d", w.newest)
	for _, one := range w.stores {
		ago := "nothing in this life"
		if !one.at.IsZero() {
			ago = fmt.Sprintf("%.1f s ago", time.Since(one.at).Seconds())
		}
		text += fmt.Sprintf("; %s epoch %d settled %d, told %s", one.unit.machine.Name, one.epoch, one.settled, ago)
	}
	return text
}

// chain gives the chain of control processes in the newest view that any of them told, as they word it.
func (w *watch) chain() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := slices.MaxFunc(w.controls, func(a, b *controlLog) int { return cmp.Compare(a.epoch, b.epoch) })
	return newest.chain
}

// chainSeparator stands between the machines of a chain.
const chainSeparator = ">"

// chainWhole tells whether all control processes are in the chain.
func (w *watch) chainWhole() bool {
	return strings.Count(w.chain(), chainSeparator)+1 == len(w.controls)
}

// The events of the logs that matter here.
const (
	eventServing   = "serving"
	eventState     = "state"
	eventStoreView = "store_view"
	eventView      = "view"
	eventInvariant = "invariant_violated"
)

// entry is what matters of a line.
type entry struct {
	Event   string `json:"event"`
	Epoch   uint64 `json:"epoch"`
	Settled uint64 `json:"settled"`
	Chain   string `json:"chain"`
	// Invariant is what didn't hold.
	Invariant string `json:"invariant"`
}

func (s *storeLog) take(line entry) {
	switch line.Event {
	case eventServing:
		s.at, s.epoch, s.settled = time.Time{}, 0, 0
	case eventStoreView:
		s.epoch = max(s.epoch, line.Epoch)
	case eventState:
		s.at, s.epoch, s.settled = time.Now(), line.Epoch, line.Settled
	case eventInvariant:
		s.broken = append(s.broken, line.Invariant)
	}
}

func (c *controlLog) take(line entry) {
	if line.Event == eventView && line.Epoch >= c.epoch {
		c.epoch, c.chain = line.Epoch, line.Chain
	}
}

// watchProcesses looks for processes that end by themselves, and reads the stores' logs.
func (r *run) watchProcesses(ctx context.Context) {
	for sleep(ctx, lookInterval) {
		for _, one := range r.units {
			if died, why := one.died(); died {
				r.referee.broken(RuleProcesses, "%s ended by itself: %s", one.name(), why)
				r.startAgain(ctx, []*unit{one}, []time.Duration{0})
			}
		}
		r.watch.look()
		for name, invariants := range r.watch.takeBroken() {
			r.referee.broken(RuleInvariants, "%s: %s", name, strings.Join(invariants, "; "))
		}
	}
}

const (
	hostBeat  = 50 * time.Millisecond
	hostStall = 400 * time.Millisecond // after which the machine is said to have stood still
)

// watchHost notes when the machine itself gives this process no time: then it gives the system none either.
func (r *run) watchHost(ctx context.Context) {
	last := time.Now()
	for sleep(ctx, hostBeat) {
		if now := time.Now(); now.Sub(last) > hostBeat+hostStall {
			r.timeline.stood(last)
		}
		last = time.Now()
	}
}
