package bubble

import (
	"time"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/internal/simulation"
)

// stallPollInterval is how often a blocked operation checks whether the disk is still stalled.
const stallPollInterval = 10 * time.Millisecond

// mount is the disk as one incarnation of the process sees it. It implements slots.FS.
type mount struct {
	disk        *Disk
	incarnation int
}

// do runs an operation as soon as the disk isn't stalled. After the end of the incarnation it returns
// simulation.ErrPowerLost instead.
func (m *mount) do(operation func() error) error {
	for m.stalled() {
		time.Sleep(stallPollInterval)
	}
	d := m.disk
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.incarnation != m.incarnation {
		return simulation.ErrPowerLost
	}
	return operation()
}

// doSync runs an operation that makes changes durable, halfway through the time that it takes: a crash before
// that point finds none of the changes synced, and a crash after it finds all of them synced, though the sync
// hasn't returned.
func (m *mount) doSync(operation func() error) error {
	m.disk.mutex.Lock()
	duration := m.disk.disk.SyncTime * time.Duration(m.disk.syncFactor)
	m.disk.syncs++
	m.disk.mutex.Unlock()
	time.Sleep(duration / 2)
	err := m.do(operation)
	time.Sleep(duration / 2)
	return err
}

// stalled reports whether operations of this mount block.
func (m *mount) stalled() bool {
	m.disk.mutex.Lock()
	defer m.disk.mutex.Unlock()
	return m.disk.stalled && m.disk.incarnation == m.incarnation
}

// openFile runs an operation that opens a file, and returns the file as this mount sees it.
func (m *mount) openFile(open func() (slots.File, error)) (slots.File, error) {
	var file slots.File
	err := m.do(func() (err error) {
		file, err = open()
		return err
	})
	if err != nil {
		return nil, err
	}
	return &diskFile{mount: m, file: file}, nil
}

// Create implements slots.FS.
func (m *mount) Create(name string) (slots.File, error) {
	return m.openFile(func() (slots.File, error) { return m.disk.disk.Create(name) })
}

// Open implements slots.FS.
func (m *mount) Open(name string) (slots.File, error) {
	return m.openFile(func() (slots.File, error) { return m.disk.disk.Open(name) })
}

// ReadAll implements slots.FS.
func (m *mount) ReadAll(name string) (content []byte, err error) {
	err = m.do(func() (err error) {
		content, err = m.disk.disk.ReadAll(name)
		return err
	})
	return content, err
}

// Size implements slots.FS.
func (m *mount) Size(name string) (size int64, err error) {
	err = m.do(func() (err error) {
		size, err = m.disk.disk.Size(name)
		return err
	})
	return size, err
}

// Rename implements slots.FS.
func (m *mount) Rename(from, to string) error {
	return m.do(func() error { return m.disk.disk.Rename(from, to) })
}

// Remove implements slots.FS.
func (m *mount) Remove(name string) error {
	return m.do(func() error { return m.disk.disk.Remove(name) })
}

// List implements slots.FS.
func (m *mount) List() (names []string, err error) {
	err = m.do(func() (err error) {
		names, err = m.disk.disk.List()
		return err
	})
	return names, err
}

// SyncDir implements slots.FS.
func (m *mount) SyncDir() error { return m.doSync(m.disk.disk.SyncDir) }

// diskFile is an open file of one mount. It implements slots.File.
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
