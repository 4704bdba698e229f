// Package ruda computes the score of the RUDA decision algorithm, equation 1 of "Towards a degradation-based
// mechanism for adaptive overload control": which group of requests frees the most resource at the least
// loss when it is degraded. It is pure: it has no state, reads no clock, and doesn't decide how the score is
// used.
//
// The paper's formula, with its names:
//
//	f = (1/v) * (r / Σr) * (Σq / q)
//
// where v is the group's priority (the sum over all groups is 1), r the resource that it used, and q the
// number of requests that it sent. The callers define groups, r and q, and decide how much of a group is
// degraded (docs/design/limits.md).
package ruda

import "math"

// minDenominator avoids divisions by zero.
const minDenominator = 1e-9

// Score returns a group's score f. The group with the highest score is degraded first. The parameters have
// the paper's names: v is the group's priority, greater than 0; r its resource and sumR that of all groups; q
// its requests and sumQ those of all groups.
func Score(v, r, sumR, q, sumQ float64) float64 {
	return 1 / v * (r / math.Max(sumR, minDenominator)) * (sumQ / math.Max(q, minDenominator))
}

// Priorities returns the priorities v of groups from their ranks, 0 being the most urgent: 1/(1+rank), scaled
// so that the sum is 1.
func Priorities(ranks []int) []float64 {
	priorities := make([]float64, len(ranks))
	sum := 0.0
	for i, rank := range ranks {
		priorities[i] = 1 / (1 + math.Max(0, float64(rank)))
		sum += priorities[i]
	}
	for i := range priorities {
		priorities[i] /= sum
	}
	return priorities
}
