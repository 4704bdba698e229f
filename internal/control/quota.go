package control

import (
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/control/machine"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/quota"
)

// foundingEpoch is the epoch of the chain's first view: nobody led before.
const foundingEpoch = 1

// quotaRole is the allocator of quotas, which acts in the process that leads the chain.
type quotaRole struct {
	mutex      sync.Mutex
	allocator  *quota.Allocator
	epoch      uint64 // of the chain in which it acts, 0: it doesn't
	configured uint64 // index of the configuration that it works from
	founds     bool   // this process was started with the system
}

func newQuotaRole(settings *node.Settings, founds bool) *quotaRole {
	rules := quota.Rules{Window: settings.Bounds.QuotaWindow, Overshoot: settings.Bounds.QuotaOvershoot, Slack: settings.Bounds.QuotaSlack}
	return &quotaRole{allocator: quota.NewAllocator(quota.AllocatorOptions{Rules: rules}), founds: founds}
}

// handleQuota answers a request for tokens, where this process leads. The time is read before that is made sure.
func (c *Control) handleQuota(request protocol.QuotaRequest) (any, error) {
	now := c.now()
	epoch, _, leads := c.replica.Lead()
	if !leads {
		return nil, transport.Coded(CodeNotLead, "quota is granted elsewhere")
	}
	return c.quota.request(now, epoch, c.machine, request), nil
}

func (q *quotaRole) request(now time.Duration, epoch uint64, state *machine.Machine, request protocol.QuotaRequest) protocol.QuotaReply {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if version := state.Configuration(); version.Index != q.configured {
		q.allocator.Configure(version.Snapshot())
		q.configured = version.Index
	}
	q.act(now, epoch)
	return q.allocator.Request(now, request)
}

// act begins a term with each epoch in which this process leads. What an allocator before it lent is not known.
func (q *quotaRole) act(now time.Duration, epoch uint64) {
	if q.epoch == epoch {
		return
	}
	idle := time.Duration(0)
	if q.founds && epoch == foundingEpoch {
		idle = now + time.Hour // the system has just begun
	}
	q.epoch = epoch
	q.allocator.Start(now, idle)
}
