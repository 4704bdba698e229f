package bubble

import (
	"sync"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/internal/simulation"
)

// Disk is the disk of a machine. It outlives the incarnations of the machine's process.
type Disk struct {
	mutex       sync.Mutex // guards the fields below, and the contents of disk
	disk        *simulation.Disk
	incarnation int // of the process that has mounted it
	syncFactor  int // multiplies the duration of syncs
	stalled     bool
	written     int64 // bytes, since the disk was created
	syncs       int64 // since the disk was created
}

// NewDisk returns an empty disk.
func NewDisk(seed uint64) *Disk {
	return &Disk{disk: simulation.NewDisk(simulation.NewRand(seed)), syncFactor: 1}
}

// Mount gives the disk to a new incarnation of the process. Earlier mounts fail from now on.
func (d *Disk) Mount() slots.FS {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.incarnation++
	return &mount{disk: d, incarnation: d.incarnation}
}

// Kill ends the incarnation that uses the disk. All data that it wrote stays.
func (d *Disk) Kill() { d.unmount(d.disk.Kill) }

// LosePower ends the incarnation that uses the disk, and keeps, loses or tears each write that was not
// synced.
func (d *Disk) LosePower() { d.unmount(d.disk.LosePower) }

// Wipe ends the incarnation that uses the disk, and empties the disk.
func (d *Disk) Wipe() { d.unmount(d.disk.Wipe) }

// unmount ends the current mount, its stall and its slow syncs. apply changes the contents of the disk.
func (d *Disk) unmount(apply func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.incarnation++
	d.stalled, d.syncFactor = false, 1
	apply()
}

// SlowSyncs multiplies the duration of syncs by factor, until the next Kill, LosePower or Wipe.
func (d *Disk) SlowSyncs(factor int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.syncFactor = factor
}

// SetStalled starts or ends a stall of the disk. Operations block while the disk is stalled.
func (d *Disk) SetStalled(stalled bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stalled = stalled
}

// Usage returns the bytes that are on the disk now, and the bytes and syncs that were ever written to it.
func (d *Disk) Usage() (stored, written, syncs int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	names, _ := d.disk.List()
	for _, name := range names {
		size, _ := d.disk.Size(name)
		stored += size
	}
	return stored, d.written, d.syncs
}
