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
type logWatcher struct {
	mu          sync.Mutex
	stores      []*storeLog
	newestEpoch uint64 // epoch that any store told
	controls    []*controlLog
}

// storeLog is the log of one store and what it told last.
type storeLog struct {
	target          *target
	tail            logTail
	reportedAt      time.Time // of the newest state of the life that runs, when it was read; zero: none yet
	epoch           uint64
	reconciledEpoch uint64
	violations      []string // invariants that the store said not to hold, since they were taken
}

// controlLog is the log of one control process and the newest view of the chain that it told.
type controlLog struct {
	tail  logTail
	epoch uint64
	chain string
}

func newLogWatcher(folder string, stores, controls []*target) *logWatcher {
	w := &logWatcher{}
	path := func(one *target) string { return filepath.Join(folder, one.name()+".log") }
	for _, one := range stores {
		w.stores = append(w.stores, &storeLog{target: one, tail: logTail{path: path(one)}})
	}
	for _, one := range controls {
		w.controls = append(w.controls, &controlLog{tail: logTail{path: path(one)}})
	}
	return w
}

// look reads what was logged since.
func (w *logWatcher) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, one := range w.stores {
		one.tail.read(one.apply)
		w.newestEpoch = max(w.newestEpoch, one.epoch)
	}
	for _, one := range w.controls {
		one.tail.read(one.apply)
	}
}

// takeBroken gives the invariants that stores said not to hold, by store, and forgets them.
func (w *logWatcher) takeViolations() map[string][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	broken := map[string][]string{}
	for _, one := range w.stores {
		if len(one.violations) > 0 {
			broken[one.target.name()] = one.violations
			one.violations = nil
		}
	}
	return broken
}

// settled tells whether all stores said, after a moment, that all is whole under the newest epoch.
func (w *logWatcher) reconciled(after time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !slices.ContainsFunc(w.stores, func(one *storeLog) bool {
		_, up := one.target.life()
		return !up || !one.reportedAt.After(after) || one.epoch != w.newestEpoch || one.reconciledEpoch != w.newestEpoch
	})
}

// told gives what each store told last.
func (w *logWatcher) describeStores() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf("the newest epoch is %d", w.newestEpoch)
	for _, one := range w.stores {
		ago := "nothing in this life"
		if !one.reportedAt.IsZero() {
			ago = fmt.Sprintf("%.1f s ago", time.Since(one.reportedAt).Seconds())
		}
		text += fmt.Sprintf("; %s epoch %d settled %d, told %s", one.target.machine.Name, one.epoch, one.reconciledEpoch, ago)
	}
	return text
}

// chain gives the chain of control processes in the newest view that any of them told, as they word it.
func (w *logWatcher) chain() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := slices.MaxFunc(w.controls, func(a, b *controlLog) int { return cmp.Compare(a.epoch, b.epoch) })
	return newest.chain
}

// chainSeparator stands between the machines of a chain.
const chainSeparator = ">"

// chainWhole tells whether all control processes are in the chain.
func (w *logWatcher) chainComplete() bool {
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
type logEntry struct {
	Event   string `json:"event"`
	Epoch   uint64 `json:"epoch"`
	Settled uint64 `json:"settled"`
	Chain   string `json:"chain"`
	// Invariant is what didn't hold.
	Invariant string `json:"invariant"`
}

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

// watchProcesses looks for processes that end by themselves, and reads the stores' logs.
func (r *run) monitorProcesses(ctx context.Context) {
	for sleep(ctx, pollInterval) {
		for _, one := range r.targets {
			if died, why := one.detectExit(); died {
				r.checker.violated(RuleProcesses, "%s ended by itself: %s", one.name(), why)
				r.restart(ctx, []*target{one}, []time.Duration{0})
			}
		}
		r.logs.poll()
		for name, invariants := range r.logs.takeViolations() {
			r.checker.violated(RuleInvariants, "%s: %s", name, strings.Join(invariants, "; "))
		}
	}
}

const (
	hostTick           = 50 * time.Millisecond
	hostStallThreshold = 400 * time.Millisecond // after which the machine is said to have stood still
)

// watchHost notes when the machine itself gives this process no time: then it gives the system none either.
func (r *run) monitorHost(ctx context.Context) {
	last := time.Now()
	for sleep(ctx, hostTick) {
		if now := time.Now(); now.Sub(last) > hostTick+hostStallThreshold {
			r.timeline.hostStalled(last)
		}
		last = time.Now()
	}
}
