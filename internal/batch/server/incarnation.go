package server

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// incarnation identifies the content of a disk, from the first start on the empty disk until the disk is lost, and
// counts the starts of the process on it. A store that lost its disk comes back with a different id, so that other
// stores don't mistake it for the store that holds its earlier batch jobs.
type incarnation struct {
	id         string // 16 hexadecimal digits
	starts     uint64 // number of starts, this one included; the state machine's process incarnation
	unreadable bool   // the file existed and was corrupt, so a new incarnation was begun
}

// incarnationFile is the name of the file that holds the id and the number of starts, separated by a space and
// followed by a newline.
const incarnationFile = "life"

// errNoDataDir ends the process at its start: a store needs a disk.
var errNoDataDir = errors.New("server: no data-dir in the settings")

// openIncarnation reads the incarnation of a disk, and counts this start durably. If the disk is empty or the file
// is corrupt, it begins a new incarnation: the process then joins as a new store, with the replicas in its log.
func openIncarnation(directory string) (incarnation, error) {
	if directory == "" {
		return incarnation{}, errNoDataDir
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return incarnation{}, err
	}
	var opened incarnation
	text, err := os.ReadFile(filepath.Join(directory, incarnationFile))
	switch {
	case errors.Is(err, os.ErrNotExist):
		opened.id, err = newIncarnationID()
	case err == nil:
		if _, scanErr := fmt.Sscanf(string(text), "%s %d\n", &opened.id, &opened.starts); scanErr != nil {
			opened = incarnation{unreadable: true}
			opened.id, err = newIncarnationID()
		}
	}
	if err != nil {
		return incarnation{}, err
	}
	opened.starts++
	return opened, opened.write(directory)
}

// newIncarnationID returns a new id. It is random, because an empty disk has no record of earlier ids.
func newIncarnationID() (string, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(random[:]), nil
}

// write replaces the incarnation file atomically and durably.
func (i incarnation) write(directory string) error {
	path := filepath.Join(directory, incarnationFile)
	file, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(file, "%s %d\n", i.id, i.starts)
	err = errors.Join(err, file.Sync(), file.Close())
	if err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	parent, err := os.Open(directory)
	if err != nil {
		return err
	}
	return errors.Join(parent.Sync(), parent.Close())
}
