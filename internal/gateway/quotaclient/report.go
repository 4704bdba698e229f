package quotaclient

import (
	"time"

	"github.com/rs/zerolog"
)

// reportEvery is the least time between two lines on the same tenant.
const rejectionLogInterval = 10 * time.Second

// refusals are a tenant's since the last report.
type tenantRejections struct {
	overLimit   int
	unreachable int // while the allocator didn't answer
}

// report tells the operator which tenants were refused.
type rejectionLog struct {
	next    time.Duration
	tenants map[string]tenantRejections
}

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

// write logs a line a tenant that was refused.
func (r *rejectionLog) write(now time.Duration, log *zerolog.Logger) {
	if len(r.tenants) == 0 || now < r.next {
		return
	}
	r.next = now + rejectionLogInterval
	for tenant, one := range r.tenants {
		log.Info().Str("tenant", tenant).Int("over_limit", one.overLimit).Int("no_allocator", one.unreachable).Msg("quota_refused")
	}
	clear(r.tenants)
}
