package soak

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/lab/process"
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
	endDowntime func()    // ends the disturbance by a kill, on the timeline
	endPause    func()    // ends that by a pause; nil while the process isn't paused
	terminating bool      // it was asked to exit
	exitedAt    time.Time // when it last exited after it was asked to; zero: never
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

// exitTimeout is how long a process may take to exit after SIGTERM: the settings' bound (bounds.grace-s).
const exitTimeout = 8 * time.Second

// terminate asks the process to exit (SIGTERM), and waits until it has. The error tells that it exited with another
// code than 0 or not in time, although nothing else was done to it meanwhile.
func (t *target) terminate() error {
	began := time.Now()
	asked := t.beginTermination()
	if asked == nil {
		return nil
	}
	err := asked.Stop(exitTimeout)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.terminating = false
	if t.down || t.cluster.Process(t.machine, t.role) != asked { // killed meanwhile, and perhaps started again
		return nil
	}
	disturbed := t.timeline.disturbed(t.name(), began)
	t.down = true
	t.exitedAt = time.Now()
	t.clearPauseLocked()
	if err == nil {
		t.endDowntime = t.timeline.exitGracefully(t.name())
		return nil
	}
	t.endDowntime = t.timeline.disturb(t.name())
	if disturbed {
		return nil
	}
	return fmt.Errorf("%s after SIGTERM: %w: %s", t.name(), err, asked.LogTail())
}

// beginTermination returns the process if it runs, and has it count as terminating.
func (t *target) beginTermination() *process.Process {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down || t.terminating || t.endPause != nil {
		return nil
	}
	t.terminating = true
	return t.cluster.Process(t.machine, t.role)
}

// age returns the time since the process's latest start.
func (t *target) age() time.Duration { return time.Since(t.cluster.Process(t.machine, t.role).Started) }

// wasExiting returns whether the process was exiting, as it was asked to, at any time between from and now.
func (t *target) wasExiting(from time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.terminating || t.exitedAt.After(from)
}

// reload has the process read its settings again (SIGHUP).
func (t *target) reload() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.down {
		_ = t.cluster.Process(t.machine, t.role).Signal(syscall.SIGHUP) // as in pause
	}
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
	latest := t.cluster.Process(t.machine, t.role)
	ended, err := latest.Ended()
	if t.down || t.terminating || !ended {
		return false, ""
	}
	t.down = true
	t.endDowntime = t.timeline.disturb(t.name())
	t.clearPauseLocked()
	return true, fmt.Sprintf("%v: %s", err, latest.LogTail())
}

// running returns whether the process is neither down nor paused.
func (t *target) running() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.down && t.endPause == nil
}

// forEachConcurrently calls do for each target, all at once, and waits.
func forEachConcurrently(targets []*target, do func(i int, t *target)) {
	forEachIndex(len(targets), func(i int) { do(i, targets[i]) })
}

// forEachIndex calls do for each index below n, all at once, and waits.
func forEachIndex(n int, do func(i int)) {
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() { do(i) })
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
