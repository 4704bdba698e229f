package ring

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// node is a name with its hash, which is also its position on the circle.
type node struct {
	name string
	hash uint64
}

// makeNode returns the node of a name.
func makeNode(name string) node {
	return node{name: name, hash: xxhash.Sum64String(name)}
}

// compareByPosition orders nodes by position, and by name where positions are equal.
func compareByPosition(a, b node) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

// Ring is an immutable set of names. The zero value is empty. It may be used by several goroutines at once.
type Ring struct {
	nodes []node // sorted by position, without duplicates
}

// New returns the ring of the given names. Repeated names count once.
func New(names ...string) *Ring {
	nodes := make([]node, 0, len(names))
	for _, name := range names {
		nodes = append(nodes, makeNode(name))
	}
	slices.SortFunc(nodes, compareByPosition)
	return &Ring{nodes: slices.Compact(nodes)}
}

// Len returns the number of names.
func (r *Ring) Len() int {
	return len(r.nodes)
}

// Names returns all names in the order of their positions.
func (r *Ring) Names() []string {
	names := make([]string, 0, len(r.nodes))
	for _, node := range r.nodes {
		names = append(names, node.name)
	}
	return names
}

// Contains reports whether a name is in the ring.
func (r *Ring) Contains(name string) bool {
	_, found := r.search(name)
	return found
}

// With returns the ring with name added. If name is already in the ring, it returns r.
func (r *Ring) With(name string) *Ring {
	index, found := r.search(name)
	if found {
		return r
	}
	return &Ring{nodes: slices.Insert(slices.Clone(r.nodes), index, makeNode(name))}
}

// Without returns the ring with name removed. If name isn't in the ring, it returns r.
func (r *Ring) Without(name string) *Ring {
	index, found := r.search(name)
	if !found {
		return r
	}
	return &Ring{nodes: slices.Delete(slices.Clone(r.nodes), index, index+1)}
}

// search returns the index of a name in nodes and true, or the index at which to insert it and false.
func (r *Ring) search(name string) (index int, found bool) {
	return slices.BinarySearchFunc(r.nodes, makeNode(name), compareByPosition)
}
