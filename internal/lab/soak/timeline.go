package soak

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// EventKind is the kind of an event on the timeline: a fault, or another event that matters beside them.
type EventKind string

// The kinds of events.
const (
	KindKill            EventKind = "kill"
	KindPause           EventKind = "pause"
	KindPartition       EventKind = "cut"
	KindOneWayPartition EventKind = "one-way-cut"
	KindWipe            EventKind = "wipe"     // one process is killed and loses its disk
	KindPowerLoss       EventKind = "blackout" // all processes are killed, and some may lose their disks
	KindRetire          EventKind = "retire"
	KindTerminate       EventKind = "terminate"     // SIGTERM
	KindReload          EventKind = "reload"        // SIGHUP
	KindServerSilence   EventKind = "server-silent" // model servers are silent for a while before or within responses
	KindServerRejection EventKind = "server-full"   // model servers reject
	KindServerBreakOff  EventKind = "server-cut"    // model servers break off
	KindServerReplaced  EventKind = "server-drain"  // a model server drains, and another one takes its place
	kindHostStall       EventKind = "host-stall"    // the machine that runs the test was stalled
	kindPlanned         EventKind = "planned"       // a round of planned work begins
	kindHealed          EventKind = "healed"        // the last fault of a round is over
	kindRecovered       EventKind = "recovered"     // the system is well again after it
)

// FaultKinds are the kinds of faults, in the order of a summary.
var FaultKinds = []EventKind{
	KindKill,
	KindPause,
	KindPartition,
	KindOneWayPartition,
	KindWipe,
	KindPowerLoss,
	KindRetire,
	KindTerminate,
	KindReload,
	KindServerSilence,
	KindServerRejection,
	KindServerBreakOff,
	KindServerReplaced,
	kindHostStall,
}

// event is one entry of the timeline.
type event struct {
	kind     EventKind
	what     string
	from, to time.Time // to is zero while it lasts
}

// disturbance is a time in which a process was down or paused.
type disturbance struct {
	from, to time.Time // to is zero while it lasts
	graceful bool      // the process exited as it was asked to, and owed complete responses until then
}

// timeline records what was done to the system, and when which processes were disturbed.
type timeline struct {
	mu           sync.Mutex // guards the fields below, and the events and disturbances in them
	start        time.Time
	events       []*event
	disturbances map[string][]*disturbance // by process
}

func newTimeline() *timeline {
	return &timeline{start: time.Now(), disturbances: map[string][]*disturbance{}}
}

// restartClock sets the time from which events and violations are counted. It is called before the load begins.
func (t *timeline) restartClock() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start = time.Now()
}

// add records an event that begins now, and returns the function that ends it.
func (t *timeline) add(kind EventKind, format string, arguments ...any) (end func()) {
	e := &event{kind: kind, what: fmt.Sprintf(format, arguments...), from: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, e)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		e.to = time.Now()
	}
}

// note records an event without a duration.
func (t *timeline) note(kind EventKind) { t.add(kind, "")() }

// disturb records that a process is disturbed from now on, and returns the function that ends it.
func (t *timeline) disturb(process string) (end func()) { return t.addDisturbance(process, false) }

// exitGracefully records that a process has just exited as it was asked to, and returns the function that ends its
// downtime.
func (t *timeline) exitGracefully(process string) (end func()) {
	return t.addDisturbance(process, true)
}

func (t *timeline) addDisturbance(process string, graceful bool) (end func()) {
	d := &disturbance{from: time.Now(), graceful: graceful}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disturbances[process] = append(t.disturbances[process], d)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if d.to.IsZero() {
			d.to = time.Now()
		}
	}
}

// everyProcess is the key of disturbances of all processes.
const everyProcess = ""

// hostStalled records that the machine was stalled from a time until now, and with it all processes.
func (t *timeline) hostStalled(from time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.disturbances[everyProcess] = append(t.disturbances[everyProcess], &disturbance{from: from, to: now})
	t.events = append(t.events, &event{kind: kindHostStall, from: from, to: now})
}

// disturbed returns whether a process was disturbed at any time between from and now. A graceful exit disturbs only what
// began after it.
func (t *timeline) disturbed(process string, from time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range slices.Concat(t.disturbances[process], t.disturbances[everyProcess]) {
		overlaps := d.to.IsZero() || d.to.After(from)
		if overlaps && !(d.graceful && d.from.After(from)) {
			return true
		}
	}
	return false
}

// since returns the seconds from the start to a time.
func (t *timeline) since(at time.Time) float64 { return at.Sub(t.start).Seconds() }

// render returns the events of a window before a time, one a line, in seconds since the start.
func (t *timeline) render(at time.Time, window time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var text strings.Builder
	for _, e := range t.events {
		if !e.to.IsZero() && e.to.Before(at.Add(-window)) || e.from.After(at) {
			continue
		}
		until := "..."
		if !e.to.IsZero() {
			until = fmt.Sprintf("%.3f", t.since(e.to))
		}
		fmt.Fprintf(&text, "    %9.3f to %s  %s %s\n", t.since(e.from), until, e.kind, e.what)
	}
	return text.String()
}

// write writes all events to a file, with the start as UTC so that they can be compared with logs.
func (t *timeline) write(path string) error {
	now := time.Now()
	start := t.start.UTC().Format("2006-01-02T15:04:05.000Z")
	text := fmt.Sprintf("0 is %s\n%s", start, t.render(now, now.Sub(t.start)))
	return os.WriteFile(path, []byte(text), 0o600)
}

// countKinds returns the number of events of each kind.
func (t *timeline) countKinds() map[EventKind]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[EventKind]int{}
	for _, e := range t.events {
		counts[e.kind]++
	}
	return counts
}
