package serverload

// maxRecent bounds the requests that a Recent remembers.
const maxRecent = 16

// Recent holds the times at which this process sent its latest requests to a server. Those that were sent
// after the server's last report have to be added to it. Times are nanoseconds of one clock. It isn't safe
// for concurrent use.
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
