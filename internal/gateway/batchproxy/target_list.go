package batchproxy

// targetList is the list of stores, by IP, that one call may be sent to.
type targetList struct {
	order []string
	tried map[string]bool
	owner string // owner of the batch job, if a store has named it and it hasn't been asked yet
}

// newTargetList returns a list of stores in the order in which they are asked.
func newTargetList(order []string) *targetList {
	return &targetList{order: order, tried: map[string]bool{}}
}

// redirect records the owner of the batch job that a store has named. Unless it has been asked already, it is
// asked next.
func (t *targetList) redirect(ip string) {
	if ip != "" && !t.tried[ip] {
		t.owner = ip
	}
}

// next returns the next store to ask, or "" if all have been asked.
func (t *targetList) next() string {
	if ip := t.owner; ip != "" {
		t.owner = ""
		t.tried[ip] = true
		return ip
	}
	for _, ip := range t.order {
		if !t.tried[ip] {
			t.tried[ip] = true
			return ip
		}
	}
	return ""
}

// hasNext reports whether a store is left to ask.
func (t *targetList) hasNext() bool {
	for _, ip := range t.order {
		if !t.tried[ip] {
			return true
		}
	}
	return t.owner != ""
}
