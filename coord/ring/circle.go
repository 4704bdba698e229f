package ring

// Successors returns up to count other names that follow a name on the circle, the nearest first. The name itself
// need not be in the ring.
func (r *Ring) Successors(name string, count int) []string {
	index, found := r.search(name)
	if found {
		index++
	}
	others := r.otherCount(found)
	names := make([]string, 0, min(count, others))
	for i := range min(count, others) {
		names = append(names, r.nodes[(index+i)%len(r.nodes)].name)
	}
	return names
}

// Predecessors returns up to count other names that precede a name on the circle, the nearest first. The name
// itself need not be in the ring. For the same count, a is among the predecessors of b exactly if b is among the
// successors of a.
func (r *Ring) Predecessors(name string, count int) []string {
	index, found := r.search(name)
	others := r.otherCount(found)
	names := make([]string, 0, min(count, others))
	for i := range min(count, others) {
		// index-1-i is at least -len(r.nodes), so adding twice the length keeps the sum positive.
		names = append(names, r.nodes[(index-1-i+2*len(r.nodes))%len(r.nodes)].name)
	}
	return names
}

// otherCount returns the number of names in the ring other than a given name. found reports whether that name is in
// the ring.
func (r *Ring) otherCount(found bool) int {
	if found {
		return len(r.nodes) - 1
	}
	return len(r.nodes)
}
