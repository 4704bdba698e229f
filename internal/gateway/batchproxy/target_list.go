package batchproxy

// targetList is the stores that one call may still be sent to, by IP.
type targetList struct {
	order []string
	tried map[string]bool
	owner string // of the batch job, if a store has named it and it wasn't asked yet
}

// newTargetList returns a list of stores in the order in which they are asked.
func newTargetList(order []string) *targetList {
	return &targetList{order: order, tried: map[string]bool{}}
}

// redirect notes the owner of the batch job that a store has named. It is asked next.
func (r *targetList) redirect(ip string) {
	if ip != "" && !r.tried[ip] {
		r.owner = ip
	}
}

// next returns the store to ask, or "" if all have been.
func (r *targetList) next() string {
	if ip := r.owner; ip != "" {
		r.owner = ""
		r.tried[ip] = true
		return ip
	}
	for _, ip := range r.order {
		if !r.tried[ip] {
			r.tried[ip] = true
			return ip
		}
	}
	return ""
}

// hasNext reports whether a store is left to ask.
func (r *targetList) hasNext() bool {
	for _, ip := range r.order {
		if !r.tried[ip] {
			return true
		}
	}
	return r.owner != ""
}
