package ratelimit

import (
	"math"
	"time"
)

// BucketShare is one gateway's share of a customer's hard rate limit: a token bucket with the share's rate and
// burst. A gateway admits from its own share only. Tokens move between gateways by grants: the sender subtracts them
// before it sends the message, and the receiver adds them, up to its own burst. Hence the shares of n gateways
// together never hold more than the limit's burst, whichever messages are lost; a lost grant is lost to all gateways.
//
// Tokens in transit are counted nowhere while the sender's bucket refills. The receiver therefore ignores a grant that
// arrives late (Receive), and the limit is exceeded at most by its rate times the time that a grant may be in transit.
type BucketShare struct {
	// Tokens is in units. It can be negative: attempts that were sent by another process or under other settings are
	// charged without a check, and the reserved units that Refill subtracts can exceed the burst.
	Tokens float64
}

// Limit is the rate, in units per second, and the burst, in units, of a customer's token bucket or of one share.
type Limit struct{ Rate, Burst float64 }

// Refill refills the bucket for the elapsed time, up to the burst less the reserved units, which requests in progress
// will draw later.
func (b *BucketShare) Refill(l Limit, elapsed time.Duration, reserved float64) {
	b.Tokens = math.Min(l.Burst-reserved, b.Tokens+math.Max(0, elapsed.Seconds())*l.Rate)
}

// grantSteps is the resolution of a grant message, one byte: the upper four bits are the sender's deficit, which is
// what its share lacks of its burst, and the lower four the tokens that it grants, both in sixteenths of a share's
// burst. All shares of a customer are equal.
const grantSteps = 16

// Grant returns the grant message to a peer that has last reported peerDeficit. It grants the difference of the two
// deficits, divided by the n shares, so that any number of senders level the shares and none grants more than it has in
// excess. The granted tokens are subtracted here.
func (b *BucketShare) Grant(l Limit, peerDeficit byte, n int) byte {
	if l.Burst <= 0 {
		return 0
	}
	deficit := math.Max(0, math.Min(1, 1-b.Tokens/l.Burst))
	grant := 0.0
	if gap := float64(peerDeficit)/grantSteps - deficit; gap > 0 && n > 1 {
		grant = math.Floor(gap * grantSteps / float64(n))
		b.Tokens -= grant / grantSteps * l.Burst
		deficit += grant / grantSteps
	}
	return byte(math.Min(grantSteps-1, math.Floor(deficit*grantSteps)))<<4 | byte(grant)
}

// Receive adds the tokens of a peer's grant message, unless it is late. It returns the peer's deficit, and whether the
// two shares are so uneven that one should grant tokens to the other, so that a message to the peer is due.
func (b *BucketShare) Receive(l Limit, message byte, n int, late bool) (peerDeficit byte, uneven bool) {
	peerDeficit = message >> 4
	if l.Burst <= 0 {
		return 0, false
	}
	if !late {
		granted := float64(message&(grantSteps-1)) / grantSteps * l.Burst
		b.Tokens = math.Max(b.Tokens, math.Min(l.Burst, b.Tokens+granted))
	}
	difference := float64(peerDeficit)/grantSteps - math.Max(0, 1-b.Tokens/l.Burst)
	return peerDeficit, math.Abs(difference) >= float64(n)/grantSteps
}
