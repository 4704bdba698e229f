package replica

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/coord/view"
)

// durableStore is the part of slots.Store that a node uses.
type durableStore interface {
	Append(records ...[]byte) error
	Compact(snapshot []byte) error
	LogBytes() int64
	Close() error
}

// openStore opens the disk and reads what it holds; found is nil for an empty one.
func openStore(fs slots.FS) (store durableStore, found *recoveredState, err error) {
	opened, contents, err := slots.Open(fs, slots.Options{})
	if err != nil {
		return nil, nil, err
	}
	if !contents.Found || len(contents.Snapshot) == 0 {
		return opened, nil, nil
	}
	found, err = recoverState(contents.Snapshot, contents.Records)
	if err != nil {
		return nil, nil, errors.Join(err, opened.Close())
	}
	found.repairs = contents.Findings
	return opened, found, nil
}

// openDisk opens the disk of a starting node. A disk that has lost what it acknowledged is emptied:
// its member is gone, and another one joins in its place.
func (n *Node) openDisk() (*recoveredState, error) {
	fs := n.options.filesystem()
	if fs == nil {
		return nil, nil
	}
	store, found, err := openStore(fs)
	if errors.Is(err, slots.ErrCorrupt) || errors.Is(err, errCorruptRecord) {
		n.options.Log("disk damaged, joining anew", "error", err.Error())
		n.options.Bootstrap = false
		if err := slots.Wipe(fs, slots.Options{}); err != nil {
			return nil, fmt.Errorf("replica: empty the damaged disk: %w", err)
		}
		store, found, err = openStore(fs)
	}
	if err != nil {
		return nil, fmt.Errorf("replica: open the disk: %w", err)
	}
	n.store = store
	n.logRepairs(found)
	return found, nil
}

// tellMended logs the ends that the disk's files lost at this start.
func (n *Node) logRepairs(found *recoveredState) {
	if found == nil {
		return
	}
	for _, finding := range found.repairs {
		n.options.Log("disk mended", "file", finding.File, "offset", finding.Offset, "problem", finding.Problem)
	}
}

// newMember names a life of an empty disk, or of a process without one.
func newMember(options *Options) (view.Member, *view.View, error) {
	member := view.Member{Node: options.Identity.Node, Address: options.Listen}
	var drawn [8]byte
	if _, err := rand.Read(drawn[:]); err != nil {
		return member, nil, fmt.Errorf("replica: draw an incarnation: %w", err)
	}
	member.Incarnation = hex.EncodeToString(drawn[:])
	if !options.Bootstrap {
		return member, nil, nil
	}
	if len(options.Seeds) == 0 {
		return member, nil, ErrNoSeeds
	}
	genesis := view.Genesis(options.Seeds)
	for _, seed := range options.Seeds {
		if seed == options.Listen && options.filesystem() != nil {
			member.Incarnation = view.GenesisIncarnation
		}
	}
	return member, &genesis, nil
}
