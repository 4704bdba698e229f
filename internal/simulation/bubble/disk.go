package bubble

import (
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/internal/simulation"
)

// stallStep is how often a stalled disk is looked at.
const stallPollInterval = 10 * time.Millisecond

// Disk is the disk of a machine, over all lives of its process.
type Disk struct {
	mutex       sync.Mutex
	disk        *simulation.Disk
	incarnation int
	syncFactor  int // syncs take so many times as long
	stalled     bool
	written     int64
	syncs       int64
}

// NewDisk gives an empty disk.
func NewDisk(seed uint64) *Disk {
	return &Disk{disk: simulation.NewDisk(simulation.NewRand(seed)), syncFactor: 1}
}

// Begin gives the disk to a new life of the process.
func (d *Disk) Mount() slots.FS {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.incarnation++
	return &mount{disk: d, incarnation: d.incarnation}
}

// Kill ends the life that uses the disk; what it wrote stays.
func (d *Disk) Kill() { d.unmount(d.disk.Kill) }

// LosePower ends the life and keeps, loses or tears what wasn't synced.
func (d *Disk) LosePower() { d.unmount(d.disk.LosePower) }

// Wipe ends the life and empties the disk.
func (d *Disk) Wipe() { d.unmount(d.disk.Wipe) }

func (d *Disk) unmount(how func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.incarnation++
	d.stalled, d.syncFactor = false, 1
	how()
}

// Slow has syncs take so many times as long.
func (d *Disk) SlowSyncs(times int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.syncFactor = times
}

// Stall has the disk answer nothing: whoever uses it stands still.
func (d *Disk) SetStalled(stalled bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stalled = stalled
}

// Used gives the bytes on the disk, and those ever written to it with the number of syncs.
func (d *Disk) Usage() (held, written, syncs int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	names, _ := d.disk.List()
	for _, name := range names {
		size, _ := d.disk.Size(name)
		held += size
	}
	return held, d.written, d.syncs
}

// diskLife is the disk as one life sees it. It implements slots.FS.
type mount struct {
	disk        *Disk
	incarnation int
}

// run does an operation, as soon as the disk answers.
func (l *mount) do(operation func() error) error {
	for l.stalled() {
		time.Sleep(stallPollInterval)
	}
	d := l.disk
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.incarnation != l.incarnation {
		return simulation.ErrPowerLost
	}
	return operation()
}

// sync does an operation that makes something durable, in the middle of the time that it takes.
func (l *mount) doSync(operation func() error) error {
	l.disk.mutex.Lock()
	takes := l.disk.disk.SyncTime * time.Duration(l.disk.syncFactor)
	l.disk.syncs++
	l.disk.mutex.Unlock()
	time.Sleep(takes / 2)
	err := l.do(operation)
	time.Sleep(takes / 2)
	return err
}

func (l *mount) stalled() bool {
	l.disk.mutex.Lock()
	defer l.disk.mutex.Unlock()
	return l.disk.stalled && l.disk.incarnation == l.incarnation
}

func (l *mount) openFile(open func() (slots.File, error)) (slots.File, error) {
	var file slots.File
	err := l.do(func() (err error) {
		file, err = open()
		return err
	})
	if err != nil {
		return nil, err
	}
	return &diskFile{mount: l, file: file}, nil
}

// Create implements slots.FS.
func (l *mount) Create(name string) (slots.File, error) {
	return l.openFile(func() (slots.File, error) { return l.disk.disk.Create(name) })
}

// Open implements slots.FS.
func (l *mount) Open(name string) (slots.File, error) {
	return l.openFile(func() (slots.File, error) { return l.disk.disk.Open(name) })
}

// ReadAll implements slots.FS.
func (l *mount) ReadAll(name string) (content []byte, err error) {
	err = l.do(func() (err error) {
		content, err = l.disk.disk.ReadAll(name)
		return err
	})
	return content, err
}

// Size implements slots.FS.
func (l *mount) Size(name string) (size int64, err error) {
	err = l.do(func() (err error) {
		size, err = l.disk.disk.Size(name)
		return err
	})
	return size, err
}

// Rename implements slots.FS.
func (l *mount) Rename(from, to string) error {
	return l.do(func() error { return l.disk.disk.Rename(from, to) })
}

// Remove implements slots.FS.
func (l *mount) Remove(name string) error {
	return l.do(func() error { return l.disk.disk.Remove(name) })
}

// List implements slots.FS.
func (l *mount) List() (names []string, err error) {
	err = l.do(func() (err error) {
		names, err = l.disk.disk.List()
		return err
	})
	return names, err
}

// SyncDir implements slots.FS.
func (l *mount) SyncDir() error { return l.doSync(l.disk.disk.SyncDir) }

// diskFile is an open file of one life. It implements slots.File.
type diskFile struct {
	mount *mount
	file  slots.File
}

// Write implements slots.File.
func (f *diskFile) Write(data []byte) (count int, err error) {
	err = f.mount.do(func() (err error) {
		count, err = f.file.Write(data)
		f.mount.disk.written += int64(count)
		return err
	})
	return count, err
}

// Truncate implements slots.File.
func (f *diskFile) Truncate(size int64) error {
	return f.mount.do(func() error { return f.file.Truncate(size) })
}

// Sync implements slots.File.
func (f *diskFile) Sync() error { return f.mount.doSync(f.file.Sync) }

// Close implements slots.File.
func (f *diskFile) Close() error { return f.file.Close() }

// ReadAt implements slots.File.
func (f *diskFile) ReadAt(data []byte, offset int64) (count int, err error) {
	err = f.mount.do(func() (err error) {
		count, err = f.file.ReadAt(data, offset)
		return err
	})
	return count, err
}
