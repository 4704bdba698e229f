package quotaclient

import (
	"time"

	"github.com/rs/zerolog"
)

// rejectionLogInterval is the least time between two log lines on the same tenant.
const rejectionLogInterval = 10 * time.Second

// tenantRejections are a tenant's rejections since the last log line.
type tenantRejections struct {
	overLimit   int
	unreachable int // while the allocator had timed out
}

// rejectionLog logs which tenants are rejected. The limiter's mutex guards it.
type rejectionLog struct {
	next    time.Duration
	tenants map[string]tenantRejections
}

// record counts a rejection.
func (r *rejectionLog) record(tenant string, unreachable bool) {
	if r.tenants == nil {
		r.tenants = map[string]tenantRejections{}
	}
	one := r.tenants[tenant]
	if unreachable {
		one.unreachable++
	} else {
		one.overLimit++
	}
	r.tenants[tenant] = one
}

// write logs a line for each tenant with rejections.
func (r *rejectionLog) write(now time.Duration, log *zerolog.Logger) {
	if len(r.tenants) == 0 || now < r.next {
		return
	}
	r.next = now + rejectionLogInterval
	for tenant, one := range r.tenants {
		log.Info().Str("tenant", tenant).Int("over_limit", one.overLimit).
			Int("no_allocator", one.unreachable).Msg("quota_rejected")
	}
	clear(r.tenants)
}
