package serverload

// recentMost bounds the requests that are remembered beside a server's word.
const maxRecent = 16

// Recent remembers when the newest requests of a process went to a server, which the server's word may not tell yet. Times are nanoseconds
// of one clock.
type Recent struct{ times []int64 }

// Went notes that a request goes there.
func (r *Recent) Add(now int64) {
	if len(r.times) == maxRecent {
		r.times = append(r.times[:0], r.times[1:]...)
	}
	r.times = append(r.times, now)
}

// Since counts those that went there after a moment.
func (r *Recent) CountSince(moment int64) int {
	count := 0
	for i := len(r.times) - 1; i >= 0 && r.times[i] > moment; i-- {
		count++
	}
	return count
}
