package partition

import (
	"context"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// Environment variables of a process under test.
const (
	// EnvFile is the path of the file that lists the partitioned links. If unset, no link is ever partitioned.
	EnvFile = "SPRUCELANE_CUT_FILE"
	// EnvHost is the process's own host as it is named in the file.
	EnvHost = "SPRUCELANE_CUT_HOST"
)

// pollInterval is how often the file is read, and how often waiting traffic checks whether its link has
// healed.
const pollInterval = 20 * time.Millisecond

// Link is one direction between two hosts.
type Link struct{ From, To string }

// Watcher reports which links are currently partitioned. It is safe for concurrent use.
type Watcher struct {
	path        string
	partitioned atomic.Pointer[map[Link]bool]
}

// Watch returns a Watcher that has read the file and reads it again every pollInterval until the context ends.
func Watch(ctx context.Context, path string) *Watcher {
	w := &Watcher{path: path}
	w.reload()
	go w.watch(ctx)
	return w
}

// watch reloads the file until the context ends.
func (w *Watcher) watch(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.reload()
		}
	}
}

// reload reads the file. If it can't be read, for instance before the test has written it, no link is
// partitioned.
func (w *Watcher) reload() {
	text, _ := os.ReadFile(w.path)
	links := map[Link]bool{}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 2 {
			links[Link{fields[0], fields[1]}] = true
		}
	}
	w.partitioned.Store(&links)
}

// Partitioned reports whether a link is partitioned.
func (w *Watcher) Partitioned(link Link) bool { return (*w.partitioned.Load())[link] }

// awaitHealed waits until a link isn't partitioned. It returns false if done is closed or the deadline passes
// before that. It calls deadline at every poll, since the deadline may change while it waits; a zero deadline
// never passes.
func (w *Watcher) awaitHealed(link Link, done <-chan struct{}, deadline func() time.Time) bool {
	for w.Partitioned(link) {
		if at := deadline(); !at.IsZero() && !time.Now().Before(at) {
			return false
		}
		select {
		case <-done:
			return false
		case <-time.After(pollInterval):
		}
	}
	return true
}
