package soak

import (
	"fmt"
	"os"
	"strings"
	"sync"

	"sprucelane.example/sprucelane/coord/transport/partition"
	"sprucelane.example/sprucelane/internal/lab/system"
)

// partitionSet holds the partitions in force, in a file that all processes watch; see coord/transport/partition.
type partitionSet struct {
	path string

	mu     sync.Mutex // guards the fields below, and the file: it always holds the links of all active partitions
	lastID int
	active map[int][]partition.Link // by id; partitions may overlap
}

func newPartitionSet(path string) (*partitionSet, error) {
	p := &partitionSet{path: path, active: map[int][]partition.Link{}}
	return p, p.writeLocked()
}

// debugLogging has the processes log each call.
const debugLogging = "SPRUCELANE_LOG_LEVEL=debug"

// environment returns the variables that tell a machine's processes the path of the file and their own address.
func (p *partitionSet) environment(m system.Machine) []string {
	return []string{partition.EnvFile + "=" + p.path, partition.EnvHost + "=" + m.IP, debugLogging}
}

// add partitions links, and returns the function that heals them.
func (p *partitionSet) add(links []partition.Link) (heal func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	id := p.lastID
	p.active[id] = links
	heal = func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.active, id)
		_ = p.writeLocked() // a failed write is made up for by the next one, at the latest by healAll, which reports it
	}
	return heal, p.writeLocked()
}

// healAll ends all partitions.
func (p *partitionSet) healAll() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.active)
	return p.writeLocked()
}

// writeLocked replaces the file in one step, so that no process reads a part of it.
func (p *partitionSet) writeLocked() error {
	var text strings.Builder
	for _, links := range p.active {
		for _, link := range links {
			fmt.Fprintln(&text, link.From, link.To)
		}
	}
	next := p.path + ".next"
	if err := os.WriteFile(next, []byte(text.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.path)
}

// linksBetween returns the links from one group of machines to another, or in both directions. A machine has
// none to itself.
func linksBetween(from, to []system.Machine, bothDirections bool) []partition.Link {
	var links []partition.Link
	for _, a := range from {
		for _, b := range to {
			if a.IP == b.IP {
				continue
			}
			links = append(links, partition.Link{From: a.IP, To: b.IP})
			if bothDirections {
				links = append(links, partition.Link{From: b.IP, To: a.IP})
			}
		}
	}
	return links
}
