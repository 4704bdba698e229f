package quota

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// entitlement is what one incarnation of a gateway may spend at most, computed from the messages alone. It
// checks the Client.
type entitlement struct {
	sequence    uint64 // of the request that was sent last
	sentAt      time.Duration
	replyTaken  bool
	leaseExpiry time.Duration
	tenants     map[string]*tenantEntitlement
}

// tenantEntitlement is one tenant's part.
type tenantEntitlement struct {
	poolTokens []tokenBatch
	rate       float64 // of the lease
	depth      float64
	level      float64
	refilledAt time.Duration
}

// entitlementRounding is the number of tokens by which the level may be too low because of rounding.
const entitlementRounding = 1e-3

func newEntitlement() entitlement {
	return entitlement{replyTaken: true, tenants: map[string]*tenantEntitlement{}}
}

// of finds or adds a tenant's part.
func (e *entitlement) of(tenant string) *tenantEntitlement {
	part := e.tenants[tenant]
	if part == nil {
		part = &tenantEntitlement{}
		e.tenants[tenant] = part
	}
	return part
}

// sent notes the newest request.
func (e *entitlement) sent(now time.Duration, sequence uint64) {
	e.sequence, e.sentAt, e.replyTaken = sequence, now, false
}

// replied applies a reply if it answers the newest request in time. Lifetimes count from when the request was
// sent.
func (e *entitlement) replied(now time.Duration, reply *protocol.QuotaReply) {
	if e.replyTaken || reply.Sequence != e.sequence || reply.Term == 0 || reply.Unknown || now-e.sentAt > replyTimeout {
		return
	}
	e.replyTaken = true
	e.expireLeases(now)
	e.leaseExpiry = max(e.leaseExpiry, e.sentAt+reply.LeaseFor)
	for _, grant := range reply.Grants {
		part := e.of(grant.Tenant)
		part.refill(now)
		if grant.Change {
			part.rate, part.depth = grant.Lease.Rate, grant.Lease.Depth
		}
		if grant.Tokens > 0 {
			part.poolTokens = append(part.poolTokens, tokenBatch{grant.Tokens, e.sentAt + grant.ExpiresAfter})
		}
	}
}

// expireLeases ends the leases when their time is over.
func (e *entitlement) expireLeases(now time.Duration) {
	if now < e.leaseExpiry {
		return
	}
	for _, part := range e.tenants {
		part.rate, part.depth, part.level = 0, 0, 0
	}
}

func (e *tenantEntitlement) refill(now time.Duration) {
	e.level = min(e.level+e.rate*(now-e.refilledAt).Seconds(), e.depth)
	e.refilledAt = now
}

// spend takes a token for an admitted request, and panics if there is none.
func (e *entitlement) spend(g *simGateway, tenant string) {
	now, part := g.clock.read(), e.of(tenant)
	e.expireLeases(now)
	for len(part.poolTokens) > 0 {
		first := &part.poolTokens[0]
		if first.expiresAt > now && first.tokens > 0 {
			first.tokens--
			return
		}
		part.poolTokens = part.poolTokens[1:]
	}
	part.refill(now)
	if part.level < 1-entitlementRounding && !g.sim.windowsOnly {
		panic(fmt.Sprintf("at %v %s spent a token of %s without a grant in force", g.sim.now, g.node, tenant))
	}
	part.level--
}

// returned takes back a token, unless it would have expired by now.
func (e *entitlement) returned(now, taken time.Duration, tenant string) {
	e.expireLeases(now)
	if part := e.of(tenant); now-taken <= maxTokenTTL {
		part.refill(now)
		part.level = min(part.level+1, part.depth)
	}
}
