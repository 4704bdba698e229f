package soak

import (
	"fmt"
	"os"
	"strings"
	"sync"

	"sprucelane.example/sprucelane/coord/transport/partition"
	"sprucelane.example/sprucelane/internal/lab/system"
)

// network keeps which machines are cut off from which, in a file that the processes read.
type partitionSet struct {
	path string

	mu     sync.Mutex
	lastID int
	active map[int][]partition.Link
}

func newPartitionSet(path string) (*partitionSet, error) {
	n := &partitionSet{path: path, active: map[int][]partition.Link{}}
	return n, n.write()
}

// logLevel makes the processes tell each call.
const debugLogging = "SPRUCELANE_LOG_LEVEL=debug"

// environment tells a machine's processes where the file is and who they are.
func (n *partitionSet) environment(m system.Machine) []string {
	return []string{partition.EnvFile + "=" + n.path, partition.EnvHost + "=" + m.IP, debugLogging}
}

// cut cuts ways off, and gives what heals them.
func (n *partitionSet) add(ways []partition.Link) (heal func(), err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastID++
	number := n.lastID
	n.active[number] = ways
	heal = func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.active, number)
		_ = n.write() // the next one mends it, heal at the latest
	}
	return heal, n.write()
}

// heal heals all.
func (n *partitionSet) healAll() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.active)
	return n.write()
}

// write replaces the file whole.
func (n *partitionSet) write() error {
	var text strings.Builder
	for _, ways := range n.active {
		for _, way := range ways {
			fmt.Fprintln(&text, way.From, way.To)
		}
	}
	next := n.path + ".next"
	if err := os.WriteFile(next, []byte(text.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.path)
}

// between gives the ways between two groups of machines, in one direction or both.
func linksBetween(from, to []system.Machine, both bool) []partition.Link {
	var ways []partition.Link
	for _, a := range from {
		for _, b := range to {
			if a.IP == b.IP {
				continue
			}
			ways = append(ways, partition.Link{From: a.IP, To: b.IP})
			if both {
				ways = append(ways, partition.Link{From: b.IP, To: a.IP})
			}
		}
	}
	return ways
}
