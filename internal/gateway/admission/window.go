package admission

import (
	"math"
	"time"
)

const (
	latencyBuckets     = 64 // of a histogram; from a millisecond to about a minute
	bucketsPerDoubling = 4  // each bucket is a fifth wider than the one before
	firstBucket        = time.Millisecond
	recentSlots        = 2 // newest intervals, which must miss the target by themselves
)

// slot is one interval's counts of a group.
type slot struct {
	sent    uint32  // requests
	count   uint32  // attempts that ended
	late    uint32  // of these, with a latency above the target
	latency float64 // sum, in seconds; of each attempt at most maxLatencyTargets
	buckets [latencyBuckets]uint16
}

// add counts an attempt.
func (s *slot) add(latency, target time.Duration) {
	s.count++
	if latency > target {
		s.late++
	}
	s.latency += min(max(0, latency), maxLatencyTargets*target).Seconds()
	if b := &s.buckets[bucketOf(latency)]; *b < math.MaxUint16 {
		*b++
	}
}

// bucketOf returns the bucket of a latency.
func bucketOf(latency time.Duration) int {
	if latency <= firstBucket {
		return 0
	}
	index := bucketsPerDoubling * math.Log2(float64(latency)/float64(firstBucket))
	return min(int(math.Ceil(index)), latencyBuckets-1)
}

// bucketTop returns the longest latency of a bucket.
func bucketTop(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}

// recent sums the newest slots, as many as needed for minSamples.
func (g *group) recent() (sum slot) {
	for back := 0; back < windowSlots && sum.count < minSamples; back++ {
		past := &g.window[(g.current-back+windowSlots)%windowSlots]
		sum.count += past.count
		sum.late += past.late
		for i, n := range past.buckets {
			sum.buckets[i] += n
		}
	}
	return sum
}

// percentile90 returns the 90th percentile of the latency, rounded up to a bucket.
func (s *slot) percentile90() time.Duration {
	left := uint32(math.Ceil((1 - lateShare) * float64(s.count)))
	for i, n := range s.buckets {
		if uint32(n) >= left {
			return bucketTop(i)
		}
		left -= uint32(n)
	}
	return bucketTop(latencyBuckets - 1)
}

// missesTarget reports whether the 90th percentile exceeds the target, significantly for the number of
// attempts (normal approximation of the binomial distribution).
func (s *slot) missesTarget() bool {
	n, late := float64(s.count), float64(s.late)
	return late >= minLate && late > n*lateShare+chanceBound*math.Sqrt(n*lateShare*(1-lateShare))
}

// stillLate reports whether the newest intervals alone miss the target as well: latencies from before a step
// don't call for the next one.
func (g *group) stillLate() bool {
	count, late := uint32(0), uint32(0)
	for back := range recentSlots {
		past := &g.window[(g.current-back+windowSlots)%windowSlots]
		count, late = count+past.count, late+past.late
	}
	return late > 0 && float64(late) > lateShare*float64(count)
}
