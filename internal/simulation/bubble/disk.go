package bubble

import (
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/internal/simulation"
)

// stallStep is how often a stalled disk is looked at.
const stallStep = 10 * time.Millisecond

// Disk is the disk of a machine, over all lives of its process.
type Disk struct {
	mutex   sync.Mutex
	disk    *simulation.Disk
	life    int
	slow    int // syncs take so many times as long
	stalled bool
	written int64
	syncs   int64
}

// NewDisk gives an empty disk.
func NewDisk(seed uint64) *Disk {
	return &Disk{disk: simulation.NewDisk(simulation.NewRand(seed)), slow: 1}
}

// Begin gives the disk to a new life of the process.
func (d *Disk) Begin() slots.FS {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.life++
	return &diskLife{disk: d, life: d.life}
}

// Kill ends the life that uses the disk; what it wrote stays.
func (d *Disk) Kill() { d.end(d.disk.Kill) }

// LosePower ends the life and keeps, loses or tears what wasn't synced.
func (d *Disk) LosePower() { d.end(d.disk.PowerLoss) }

// Wipe ends the life and empties the disk.
func (d *Disk) Wipe() { d.end(d.disk.Wipe) }

func (d *Disk) end(how func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.life++
	d.stalled, d.slow = false, 1
	how()
}

// Slow has syncs take so many times as long.
func (d *Disk) Slow(times int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.slow = times
}

// Stall has the disk answer nothing: whoever uses it stands still.
func (d *Disk) Stall(stalled bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stalled = stalled
}

// Used gives the bytes on the disk, and those ever written to it with the number of syncs.
func (d *Disk) Used() (held, written, syncs int64) {
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
type diskLife struct {
	disk *Disk
	life int
}

// run does an operation, as soon as the disk answers.
func (l *diskLife) run(operation func() error) error {
	for l.stalled() {
		time.Sleep(stallStep)
	}
	d := l.disk
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.life != l.life {
		return simulation.ErrPowerLost
	}
	return operation()
}

// sync does an operation that makes something durable, in the middle of the time that it takes.
func (l *diskLife) sync(operation func() error) error {
	l.disk.mutex.Lock()
	takes := l.disk.disk.SyncTime * time.Duration(l.disk.slow)
	l.disk.syncs++
	l.disk.mutex.Unlock()
	time.Sleep(takes / 2)
	err := l.run(operation)
	time.Sleep(takes / 2)
	return err
}

func (l *diskLife) stalled() bool {
	l.disk.mutex.Lock()
	defer l.disk.mutex.Unlock()
	return l.disk.stalled && l.disk.life == l.life
}

func (l *diskLife) file(open func() (slots.File, error)) (slots.File, error) {
	var file slots.File
	err := l.run(func() (err error) {
		file, err = open()
		return err
	})
	if err != nil {
		return nil, err
	}
	return &diskFile{life: l, file: file}, nil
}

// Create implements slots.FS.
func (l *diskLife) Create(name string) (slots.File, error) {
	return l.file(func() (slots.File, error) { return l.disk.disk.Create(name) })
}

// Open implements slots.FS.
func (l *diskLife) Open(name string) (slots.File, error) {
	return l.file(func() (slots.File, error) { return l.disk.disk.Open(name) })
}

// ReadAll implements slots.FS.
func (l *diskLife) ReadAll(name string) (content []byte, err error) {
	err = l.run(func() (err error) {
		content, err = l.disk.disk.ReadAll(name)
		return err
	})
	return content, err
}

// Size implements slots.FS.
func (l *diskLife) Size(name string) (size int64, err error) {
	err = l.run(func() (err error) {
		size, err = l.disk.disk.Size(name)
		return err
	})
	return size, err
}

// Rename implements slots.FS.
func (l *diskLife) Rename(from, to string) error {
	return l.run(func() error { return l.disk.disk.Rename(from, to) })
}

// Remove implements slots.FS.
func (l *diskLife) Remove(name string) error {
	return l.run(func() error { return l.disk.disk.Remove(name) })
}

// List implements slots.FS.
func (l *diskLife) List() (names []string, err error) {
	err = l.run(func() (err error) {
		names, err = l.disk.disk.List()
		return err
	})
	return names, err
}

// SyncDir implements slots.FS.
func (l *diskLife) SyncDir() error { return l.sync(l.disk.disk.SyncDir) }

// diskFile is an open file of one life. It implements slots.File.
type diskFile struct {
	life *diskLife
	file slots.File
}

// Write implements slots.File.
func (f *diskFile) Write(data []byte) (count int, err error) {
	err = f.life.run(func() (err error) {
		count, err = f.file.Write(data)
		f.life.disk.written += int64(count)
		return err
	})
	return count, err
}

// Truncate implements slots.File.
func (f *diskFile) Truncate(size int64) error {
	return f.life.run(func() error { return f.file.Truncate(size) })
}

// Sync implements slots.File.
func (f *diskFile) Sync() error { return f.life.sync(f.file.Sync) }

// Close implements slots.File.
func (f *diskFile) Close() error { return f.file.Close() }

// ReadAt implements slots.File.
func (f *diskFile) ReadAt(data []byte, offset int64) (count int, err error) {
	err = f.life.run(func() (err error) {
		count, err = f.file.ReadAt(data, offset)
		return err
	})
	return count, err
}
