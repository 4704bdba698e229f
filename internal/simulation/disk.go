package simulation

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// ErrPowerLost is returned by operations on a disk without power, and on files that were opened by a process
// that has ended.
var ErrPowerLost = errors.New("simulation: power lost")

// DefaultSyncTime is the initial Disk.SyncTime.
const DefaultSyncTime = time.Millisecond

// Disk is one folder on a simulated disk. It implements slots.FS.
type Disk struct {
	// SyncTime is the latency of each sync.
	SyncTime time.Duration

	random *Rand
	// entries is the directory as processes see it. durableEntries is the durable directory, from which a loss
	// of power starts, and unsynced are the changes that aren't durable yet, in order, of which it applies some.
	entries        map[string]*inode
	durableEntries map[string]*inode
	unsynced       []directoryChange

	capacity    int64 // bytes, 0 for no limit
	failAt      int   // operations that change the disk until the loss of power, 0 for never
	poweredOff  bool
	incarnation int // of the processes that use the disk; files opened by earlier incarnations fail
	operations  int
	latency     time.Duration // of operations since the last TakeLatency
}

// NewDisk returns an empty disk.
func NewDisk(random *Rand) *Disk {
	d := &Disk{SyncTime: DefaultSyncTime, random: random}
	d.Wipe()
	return d
}

// Wipe replaces the disk by an empty one.
func (d *Disk) Wipe() {
	d.entries = make(map[string]*inode)
	d.durableEntries = make(map[string]*inode)
	d.unsynced = nil
	d.Kill()
}

// Kill ends the processes that use the disk: open files fail from now on. All written data stays.
func (d *Disk) Kill() {
	d.incarnation++
	d.poweredOff = false
	d.failAt = 0
}

// LosePower ends the processes, restores the power, and keeps, loses or tears each change that was not
// synced. In one of five cases all changes are lost, because independent draws would hardly ever give that.
func (d *Disk) LosePower() {
	loseAll := d.random.Chance(0.2)
	for _, change := range d.unsynced {
		if !loseAll && d.random.Chance(0.5) {
			change.apply(d.durableEntries)
		}
	}
	d.unsynced = nil
	d.entries = make(map[string]*inode)
	for _, name := range sortedNames(d.durableEntries) {
		file := d.durableEntries[name]
		file.losePower(d.random, loseAll)
		d.entries[name] = file
	}
	d.Kill()
}

// SetCapacity limits the total size of all files. Zero removes the limit.
func (d *Disk) SetCapacity(bytes int64) {
	d.capacity = bytes
}

// FailAt cuts the power during the n-th operation from now that changes the disk, counted from 1. That
// operation and all later ones fail with ErrPowerLost, until LosePower, Kill or Wipe.
func (d *Disk) FailAt(n int) {
	d.failAt = n
}

// PoweredOff reports whether the power was cut by FailAt and has not been restored.
func (d *Disk) PoweredOff() bool {
	return d.poweredOff
}

// Operations returns how many operations have changed the disk, as FailAt counts them.
func (d *Disk) Operations() int {
	return d.operations
}

// AddLatency adds a stall to the latency that TakeLatency returns next.
func (d *Disk) AddLatency(duration time.Duration) {
	d.latency += duration
}

// TakeLatency returns the latency of all operations since the last call. The disk doesn't wait itself: the
// caller lets that much virtual time pass.
func (d *Disk) TakeLatency() time.Duration {
	latency := d.latency
	d.latency = 0
	return latency
}

// FlipBit inverts one bit of a file, as a failing medium does. It returns false if the file doesn't exist or
// has no durable byte at the offset.
func (d *Disk) FlipBit(name string, offset int64, bit int) bool {
	file, ok := d.entries[name]
	if !ok || offset >= int64(len(file.content)) || offset >= int64(len(file.durable)) {
		return false
	}
	mask := byte(1) << (bit % 8)
	file.content[offset] ^= mask
	file.durable[offset] ^= mask
	return true
}

// countOperation counts an operation that changes the disk. It returns whether power is lost during it, or an
// error if the power is off already.
func (d *Disk) countOperation() (losesPower bool, err error) {
	if d.poweredOff {
		return false, ErrPowerLost
	}
	d.operations++
	if d.failAt == 0 {
		return false, nil
	}
	d.failAt--
	if d.failAt == 0 {
		d.poweredOff = true
	}
	return d.poweredOff, nil
}

// used returns the total size of all files in bytes.
func (d *Disk) used() int64 {
	var total int64
	for _, file := range d.entries {
		total += int64(len(file.content))
	}
	return total
}

// capacityFor returns how many of the given number of additional bytes fit on the disk.
func (d *Disk) capacityFor(bytes int) int {
	if d.capacity == 0 {
		return bytes
	}
	return int(max(0, min(int64(bytes), d.capacity-d.used())))
}

// sortedNames returns the names in a directory in sorted order, because random draws must not depend on the
// order of a map.
func sortedNames(entries map[string]*inode) []string {
	return slices.Sorted(maps.Keys(entries))
}
