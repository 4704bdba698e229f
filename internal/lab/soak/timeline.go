package soak

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind is a kind of trouble, or of another event worth telling beside them.
type EventKind string

// The kinds.
const (
	KindKill            EventKind = "kill"
	KindPause           EventKind = "pause"
	KindPartition       EventKind = "cut"
	KindOneWayPartition EventKind = "one-way-cut"
	KindWipe            EventKind = "wipe"     // a kill of one process with the loss of its disk
	KindPowerLoss       EventKind = "blackout" // a kill of all processes, with the loss of some disks or without
	KindRetire          EventKind = "retire"
	kindHostStall       EventKind = "host-stall" // the machine itself stood still
	kindHealed          EventKind = "healed"     // the last trouble of a round is over
	kindRecovered       EventKind = "recovered"  // all is well after it
)

// TroubleKinds are those that a summary names.
var FaultKinds = []EventKind{KindKill, KindPause, KindPartition, KindOneWayPartition, KindWipe, KindPowerLoss, KindRetire, kindHostStall}

// event is one entry of the time line.
type event struct {
	kind     EventKind
	what     string
	from, to time.Time // to is zero while it lasts
}

// timeline keeps what was done to the system, and when processes were not whole.
type timeline struct {
	mu           sync.Mutex
	start        time.Time
	events       []*event
	disturbances map[string][]*disturbance // by process
}

// span is a time in which a process was down or stood still.
type disturbance struct{ from, to time.Time }

func newTimeline() *timeline {
	return &timeline{start: time.Now(), disturbances: map[string][]*disturbance{}}
}

func (t *timeline) restartClock() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start = time.Now()
}

// add enters a trouble that begins, and gives what ends it.
func (t *timeline) add(kind EventKind, format string, arguments ...any) (over func()) {
	one := &event{kind: kind, what: fmt.Sprintf(format, arguments...), from: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, one)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		one.to = time.Now()
	}
}

// note enters what has no length.
func (t *timeline) note(kind EventKind) { t.add(kind, "")() }

// disturb notes that a process is no longer whole, and gives what ends that.
func (t *timeline) disturb(process string) (over func()) {
	one := &disturbance{from: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disturbances[process] = append(t.disturbances[process], one)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if one.to.IsZero() {
			one.to = time.Now()
		}
	}
}

// everyProcess stands for all processes in disturb's place.
const everyProcess = ""

// stood notes that all stood still from a time until now.
func (t *timeline) hostStalled(from time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.disturbances[everyProcess] = append(t.disturbances[everyProcess], &disturbance{from: from, to: now})
	t.events = append(t.events, &event{kind: kindHostStall, from: from, to: now})
}

// disturbed tells whether a process was not whole for a part of the time from a moment until now.
func (t *timeline) disturbed(process string, from time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, one := range slices.Concat(t.disturbances[process], t.disturbances[everyProcess]) {
		if one.to.IsZero() || one.to.After(from) {
			return true
		}
	}
	return false
}

func (t *timeline) since(at time.Time) float64 { return at.Sub(t.start).Seconds() }

// words gives the events of the last while before a moment, one a line.
func (t *timeline) render(at time.Time, before time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var text strings.Builder
	for _, one := range t.events {
		if !one.to.IsZero() && one.to.Before(at.Add(-before)) || one.from.After(at) {
			continue
		}
		until := "..."
		if !one.to.IsZero() {
			until = fmt.Sprintf("%.3f", t.since(one.to))
		}
		fmt.Fprintf(&text, "    %9.3f to %s  %s %s\n", t.since(one.from), until, one.kind, one.what)
	}
	return text.String()
}

// write writes the whole time line to a file.
func (t *timeline) write(path string) error {
	now := time.Now()
	text := fmt.Sprintf("0 is %s\n%s", t.start.UTC().Format("2006-01-02T15:04:05.000Z"), t.render(now, now.Sub(t.start)))
	return os.WriteFile(path, []byte(text), 0o600)
}

// kinds counts the troubles.
func (t *timeline) countKinds() map[EventKind]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[EventKind]int{}
	for _, one := range t.events {
		counts[one.kind]++
	}
	return counts
}
