package quotaclient

import (
	"time"

	"github.com/rs/zerolog"
)

// rejectionLogInterval is the minimum time between two log lines on the same tenant.
const rejectionLogInterval = 10 * time.Second

// tenantRejections are a tenant's rejections since the last log line.
type tenantRejections struct {
	overLimit   int
	unreachable int // rejections while the allocator had timed out
}

// rejectionLog logs the number of rejected requests by tenant. The limiter's mutex guards it.
type rejectionLog struct {
	next    time.Duration
	tenants map[string]tenantRejections
}

// record counts a rejection.
func (r *rejectionLog) record(tenant string, unreachable bool) {
	if r.tenants == nil {
		r.tenants = map[string]tenantRejections{}
	}
	rejections := r.tenants[tenant]
	if unreachable {
		rejections.unreachable++
	} else {
		rejections.overLimit++
	}
	r.tenants[tenant] = rejections
}

// write logs a line for each tenant with rejections, at most every rejectionLogInterval.
func (r *rejectionLog) write(now time.Duration, log *zerolog.Logger) {
	if len(r.tenants) == 0 || now < r.next {
		return
	}
	r.next = now + rejectionLogInterval
	for tenant, rejections := range r.tenants {
		log.Info().Str("tenant", tenant).Int("over_limit", rejections.overLimit).
			Int("no_allocator", rejections.unreachable).Msg("quota_rejected")
	}
	clear(r.tenants)
}
