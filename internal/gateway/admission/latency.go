package admission

import (
	"math"
	"time"
)

const (
	latencyBuckets     = 64
	bucketsPerDoubling = 4 // buckets in which a latency doubles
	firstBucket        = time.Millisecond
	recentSlots        = 2 // intervals that must miss the target by themselves
)

// slot is what one interval saw of a group. The buckets widen with the latency, by a fifth each, from a millisecond to a
// minute.
type slot struct {
	sent    uint32
	count   uint32
	late    uint32  // beyond the target
	latency float64 // summed, in seconds; each attempt's at most latencyCap targets
	buckets [latencyBuckets]uint16
}

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

func bucketOf(latency time.Duration) int {
	if latency <= firstBucket {
		return 0
	}
	place := bucketsPerDoubling * math.Log2(float64(latency)/float64(firstBucket))
	return min(int(math.Ceil(place)), latencyBuckets-1)
}

// bucketTop is the longest latency of a bucket.
func bucketTop(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}

// recent sums the newest slots, back until there are leastSamples.
func (g *group) recent() (sum slot) {
	for back := 0; back < windowSlots && sum.count < minSamples; back++ {
		one := &g.window[(g.current-back+windowSlots)%windowSlots]
		sum.count += one.count
		sum.late += one.late
		for i, n := range one.buckets {
			sum.buckets[i] += n
		}
	}
	return sum
}

// percentile90 gives the latency that nine in ten stay within, to a bucket.
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

// missesTarget tells whether the 90th percentile passes the target, by more than chance gives so few attempts.
func (s *slot) missesTarget() bool {
	n, late := float64(s.count), float64(s.late)
	return late >= minLate && late > n*lateShare+chanceBound*math.Sqrt(n*lateShare*(1-lateShare))
}

// stillLate tells whether the newest intervals miss the target too, so that what came before a cut doesn't call for the next.
func (g *group) stillLate() bool {
	count, late := uint32(0), uint32(0)
	for back := range recentSlots {
		one := &g.window[(g.current-back+windowSlots)%windowSlots]
		count, late = count+one.count, late+one.late
	}
	return late > 0 && float64(late) > lateShare*float64(count)
}
