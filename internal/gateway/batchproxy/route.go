package batchproxy

// route is the way of one call through the batch processes.
type targetList struct {
	order []string
	tried map[string]bool
	owner string // the owner, where one has been named and not asked yet
}

func newTargetList(order []string) *targetList {
	return &targetList{order: order, tried: map[string]bool{}}
}

// owner notes who owns the batch job by the word of a process.
func (r *targetList) redirect(ip string) {
	if ip != "" && !r.tried[ip] {
		r.owner = ip
	}
}

// next gives the process to ask, empty where all have been.
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

// more tells whether one is left to ask.
func (r *targetList) hasNext() bool {
	for _, ip := range r.order {
		if !r.tried[ip] {
			return true
		}
	}
	return r.owner != ""
}
