package soak

import (
	"fmt"
	"sync"
	"syscall"

	"sprucelane.example/sprucelane/internal/lab/system"
)

// unit is a process of the system in all its lives. Its methods may be called from any goroutine, in any order: those that find
// the process in the state that they would bring about do nothing.
type unit struct {
	fleet    *system.Fleet
	timeline *timeline
	machine  system.Machine
	role     string

	mu     sync.Mutex
	down   bool
	lives  int
	whole  func() // ends the disturbance by a kill
	paused func() // ends that by a pause
}

func (u *unit) name() string { return u.machine.Name + "-" + u.role }

// kill ends the process at once.
func (u *unit) kill() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.killHeld()
}

func (u *unit) killHeld() {
	if u.down {
		return
	}
	u.down = true
	u.whole = u.timeline.disturb(u.name())
	u.fleet.Process(u.machine, u.role).Kill()
	u.unpauseHeld()
}

// wipe ends the process at once and empties its disk.
func (u *unit) wipe() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.killHeld()
	return u.fleet.WipeDisk(u.machine, u.role)
}

// start starts the process again.
func (u *unit) start() error {
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
	u.whole()
	return nil
}

// pause lets the process stand still.
func (u *unit) pause() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down || u.paused != nil {
		return
	}
	u.paused = u.timeline.disturb(u.name())
	_ = u.fleet.Process(u.machine, u.role).Signal(syscall.SIGSTOP) // one that has ended by itself is told by died
}

// resume lets it go on.
func (u *unit) resume() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.resumeHeld()
}

func (u *unit) resumeHeld() {
	if u.paused == nil {
		return
	}
	_ = u.fleet.Process(u.machine, u.role).Signal(syscall.SIGCONT) // as above
	u.unpauseHeld()
}

func (u *unit) unpauseHeld() {
	if u.paused != nil {
		u.paused()
		u.paused = nil
	}
}

// revive brings it back from whatever was done to it.
func (u *unit) revive() error {
	u.resume()
	return u.start()
}

// died tells whether the process ended by itself. It counts as killed from then on.
func (u *unit) died() (bool, string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	process := u.fleet.Process(u.machine, u.role)
	ended, err := process.Ended()
	if u.down || !ended {
		return false, ""
	}
	u.down = true
	u.whole = u.timeline.disturb(u.name())
	u.unpauseHeld()
	return true, fmt.Sprintf("%v: %s", err, process.LastLines())
}

// life counts its starts, and tells whether it is up.
func (u *unit) life() (number int, up bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lives, !u.down && u.paused == nil
}
