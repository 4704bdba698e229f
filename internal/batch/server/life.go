package server

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"sprucelane.example/sprucelane/internal/batch/job"
)

// life names a disk's life, and counts the starts of the process on it.
type life struct {
	incarnation string
	number      uint64
}

const lifeFile = "life"

var errNoDisk = errors.New("batch: no data-dir in the settings")

// openLife reads the life on a disk, or begins one on an empty disk, and counts this start, durably.
func openLife(directory string) (life, error) {
	if directory == "" {
		return life{}, errNoDisk
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return life{}, err
	}
	var l life
	text, err := os.ReadFile(filepath.Join(directory, lifeFile))
	switch {
	case errors.Is(err, os.ErrNotExist):
		l.incarnation, err = newIncarnation()
	case err == nil:
		if _, scanned := fmt.Sscanf(string(text), "%s %d", &l.incarnation, &l.number); scanned != nil {
			err = fmt.Errorf("%w: %s: %w", job.ErrCorrupt, lifeFile, scanned)
		}
	}
	if err != nil {
		return life{}, err
	}
	l.number++
	return l, l.write(directory)
}

func newIncarnation() (string, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(random[:]), nil
}

// write replaces the file whole: it is there in its old or its new form at any moment.
func (l life) write(directory string) error {
	path := filepath.Join(directory, lifeFile)
	file, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(file, "%s %d\n", l.incarnation, l.number)
	err = errors.Join(err, file.Sync(), file.Close())
	if err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	folder, err := os.Open(directory)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// asideFolder holds what a disk held that could not be read, until that happens again.
const asideFolder = "set-aside"

// setAside moves all that a disk holds out of the way, for people to look at, or removes it where it is more than so many bytes:
// the disk is empty then, and the process joins the others as a new store, to be filled by them.
func setAside(directory string, most int64) error {
	aside := filepath.Join(directory, asideFolder)
	if err := os.RemoveAll(aside); err != nil {
		return err
	}
	entries, err := os.ReadDir(directory)
	if err != nil {
		return err
	}
	if sizeOf(entries) > most {
		return removeAll(directory, entries)
	}
	if err := os.Mkdir(aside, 0o755); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := os.Rename(filepath.Join(directory, entry.Name()), filepath.Join(aside, entry.Name())); err != nil {
			return err
		}
	}
	folder, err := os.Open(directory)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

func sizeOf(entries []os.DirEntry) (size int64) {
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil {
			size += info.Size()
		}
	}
	return size
}

func removeAll(directory string, entries []os.DirEntry) error {
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(directory, entry.Name())); err != nil {
			return err
		}
	}
	return nil
}
