package simulation

import (
	"errors"
	"io/fs"
	"sort"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/coord/slots"
)

// ErrPowerLost is the error of operations on a disk whose power went, and on files of a process that ended.
var ErrPowerLost = errors.New("simulation: power lost")

// DefaultSyncTime is what a sync takes unless Disk.SyncTime says otherwise.
const DefaultSyncTime = time.Millisecond

// Disk is one folder on a simulated disk. It implements slots.FS.
type Disk struct {
	// SyncTime is what each sync takes.
	SyncTime time.Duration

	random         *Rand
	entries        map[string]*inode
	durableEntries map[string]*inode
	unsynced       []directoryChange
	capacity       int64 // bytes, 0 for no bound
	failAt         int   // operations until the power goes, 0 for never
	poweredOff     bool
	incarnation    int // of the processes that use it
	operations     int
	latency        time.Duration
}

// nameChange is a new, renamed or removed name that is not durable yet. An empty from is a new file, an empty to is
// a removed one.
type directoryChange struct {
	from, to string
	file     *inode
}

// apply makes the change to a table of names.
func (c directoryChange) apply(names map[string]*inode) {
	if c.from != "" {
		delete(names, c.from)
	}
	if c.to != "" {
		names[c.to] = c.file
	}
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

// Kill ends the processes that use the disk: open files fail from now on. All that was written stays.
func (d *Disk) Kill() {
	d.incarnation++
	d.poweredOff = false
	d.failAt = 0
}

// PowerLoss ends the processes and keeps, loses or tears each change that was not synced. Now and then all of them
// are lost.
func (d *Disk) LosePower() {
	loseAll := d.random.Chance(0.2)
	for _, pending := range d.unsynced {
		if !loseAll && d.random.Chance(0.5) {
			pending.apply(d.durableEntries)
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

// SetCapacity bounds the bytes in all files. Zero takes the bound away.
func (d *Disk) SetCapacity(bytes int64) {
	d.capacity = bytes
}

// FailAt takes the power away in the middle of the n-th operation that changes the disk from now, counted from 1.
// The operation, and all after it until PowerLoss, Kill or Wipe, fail with ErrPowerLost.
func (d *Disk) FailAt(n int) {
	d.failAt = n
}

// Off tells whether the power went in the middle of an operation and hasn't come back.
func (d *Disk) PoweredOff() bool {
	return d.poweredOff
}

// Operations returns how many operations that change the disk there were.
func (d *Disk) Operations() int {
	return d.operations
}

// Stall adds to the time that the next operations take.
func (d *Disk) AddLatency(duration time.Duration) {
	d.latency += duration
}

// TakeBusy returns how long the operations since the last call take, so that a world can let that time pass.
func (d *Disk) TakeLatency() time.Duration {
	busy := d.latency
	d.latency = 0
	return busy
}

// Flip inverts one bit of a file as a failing medium does. It returns false if there is no such byte.
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

// step counts an operation that changes the disk. It returns whether the power goes within it, or an error if the
// power is off.
func (d *Disk) countOperation() (bool, error) {
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

// used returns the bytes in all files.
func (d *Disk) used() int64 {
	var total int64
	for _, file := range d.entries {
		total += int64(len(file.content))
	}
	return total
}

// room returns how many of these bytes still fit on the disk.
func (d *Disk) capacityFor(bytes int) int {
	if d.capacity == 0 {
		return bytes
	}
	return int(max(0, min(int64(bytes), d.capacity-d.used())))
}

// rename makes a change of names that is not durable yet.
func (d *Disk) changeDirectory(change directoryChange) error {
	losesPower, err := d.countOperation()
	if err != nil {
		return err
	}
	change.apply(d.entries)
	d.unsynced = append(d.unsynced, change)
	if losesPower {
		return ErrPowerLost
	}
	return nil
}

// find returns the file of a name.
func (d *Disk) find(operation, name string) (*inode, error) {
	if d.poweredOff {
		return nil, ErrPowerLost
	}
	file, ok := d.entries[name]
	if !ok {
		return nil, &fs.PathError{Op: operation, Path: name, Err: syscall.ENOENT}
	}
	return file, nil
}

// Create implements slots.FS.
func (d *Disk) Create(name string) (slots.File, error) {
	if d.poweredOff {
		return nil, ErrPowerLost
	}
	file, ok := d.entries[name]
	if !ok {
		file = &inode{}
		if err := d.changeDirectory(directoryChange{to: name, file: file}); err != nil {
			return nil, err
		}
	}
	handle := &diskFile{disk: d, file: file, incarnation: d.incarnation}
	if len(file.content) == 0 {
		return handle, nil
	}
	return handle, handle.Truncate(0)
}

// Open implements slots.FS.
func (d *Disk) Open(name string) (slots.File, error) {
	file, err := d.find("open", name)
	if err != nil {
		return nil, err
	}
	return &diskFile{disk: d, file: file, incarnation: d.incarnation}, nil
}

// ReadAll implements slots.FS.
func (d *Disk) ReadAll(name string) ([]byte, error) {
	file, err := d.find("open", name)
	if err != nil {
		return nil, err
	}
	return append([]byte(nil), file.content...), nil
}

// Size implements slots.FS.
func (d *Disk) Size(name string) (int64, error) {
	file, err := d.find("stat", name)
	if err != nil {
		return 0, err
	}
	return int64(len(file.content)), nil
}

// Rename implements slots.FS.
func (d *Disk) Rename(from, to string) error {
	file, err := d.find("rename", from)
	if err != nil {
		return err
	}
	return d.changeDirectory(directoryChange{from: from, to: to, file: file})
}

// Remove implements slots.FS.
func (d *Disk) Remove(name string) error {
	file, err := d.find("remove", name)
	if err != nil {
		return err
	}
	return d.changeDirectory(directoryChange{from: name, file: file})
}

// List implements slots.FS.
func (d *Disk) List() ([]string, error) {
	if d.poweredOff {
		return nil, ErrPowerLost
	}
	return sortedNames(d.entries), nil
}

// SyncDir implements slots.FS.
func (d *Disk) SyncDir() error {
	losesPower, err := d.countOperation()
	if err != nil {
		return err
	}
	if losesPower {
		return ErrPowerLost
	}
	d.latency += d.SyncTime
	for _, pending := range d.unsynced {
		pending.apply(d.durableEntries)
	}
	d.unsynced = nil
	return nil
}

// syncFile makes a file durable, and its name if it is new.
func (d *Disk) syncFile(file *inode) {
	d.latency += d.SyncTime
	file.sync()
	kept := d.unsynced[:0]
	for _, pending := range d.unsynced {
		if pending.file == file && pending.from == "" {
			pending.apply(d.durableEntries)
			continue
		}
		kept = append(kept, pending)
	}
	d.unsynced = kept
}

// sortedNames returns the names of a table in order.
func sortedNames(names map[string]*inode) []string {
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	return sorted
}
