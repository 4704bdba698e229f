package soak

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

// target is one process of the system, over all of its incarnations, as a target of faults. Its methods may
// be called from any goroutine, in any order: one that finds the process already in the state that it would
// bring about does nothing.
type target struct {
	cluster  *system.Cluster
	timeline *timeline
	machine  system.Machine
	role     system.Role

	// mu guards the fields below and the process's state: signals, starts and wipes of one process don't overlap.
	mu          sync.Mutex
	down        bool
	endDowntime func() // ends the disturbance by a kill, on the timeline
	endPause    func() // ends that by a pause; nil while the process isn't paused
}

func (t *target) name() string { return t.machine.Name + "-" + string(t.role) }

// kill ends the process at once.
func (t *target) kill() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.killLocked()
}

func (t *target) killLocked() {
	if t.down {
		return
	}
	t.down = true
	t.endDowntime = t.timeline.disturb(t.name())
	t.cluster.Process(t.machine, t.role).Kill()
	t.clearPauseLocked()
}

// wipe ends the process at once and empties its disk.
func (t *target) wipe() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.killLocked()
	return t.cluster.WipeDisk(t.machine, t.role)
}

// start starts the process again.
func (t *target) start() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.down {
		return nil
	}
	if err := t.cluster.Restart(t.machine, t.role); err != nil {
		return fmt.Errorf("%s: %w", t.name(), err)
	}
	t.down = false
	t.endDowntime()
	return nil
}

// pause stops the process until resume.
func (t *target) pause() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down || t.endPause != nil {
		return
	}
	t.endPause = t.timeline.disturb(t.name())
	_ = t.cluster.Process(t.machine, t.role).Signal(syscall.SIGSTOP) // fails where it has exited, which detectExit reports
}

// resume continues a paused process.
func (t *target) resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.endPause == nil {
		return
	}
	_ = t.cluster.Process(t.machine, t.role).Signal(syscall.SIGCONT) // as in pause
	t.clearPauseLocked()
}

func (t *target) clearPauseLocked() {
	if t.endPause != nil {
		t.endPause()
		t.endPause = nil
	}
}

// restore has the process run again, whatever was done to it.
func (t *target) restore() error {
	t.resume()
	return t.start()
}

// detectExit returns whether the process exited without having been killed, and its last output. From then on
// it counts as down.
func (t *target) detectExit() (exited bool, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	process := t.cluster.Process(t.machine, t.role)
	ended, err := process.Ended()
	if t.down || !ended {
		return false, ""
	}
	t.down = true
	t.endDowntime = t.timeline.disturb(t.name())
	t.clearPauseLocked()
	return true, fmt.Sprintf("%v: %s", err, process.LogTail())
}

// running returns whether the process is neither down nor paused.
func (t *target) running() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.down && t.endPause == nil
}

// forEachConcurrently calls do for each target, all at once, and waits.
func forEachConcurrently(targets []*target, do func(i int, t *target)) {
	var calls sync.WaitGroup
	for i, t := range targets {
		calls.Go(func() { do(i, t) })
	}
	calls.Wait()
}

func targetNames(targets []*target) string {
	list := make([]string, len(targets))
	for i, t := range targets {
		list[i] = t.name()
	}
	return strings.Join(list, " ")
}

// describeRestarts names targets with the delays after which they are started again.
func describeRestarts(targets []*target, delays []time.Duration) string {
	list := make([]string, len(targets))
	for i, t := range targets {
		list[i] = fmt.Sprintf("%s+%.1fs", t.name(), delays[i].Seconds())
	}
	return strings.Join(list, " ")
}
