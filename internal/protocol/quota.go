package protocol

import "time"

// QuotaRequest asks the allocator for tokens of tenants, and renews the sender's leases.
type QuotaRequest struct {
	Process  Process
	Sequence uint64 // of this process's requests, rising
	Acked    uint64 // the highest sequence whose reply was received
	Term     uint64 // of the allocator that sent that reply, 0: none
	Whole    bool   // a full report: Demands has every lease of the sender
	Demands  []QuotaDemand
}

// QuotaDemand is what one tenant needs at the sender.
type QuotaDemand struct {
	Tenant string
	Rate   float64    // requests a second that arrive here, rejected ones included; 0: the lease is no longer wanted
	Want   int        // tokens wanted now
	Held   QuotaLease // in a request with Whole: the lease that the sender has
}

// QuotaLease is the right to spend tokens of a tenant without asking: a local token bucket.
type QuotaLease struct {
	Rate  float64 // refill, tokens a second
	Depth float64 // burst, tokens
}

// QuotaReply grants tokens and leases. It renews every lease of the receiver; leases that change are in
// Grants.
type QuotaReply struct {
	Term     uint64 // of the allocator; 0: the process isn't the allocator now, and grants nothing
	Sequence uint64 // of the request
	// Unknown says that the allocator doesn't know the receiver, or knows its leases from another term only: a
	// request with Whole is wanted.
	Unknown  bool
	LeaseFor time.Duration // from when the request was sent, by the receiver's clock
	AskGap   time.Duration // least time between requests
	Grants   []QuotaGrant
}

// QuotaGrant is what one tenant is granted.
type QuotaGrant struct {
	Tenant       string
	Tokens       int
	ExpiresAfter time.Duration // of the tokens: from when the request was sent, by the receiver's clock
	RetryAfter   time.Duration // until more tokens are there, where fewer were granted than wanted
	Change       bool          // Lease replaces the receiver's
	Lease        QuotaLease
}
