package soak

import (
	"fmt"
	"sync"
	"syscall"

	"sprucelane.example/sprucelane/internal/lab/system"
)

// unit is a process of the system in all its lives. Its methods may be called from any goroutine, in any order: those that find
// the process in the state that they would bring about do nothing.
type target struct {
	fleet    *system.Cluster
	timeline *timeline
	machine  system.Machine
	role     string

	mu          sync.Mutex
	down        bool
	lives       int
	endDowntime func() // ends the disturbance by a kill
	endPause    func() // ends that by a pause
}

func (u *target) name() string { return u.machine.Name + "-" + u.role }

// kill ends the process at once.
func (u *target) kill() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.killLocked()
}

func (u *target) killLocked() {
	if u.down {
		return
	}
	u.down = true
	u.endDowntime = u.timeline.disturb(u.name())
	u.fleet.Process(u.machine, u.role).Kill()
	u.clearPauseLocked()
}

// wipe ends the process at once and empties its disk.
func (u *target) wipe() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.killLocked()
	return u.fleet.WipeDisk(u.machine, u.role)
}

// start starts the process again.
func (u *target) start() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.down {
		return nil
	}
	if err := u.fleet.Restart(u.machine, u.role); err != nil {
		return fmt.Errorf("%s: %w", u.name(), err)
	}
	u.down = false
	u.lives++
	u.endDowntime()
	return nil
}

// pause lets the process stand still.
func (u *target) pause() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down || u.endPause != nil {
		return
	}
	u.endPause = u.timeline.disturb(u.name())
	_ = u.fleet.Process(u.machine, u.role).Signal(syscall.SIGSTOP) // one that has ended by itself is told by died
}

// resume lets it go on.
func (u *target) resume() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.resumeLocked()
}

func (u *target) resumeLocked() {
	if u.endPause == nil {
		return
	}
	_ = u.fleet.Process(u.machine, u.role).Signal(syscall.SIGCONT) // as above
	u.clearPauseLocked()
}

func (u *target) clearPauseLocked() {
	if u.endPause != nil {
		u.endPause()
		u.endPause = nil
	}
}

// revive brings it back from whatever was done to it.
func (u *target) restore() error {
	u.resume()
	return u.start()
}

// died tells whether the process ended by itself. It counts as killed from then on.
func (u *target) detectExit() (bool, string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	process := u.fleet.Process(u.machine, u.role)
	ended, err := process.Ended()
	if u.down || !ended {
		return false, ""
	}
	u.down = true
	u.endDowntime = u.timeline.disturb(u.name())
	u.clearPauseLocked()
	return true, fmt.Sprintf("%v: %s", err, process.LogTail())
}

// life counts its starts, and tells whether it is up.
func (u *target) life() (number int, up bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lives, !u.down && u.endPause == nil
}
