package serverload

// maxRecent is the number of requests whose times a Recent keeps.
const maxRecent = 16

// Recent holds the times at which this process sent its latest requests to a server. Requests that were sent after
// the server's last report have to be added to the reported load. Times are nanoseconds of one clock. A Recent isn't
// safe for concurrent use.
type Recent struct{ times []int64 }

// Add records that a request is sent now.
func (r *Recent) Add(now int64) {
	if len(r.times) == maxRecent {
		r.times = append(r.times[:0], r.times[1:]...)
	}
	r.times = append(r.times, now)
}

// CountSince returns the number of requests that were sent after moment, at most maxRecent.
func (r *Recent) CountSince(moment int64) int {
	count := 0
	for i := len(r.times) - 1; i >= 0 && r.times[i] > moment; i-- {
		count++
	}
	return count
}
