package quota

import (
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// amount is a number of tokens, or of tokens per second, in millionths of a token. It is an integer so that sums
// over holders are exact: the sum of all outstanding leases returns to zero when the last one ends.
type amount int64

// token is one token, which admits one request.
const token amount = 1e6

// tokens converts a number of tokens to an amount, rounded down.
func tokens(n float64) amount { return amount(math.Floor(n * float64(token))) }

// float returns the amount as a number of tokens.
func (a amount) float() float64 { return float64(a) / float64(token) }

// over returns the inflow during d at a rate of a per second, rounded down.
func (a amount) over(d time.Duration) amount { return amount(math.Floor(float64(a) * d.Seconds())) }

// wholeTokens returns the number of whole tokens, rounded down.
func (a amount) wholeTokens() int64 { return int64(a / token) }

// lease is the size of a local token bucket: its inflow per second and the most that it holds. The zero value
// stands for no lease.
type lease struct{ rate, depth amount }

// plus adds rates and depths.
func (l lease) plus(other lease) lease { return lease{l.rate + other.rate, l.depth + other.depth} }

// minus subtracts rates and depths.
func (l lease) minus(other lease) lease { return lease{l.rate - other.rate, l.depth - other.depth} }

// max returns the larger rate and the larger depth.
func (l lease) max(other lease) lease {
	return lease{max(l.rate, other.rate), max(l.depth, other.depth)}
}

// isZero reports whether there is no lease.
func (l lease) isZero() bool { return l == lease{} }

// toMessage converts a lease to the floating-point numbers of messages. The client rounds down the leases that it
// receives, and the allocator rounds up the leases that clients report.
func (l lease) toMessage() protocol.QuotaLease {
	return protocol.QuotaLease{Rate: l.rate.float(), Depth: l.depth.float()}
}

// leaseFromMessage converts a lease that a holder reports. The floating-point numbers of the message are rounded
// up, so that a lease is never counted as smaller than it is.
func leaseFromMessage(m protocol.QuotaLease) lease {
	if m.Rate <= 0 && m.Depth <= 0 {
		return lease{}
	}
	return lease{tokens(m.Rate) + 1, tokens(m.Depth) + 1}
}

// bucket is a token bucket. Its level may be negative: requests that are charged after the fact
// (Client.Charge) leave a debt.
type bucket struct {
	level      amount
	refilledAt time.Duration
}

// refill adds the inflow (per second) since the last refill and limits the level to depth.
func (b *bucket) refill(now time.Duration, inflow, depth amount) {
	if now > b.refilledAt {
		b.level += max(0, inflow).over(now - b.refilledAt)
		b.refilledAt = now
	}
	b.level = min(b.level, depth)
}
