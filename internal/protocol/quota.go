package protocol

import "time"

// QuotaRequest asks the allocator for tokens of tenants, and renews the sender's leases.
type QuotaRequest struct {
	Process  Process
	Sequence uint64 // number of the request, rising with each request of the process
	Acked    uint64 // the highest sequence whose reply was received
	Term     uint64 // of the allocator that sent that reply; 0: none
	Whole    bool   // a full report: Demands contains all leases of the sender
	Demands  []QuotaDemand
}

// QuotaDemand is the demand of one tenant at the sender.
type QuotaDemand struct {
	Tenant string
	Rate   float64    // arriving requests per second, including rejected ones; 0: no lease is wanted any more
	Want   int        // number of tokens wanted now
	Held   QuotaLease // the lease that the sender has; only in a request with Whole
}

// QuotaLease is the right to spend tokens of a tenant without asking the allocator: a local token bucket.
type QuotaLease struct {
	Rate  float64 // refill rate in tokens per second
	Depth float64 // burst in tokens
}

// QuotaReply grants tokens and leases. It renews all leases of the receiver; Grants contains the leases that change.
type QuotaReply struct {
	Term     uint64 // of the allocator; 0: the process isn't the active allocator and grants nothing
	Sequence uint64 // of the request that is answered
	// Unknown reports that the allocator doesn't know all leases that the receiver may hold: it doesn't know the receiver,
	// or knows its leases from another term only. The receiver must send a request with Whole.
	Unknown  bool
	LeaseFor time.Duration // lifetime of leases, from when the request was sent, by the receiver's clock
	AskGap   time.Duration // minimum time between requests
	Grants   []QuotaGrant
}

// QuotaGrant is the grant for one tenant.
type QuotaGrant struct {
	Tenant       string
	Tokens       int
	ExpiresAfter time.Duration // lifetime of the tokens, from when the request was sent, by the receiver's clock
	RetryAfter   time.Duration // time until more tokens are available, if fewer were granted than wanted
	Change       bool          // Lease replaces the receiver's lease
	Lease        QuotaLease
}
