package serverload

// maxRecent bounds the requests that a Recent remembers.
const maxRecent = 16

// Recent remembers when the latest requests of a process were sent to a server, as the server's last report may be from
// before. Times are nanoseconds of one clock.
type Recent struct{ times []int64 }

// Add notes that a request is sent.
func (r *Recent) Add(now int64) {
	if len(r.times) == maxRecent {
		r.times = append(r.times[:0], r.times[1:]...)
	}
	r.times = append(r.times, now)
}

// CountSince returns the number of requests that were sent after a moment.
func (r *Recent) CountSince(moment int64) int {
	count := 0
	for i := len(r.times) - 1; i >= 0 && r.times[i] > moment; i-- {
		count++
	}
	return count
}
