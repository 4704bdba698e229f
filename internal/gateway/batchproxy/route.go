package batchproxy

// route is the way of one call through the batch processes.
type route struct {
	order []string
	asked map[string]bool
	named string // the owner, where one has been named and not asked yet
}

func newRoute(order []string) *route { return &route{order: order, asked: map[string]bool{}} }

// owner notes who owns the batch job by the word of a process.
func (r *route) owner(ip string) {
	if ip != "" && !r.asked[ip] {
		r.named = ip
	}
}

// next gives the process to ask, empty where all have been.
func (r *route) next() string {
	if ip := r.named; ip != "" {
		r.named = ""
		r.asked[ip] = true
		return ip
	}
	for _, ip := range r.order {
		if !r.asked[ip] {
			r.asked[ip] = true
			return ip
		}
	}
	return ""
}

// more tells whether one is left to ask.
func (r *route) more() bool {
	for _, ip := range r.order {
		if !r.asked[ip] {
			return true
		}
	}
	return r.named != ""
}
