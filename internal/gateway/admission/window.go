package admission

import (
	"math"
	"time"
)

const (
	latencyBuckets     = 64 // of a histogram, from a millisecond to about a minute
	bucketsPerDoubling = 4  // each bucket is a fifth wider than the one before
	firstBucket        = time.Millisecond
	recentSlots        = 2 // newest intervals whose attempts alone must miss the target; see stillLate
)

// slot holds a group's counts of one interval.
type slot struct {
	sent    uint32  // requests sent to servers
	count   uint32  // attempts that ended
	late    uint32  // those of count with a latency above the target
	latency float64 // sum over the attempts in seconds, each at most maxLatencyTargets times the target
	buckets [latencyBuckets]uint16
}

// add counts an attempt with a latency.
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

// bucketOf returns the index of the bucket for a latency.
func bucketOf(latency time.Duration) int {
	if latency <= firstBucket {
		return 0
	}
	index := bucketsPerDoubling * math.Log2(float64(latency)/float64(firstBucket))
	return min(int(math.Ceil(index)), latencyBuckets-1)
}

// bucketTop returns the upper bound of a bucket.
func bucketTop(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}

// recent sums the attempts of the newest slots: of as many slots as are needed for minSamples attempts. The sent
// and latency of the sum are 0.
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

// percentile90 returns the 90th percentile of the latency, rounded up to the upper bound of a bucket.
func (s *slot) percentile90() time.Duration {
	left := uint32(math.Ceil((1 - maxLateShare) * float64(s.count)))
	for i, n := range s.buckets {
		if uint32(n) >= left {
			return bucketTop(i)
		}
		left -= uint32(n)
	}
	return bucketTop(latencyBuckets - 1)
}

// missesTarget reports whether the 90th percentile of the latency exceeds the target, by more than chance explains
// for this number of attempts (normal approximation of the binomial distribution).
func (s *slot) missesTarget() bool {
	n, late := float64(s.count), float64(s.late)
	return late >= minLate && late > n*maxLateShare+significanceBound*math.Sqrt(n*maxLateShare*(1-maxLateShare))
}

// stillLate reports whether the 90th percentile of the newest recentSlots intervals alone misses the target, too:
// attempts from before a step must not cause the next step.
func (g *group) stillLate() bool {
	count, late := uint32(0), uint32(0)
	for back := range recentSlots {
		past := &g.window[(g.current-back+windowSlots)%windowSlots]
		count, late = count+past.count, late+past.late
	}
	return late > 0 && float64(late) > maxLateShare*float64(count)
}
