package slots

// FS is one folder of a disk, with the operations that make files durable. Names are file names without a path.
// Errors for files that don't exist wrap fs.ErrNotExist. [Directory] implements it with the operating system;
// tests use simulated disks.
type FS interface {
	// Create creates an empty file, or truncates an existing one, for writing.
	Create(name string) (File, error)
	// Open opens an existing file for reading, and for writing at its end.
	Open(name string) (File, error)
	// ReadAll returns the whole contents of a file.
	ReadAll(name string) ([]byte, error)
	// Size returns the length of a file in bytes.
	Size(name string) (int64, error)
	// Rename renames a file and replaces an existing file with the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// List returns the names of all files.
	List() ([]string, error)
	// SyncDir makes created, renamed and removed names durable. A sync of a file alone doesn't guarantee that
	// its name survives a loss of power.
	SyncDir() error
}

// File is an open file.
type File interface {
	// Write appends to the file.
	Write(data []byte) (int, error)
	// ReadAt reads at an offset in bytes. It may be called during a concurrent Write.
	ReadAt(data []byte, offset int64) (int, error)
	// Truncate sets the length in bytes.
	Truncate(size int64) error
	// Sync makes the contents and the length durable.
	Sync() error
	// Close closes the file without making anything durable.
	Close() error
}
