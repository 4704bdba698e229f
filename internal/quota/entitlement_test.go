package quota

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// entitlement is the most that one incarnation of a gateway may spend, computed from its messages alone. The Client
// is checked against it.
type entitlement struct {
	sequence      uint64 // of the newest request
	sentAt        time.Duration
	replyAccepted bool
	leaseExpiry   time.Duration
	tenants       map[string]*tenantEntitlement
}

// tenantEntitlement is one tenant's part of an entitlement.
type tenantEntitlement struct {
	poolTokens []tokenBatch
	rate       float64 // of the lease
	depth      float64
	level      float64
	refilledAt time.Duration
}

// entitlementRounding is the number of tokens by which the computed level may be too low because of rounding.
const entitlementRounding = 1e-3

func newEntitlement() entitlement {
	return entitlement{replyAccepted: true, tenants: map[string]*tenantEntitlement{}}
}

// tenantPart returns a tenant's part, and adds it if it is new.
func (e *entitlement) tenantPart(tenant string) *tenantEntitlement {
	part := e.tenants[tenant]
	if part == nil {
		part = &tenantEntitlement{}
		e.tenants[tenant] = part
	}
	return part
}

// recordRequest records the newest request.
func (e *entitlement) recordRequest(now time.Duration, sequence uint64) {
	e.sequence, e.sentAt, e.replyAccepted = sequence, now, false
}

// applyReply applies a reply if it answers the newest request within replyTimeout. Lifetimes count from when the
// request was sent.
func (e *entitlement) applyReply(now time.Duration, reply *protocol.QuotaReply) {
	if e.replyAccepted || reply.Sequence != e.sequence || reply.Term == 0 || reply.Unknown || now-e.sentAt > replyTimeout {
		return
	}
	e.replyAccepted = true
	e.expireLeases(now)
	e.leaseExpiry = max(e.leaseExpiry, e.sentAt+reply.LeaseFor)
	for _, grant := range reply.Grants {
		part := e.tenantPart(grant.Tenant)
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

// spend takes a token for an admitted request. It panics if there is none.
func (e *entitlement) spend(g *simGateway, tenant string) {
	now, part := g.clock.read(), e.tenantPart(tenant)
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

// recordReturn adds a returned token to the lease, unless a pool token taken at the same time would have expired.
func (e *entitlement) recordReturn(now, taken time.Duration, tenant string) {
	e.expireLeases(now)
	if part := e.tenantPart(tenant); now-taken <= maxTokenTTL {
		part.refill(now)
		part.level = min(part.level+1, part.depth)
	}
}
