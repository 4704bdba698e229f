package server

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// life names a disk's life, and counts the starts of the process on it.
type incarnation struct {
	id         string
	starts     uint64
	unreadable bool // one was there before and could not be made out
}

const incarnationFile = "life"

var errNoDataDir = errors.New("batch: no data-dir in the settings")

// openLife reads the life on a disk, and counts this start, durably. It begins one on an empty disk, and where the file can't
// be made out: the process joins as a new store then, which holds copies that its log has.
func openIncarnation(directory string) (incarnation, error) {
	if directory == "" {
		return incarnation{}, errNoDataDir
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return incarnation{}, err
	}
	var l incarnation
	text, err := os.ReadFile(filepath.Join(directory, incarnationFile))
	switch {
	case errors.Is(err, os.ErrNotExist):
		l.id, err = newIncarnationID()
	case err == nil:
		if _, scanned := fmt.Sscanf(string(text), "%s %d\n", &l.id, &l.starts); scanned != nil {
			l = incarnation{unreadable: true}
			l.id, err = newIncarnationID()
		}
	}
	if err != nil {
		return incarnation{}, err
	}
	l.starts++
	return l, l.write(directory)
}

func newIncarnationID() (string, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(random[:]), nil
}

// write replaces the file whole: it is there in its old or its new form at any moment.
func (l incarnation) write(directory string) error {
	path := filepath.Join(directory, incarnationFile)
	file, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(file, "%s %d\n", l.id, l.starts)
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
