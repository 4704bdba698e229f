// Package ruda owns the score of the RUDA decision algorithm ("Towards a degradation-based mechanism for adaptive overload
// control", equation 1): which group of requests gives the most resource back for the least that is lost. It must never hold
// state, read a clock or choose what is done with the score.
package ruda

import "math"

// leastSum keeps a division by a sum of nothing defined.
const minDenominator = 1e-9

// Score gives f = (1/v) x (r / sum of r) x (sum of q / q) of a group: v is its priority (all groups' sum to 1), r the
// resource that it used and q the requests that it sent. The group with the highest score is degraded first.
func Score(v, r, sumR, q, sumQ float64) float64 {
	return 1 / v * (r / math.Max(sumR, minDenominator)) * (sumQ / math.Max(q, minDenominator))
}

// Priorities gives the groups' priorities from their ranks, 0 the most urgent: 1 / (1 + rank), scaled to sum to 1.
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
