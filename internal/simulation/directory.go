package simulation

import (
	"io/fs"
	"syscall"

	"sprucelane.example/sprucelane/coord/slots"
)

// directoryChange is a file that was created, renamed or removed. from is empty for a created
// file, and to is empty for a removed one.
type directoryChange struct {
	from, to string
	file     *inode
}

// apply makes the change to the entries of a directory.
func (c directoryChange) apply(entries map[string]*inode) {
	if c.from != "" {
		delete(entries, c.from)
	}
	if c.to != "" {
		entries[c.to] = c.file
	}
}

// changeDirectory makes a change to the directory that is not durable yet.
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

// find returns the file with a name, or an error for the named operation.
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
	for _, change := range d.unsynced {
		change.apply(d.durableEntries)
	}
	d.unsynced = nil
	return nil
}

// syncFile makes the contents of a file durable, and its name if the creation of the file isn't durable yet:
// most file systems do so, though POSIX doesn't require it.
func (d *Disk) syncFile(file *inode) {
	d.latency += d.SyncTime
	file.sync()
	kept := d.unsynced[:0]
	for _, change := range d.unsynced {
		if change.file == file && change.from == "" {
			change.apply(d.durableEntries)
			continue
		}
		kept = append(kept, change)
	}
	d.unsynced = kept
}
