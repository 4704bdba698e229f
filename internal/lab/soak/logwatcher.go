package soak

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// logWatcher follows what stores and control processes log of their state.
type logWatcher struct {
	mu          sync.Mutex // guards the fields below and the logs in them
	stores      []*storeLog
	newestEpoch uint64 // of the store view, in any store's log
	controls    []*controlLog
}

// storeLog is the log of one store, and its latest state from there.
type storeLog struct {
	target     *target
	tail       logTail
	reportedAt time.Time // when the latest state of this incarnation was read; zero: it has logged none yet
	epoch      uint64    // of the store view
	// reconciledEpoch is the epoch under which the store has reconciled its inventory with all others.
	reconciledEpoch uint64
	violations      []string // invariants that the store logged as violated, since takeViolations
}

// controlLog is the log of one control process, and the newest view of the chain from there.
type controlLog struct {
	tail  logTail
	epoch uint64
	chain string // the machines from head to tail, with chainSeparator between them
}

func newLogWatcher(folder string, stores, controls []*target) *logWatcher {
	w := &logWatcher{}
	path := func(t *target) string { return filepath.Join(folder, t.name()+".log") }
	for _, t := range stores {
		w.stores = append(w.stores, &storeLog{target: t, tail: logTail{path: path(t)}})
	}
	for _, t := range controls {
		w.controls = append(w.controls, &controlLog{tail: logTail{path: path(t)}})
	}
	return w
}

// poll reads what was logged since the last call.
func (w *logWatcher) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, store := range w.stores {
		store.tail.read(store.apply)
		w.newestEpoch = max(w.newestEpoch, store.epoch)
	}
	for _, control := range w.controls {
		control.tail.read(control.apply)
	}
}

// takeViolations returns the invariants that were logged as violated since the last call, by the store's name.
func (w *logWatcher) takeViolations() map[string][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	violations := map[string][]string{}
	for _, store := range w.stores {
		if len(store.violations) > 0 {
			violations[store.target.name()] = store.violations
			store.violations = nil
		}
	}
	return violations
}

// reconciled returns whether all stores run and have logged, after a time, that they are reconciled under the
// newest epoch.
func (w *logWatcher) reconciled(after time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !slices.ContainsFunc(w.stores, func(store *storeLog) bool {
		return !store.target.running() || !store.reportedAt.After(after) || store.epoch != w.newestEpoch ||
			store.reconciledEpoch != w.newestEpoch
	})
}

// describeStores returns the latest state of each store.
func (w *logWatcher) describeStores() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf("the newest epoch is %d", w.newestEpoch)
	for _, store := range w.stores {
		ago := "nothing in this incarnation"
		if !store.reportedAt.IsZero() {
			ago = fmt.Sprintf("%.1f s ago", time.Since(store.reportedAt).Seconds())
		}
		text += fmt.Sprintf("; %s epoch %d reconciled %d, logged %s", store.target.machine.Name, store.epoch,
			store.reconciledEpoch, ago)
	}
	return text
}

// chain returns the chain in the newest view that any control process has logged.
func (w *logWatcher) chain() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := slices.MaxFunc(w.controls, func(a, b *controlLog) int { return cmp.Compare(a.epoch, b.epoch) })
	return newest.chain
}

// chainSeparator is between the machines of a chain in the logs.
const chainSeparator = ">"

// chainComplete returns whether at least a number of control processes are in the chain. The first chain, which has all,
// isn't logged.
func (w *logWatcher) chainComplete(least int) bool {
	chain := w.chain()
	return chain == "" || strings.Count(chain, chainSeparator)+1 >= least
}

// The events of the logs that are read here.
const (
	eventServing   = "serving"
	eventState     = "state"
	eventStoreView = "store_view"
	eventView      = "view_adopted"
	eventInvariant = "invariant_violated"
)

// logEntry holds the fields of a log line that are read here.
type logEntry struct {
	Event     string `json:"event"`
	Epoch     uint64 `json:"epoch"`
	Settled   uint64 `json:"reconciled_epoch"`
	Chain     string `json:"chain"`
	Invariant string `json:"invariant"` // the violated one
}

// apply takes a line in. A start forgets the state of the incarnation before.
func (s *storeLog) apply(line logEntry) {
	switch line.Event {
	case eventServing:
		s.reportedAt, s.epoch, s.reconciledEpoch = time.Time{}, 0, 0
	case eventStoreView:
		s.epoch = max(s.epoch, line.Epoch)
	case eventState:
		s.reportedAt, s.epoch, s.reconciledEpoch = time.Now(), line.Epoch, line.Settled
	case eventInvariant:
		s.violations = append(s.violations, line.Invariant)
	}
}

func (c *controlLog) apply(line logEntry) {
	if line.Event == eventView && line.Epoch >= c.epoch {
		c.epoch, c.chain = line.Epoch, line.Chain
	}
}
