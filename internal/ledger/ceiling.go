// Package ledger decides what the gateways hold in common and in what parts. It is pure: no input or output, time is an
// argument. It must never let the parts of all gateways together add up to more than the whole.
package ledger

import (
	"math"
	"time"
)

// Part is one gateway's part of an account's hard ceiling: a store of units that fills at the part's rate and holds no
// more than the part's burst. What a gateway lets in it draws from its own part. Units move from one part to another
// only by a grant, which the giver has drawn before it is sent and the taker adds up to its own burst. So the parts of n
// gateways together never hold more than the ceiling's burst, whoever hears whom and whatever is lost: a grant that is
// lost is lost to all. What is under way is counted nowhere while its giver fills up again: a taker leaves what comes too
// late (Take), and the sum is passed by the ceiling's rate over that time at most.
type BucketShare struct {
	Tokens float64 // units; below 0 while a body that was counted is drawn
}

// Limit is what an account, or one part of it, is given: units a second, and the most units stored.
type Limit struct{ Rate, Burst float64 }

// Fill lets a part fill for some time. What is held back of the burst is for units that count as drawn later.
func (p *BucketShare) Refill(s Limit, d time.Duration, back float64) {
	p.Tokens = math.Min(s.Burst-back, p.Tokens+math.Max(0, d.Seconds())*s.Rate)
}

// Steps of a word: a byte that holds what a part lacks of its burst and what is granted with it, in sixteenths of a
// part's burst. All parts of an account are alike.
const grantSteps = 16

// Word says what a part lacks, and grants some of it to a peer that has last told what it lacks itself. The difference
// is split over all n parts, so that any number of givers even the parts out and none gives what it is short of. What is
// granted is drawn here.
func (p *BucketShare) Grant(s Limit, lacks byte, n int) byte {
	if s.Burst <= 0 {
		return 0
	}
	mine := math.Max(0, math.Min(1, 1-p.Tokens/s.Burst))
	grant := 0.0
	if gap := float64(lacks)/grantSteps - mine; gap > 0 && n > 1 {
		grant = math.Floor(gap * grantSteps / float64(n))
		p.Tokens -= grant / grantSteps * s.Burst
		mine += grant / grantSteps
	}
	return byte(math.Min(grantSteps-1, math.Floor(mine*grantSteps)))<<4 | byte(grant)
}

// Take adds what a peer's word grants, unless it came too late, and tells what the peer lacks, and whether one of the two
// should grant the other something: then this part is to be told of.
func (p *BucketShare) Receive(s Limit, word byte, n int, late bool) (lacks byte, uneven bool) {
	lacks = word >> 4
	if s.Burst <= 0 {
		return 0, false
	}
	if !late {
		p.Tokens = math.Max(p.Tokens, math.Min(s.Burst, p.Tokens+float64(word&(grantSteps-1))/grantSteps*s.Burst))
	}
	return lacks, math.Abs(float64(lacks)/grantSteps-math.Max(0, 1-p.Tokens/s.Burst)) >= float64(n)/grantSteps
}
