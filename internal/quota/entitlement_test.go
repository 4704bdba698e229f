package quota

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// entitlement is what one incarnation of a gateway may spend at most, computed from the messages alone. It checks
// the Client.
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

func (l *entitlement) of(tenant string) *tenantEntitlement {
	part := l.tenants[tenant]
	if part == nil {
		part = &tenantEntitlement{}
		l.tenants[tenant] = part
	}
	return part
}

func (l *entitlement) sent(now time.Duration, sequence uint64) {
	l.sequence, l.sentAt, l.replyTaken = sequence, now, false
}

// replied applies a reply if it answers the newest request in time. Lifetimes count from when the request was sent.
func (l *entitlement) replied(now time.Duration, reply *protocol.QuotaReply) {
	if l.replyTaken || reply.Sequence != l.sequence || reply.Term == 0 || reply.Unknown || now-l.sentAt > replyTimeout {
		return
	}
	l.replyTaken = true
	l.expireLeases(now)
	l.leaseExpiry = max(l.leaseExpiry, l.sentAt+reply.LeaseFor)
	for _, grant := range reply.Grants {
		part := l.of(grant.Tenant)
		part.refill(now)
		if grant.Change {
			part.rate, part.depth = grant.Lease.Rate, grant.Lease.Depth
		}
		if grant.Tokens > 0 {
			part.poolTokens = append(part.poolTokens, tokenBatch{grant.Tokens, l.sentAt + grant.ExpiresAfter})
		}
	}
}

// expireLeases ends the leases when their time is over.
func (l *entitlement) expireLeases(now time.Duration) {
	if now < l.leaseExpiry {
		return
	}
	for _, part := range l.tenants {
		part.rate, part.depth, part.level = 0, 0, 0
	}
}

func (c *tenantEntitlement) refill(now time.Duration) {
	c.level = min(c.level+c.rate*(now-c.refilledAt).Seconds(), c.depth)
	c.refilledAt = now
}

// spend takes a token for an admitted request, and panics if there is none.
func (l *entitlement) spend(g *simGateway, tenant string) {
	now, part := g.clock.read(), l.of(tenant)
	l.expireLeases(now)
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
func (l *entitlement) returned(now, taken time.Duration, tenant string) {
	l.expireLeases(now)
	if part := l.of(tenant); now-taken <= maxTokenTTL {
		part.refill(now)
		part.level = min(part.level+1, part.depth)
	}
}
