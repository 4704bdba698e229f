// Package quotas owns the allocator of quotas in a control process: it acts while the process leads the chain, and begins a term
// whenever the process has come to lead anew. It must never answer a gateway by a lead that was read before the clock.
package quotas

import (
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/quota"
)

// CodeNotLead is the code of a refusal: this process doesn't lead now.
const CodeNotLead = "not-lead"

// foundingEpoch is the epoch of the chain's first view: nobody led before it.
const foundingEpoch = 1

// Lead tells whether the process leads the chain. *replica.Node is one.
type Lead interface {
	// Lead gives the moment until which no successor acts.
	Lead() (epoch uint64, until time.Time, ok bool)
	// LeadSince gives the moment from which this process may act; it stays the same while the process goes on leading.
	LeadSince() (time.Time, bool)
}

// Service is the allocator of a control process. It is safe for concurrent use.
type Service struct {
	lead    Lead
	version func() *configuration.Version
	founds  bool
	origin  time.Time

	mutex      sync.Mutex
	allocator  *quota.Allocator
	configured *configuration.Version // that the allocator works by
	since      time.Time              // of the lead whose term the allocator is in
}

// New makes a service that doesn't act before the process leads. The function gives the configuration in force. A process that
// founds was started together with the whole system.
func New(bounds node.Bounds, lead Lead, version func() *configuration.Version, founds bool) *Service {
	rules := quota.Rules{Window: bounds.QuotaWindow, Overshoot: bounds.QuotaOvershoot, Slack: bounds.QuotaSlack}
	return &Service{lead: lead, version: version, founds: founds, origin: time.Now(),
		allocator: quota.NewAllocator(quota.AllocatorOptions{Rules: rules})}
}

// Request answers a gateway. The clock is read before the lead is looked at: a process that stood still in between answers as of
// the time when it surely led, or not at all.
func (s *Service) Request(request protocol.QuotaRequest) (protocol.QuotaReply, error) {
	now := time.Now()
	epoch, until, leads := s.lead.Lead()
	since, acts := s.lead.LeadSince()
	if !leads || !acts || now.Before(since) || !now.Before(until) {
		return protocol.QuotaReply{}, transport.Coded(CodeNotLead, "quota is granted elsewhere")
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if version := s.version(); version != nil && version != s.configured {
		s.configured = version
		s.allocator.ConfigureTenants(version.Document().Tenants)
	}
	if !s.allocator.Acts() || !s.since.Equal(since) {
		s.since = since
		s.allocator.Start(now.Sub(s.origin), s.idle(now, epoch))
	}
	return s.allocator.Request(now.Sub(s.origin), request), nil
}

// idle is for how long at least no allocator has acted: none has since this process may, and none before the chain's first view.
func (s *Service) idle(now time.Time, epoch uint64) time.Duration {
	if s.founds && epoch == foundingEpoch {
		return now.Sub(s.origin) + time.Hour
	}
	return now.Sub(s.since)
}
