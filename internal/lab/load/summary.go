package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sum is what a part of the records comes to.
type Sum struct {
	Tries   int
	Offered float64 // worth asked for inside the quotas
	InTime  float64 // and of it what was served within the aims
	Ends    [ends]int
	Retried int
	Took    *hdrhistogram.Histogram // of served tries, in microseconds from the moment they were meant for
}

// Share is the worth served in time over that offered; 1 where nothing was.
func (s Sum) Share() float64 {
	if s.Offered <= 0 {
		return 1
	}
	return s.InTime / s.Offered
}

// Quantile is how long the slowest of a share of the served tries took.
func (s Sum) Quantile(percent float64) time.Duration {
	return time.Duration(s.Took.ValueAtQuantile(percent)) * time.Microsecond
}

const longest = 2 * time.Minute // that a histogram tells apart

// Summarise adds up the records that are wanted; nil: all.
func Summarise(records []Record, classes []Class, want func(Record) bool) Sum {
	s := Sum{Took: hdrhistogram.New(1, longest.Microseconds(), 3)}
	for _, r := range records {
		if want != nil && !want(r) {
			continue
		}
		s.Tries++
		s.Ends[r.End]++
		if r.Retried {
			s.Retried++
		}
		if r.Inside {
			s.Offered += r.Worth
			if r.InTime(classes) {
				s.InTime += r.Worth
			}
		}
		if r.End == Served {
			s.Took.RecordValue(min(max(r.Took.Microseconds(), 1), longest.Microseconds()))
		}
	}
	return s
}
