package quotaservice

import (
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/quota"
)

// CodeNotLeader is the error code with which a process that is not the acting allocator rejects a request. Its value
// is part of the protocol.
const CodeNotLeader = "not-lead"

// Leadership is the part of the chain's API that the service uses. *replica.Node implements it.
type Leadership interface {
	// HeadLease reports whether the process is the chain's proven head, and returns the time until which no
	// successor acts as head.
	HeadLease() (until time.Time, ok bool)
	// LeaderLease is like HeadLease, but ok is true only once the leader lease of the previous head has ended.
	// epoch is the epoch of the view in which the process leads.
	LeaderLease() (epoch uint64, until time.Time, ok bool)
}

// GrantRecord is the part of the replicated state that the service reads. *statemachine.StateMachine implements it.
type GrantRecord interface {
	Grantor() statemachine.Grantor
	Configuration() *configuration.Version
}

// Service is the quota allocator of a control process. It is safe for concurrent use.
type Service struct {
	leadership Leadership
	record     GrantRecord
	self       statemachine.Grantor
	wake       func()
	clock      func() time.Time
	origin     time.Time // the allocator's times are durations since origin

	// mutex guards the fields below.
	mutex      sync.Mutex
	allocator  *quota.Allocator
	configured *configuration.Version // version whose tenants the allocator uses
	lastChange uint64                 // number of the last change of the record that this process has made
	released   bool                   // Release was called, so no further term begins
	term       *term                  // nil while this process is not known to be the grantor
}

// term is a period in which this process is the grantor on record.
type term struct {
	firstEver       bool          // no process in the system granted quota before this term
	nodes           []string      // nodes on record when the term began; they may hold grants of earlier terms
	floors          []quota.Floor // floors on record when the term began
	started         bool          // the allocator has been started for this term
	pendingRemovals []string      // nodes that the allocator has evicted and that may still be on record
}

// Options configure a Service.
type Options struct {
	Bounds     node.Bounds // quota window, and by how much a tenant's limit may be exceeded
	Leadership Leadership
	Record     GrantRecord
	Self       statemachine.Grantor
	// Wake is called when a change of the grant record should be proposed without delay. It must not block.
	Wake func()

	clock func() time.Time // set by tests; nil means time.Now
}

// New returns a service. It grants no quota until the process is the grantor on record.
func New(options Options) *Service {
	clock := options.clock
	if clock == nil {
		clock = time.Now
	}
	bounds := &options.Bounds
	rules := quota.Rules{Window: bounds.QuotaWindow, Overshoot: bounds.QuotaOvershoot, Slack: bounds.QuotaSlack}
	return &Service{
		leadership: options.Leadership,
		record:     options.Record,
		self:       options.Self,
		wake:       options.Wake,
		clock:      clock,
		origin:     clock(),
		allocator:  quota.NewAllocator(quota.AllocatorOptions{Rules: rules}),
	}
}

// Request handles a gateway's request. While this process is not the acting allocator, it returns an error with
// CodeNotLeader. The clock is read before the leadership is checked: if the process is paused in between, the answer
// refers to a time at which the process was still the head, or the request is rejected.
func (s *Service) Request(request protocol.QuotaRequest) (protocol.QuotaReply, error) {
	now := s.clock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.mayGrant(now) {
		return protocol.QuotaReply{}, transport.NewError(CodeNotLeader, "quota is granted elsewhere")
	}
	if version := s.record.Configuration(); version != nil && version != s.configured {
		s.configured = version
		s.allocator.ConfigureTenants(version.Document().Tenants)
	}
	if !s.term.started {
		s.term.started = true
		s.allocator.Start(now.Sub(s.origin), s.minIdleTime(now), s.term.nodes, s.term.floors)
	}
	reply := s.allocator.Request(now.Sub(s.origin), request)
	if s.allocator.FloorChangeUrgent() {
		s.wake()
	}
	return reply, nil
}

// mayGrant reports whether this process may grant quota at the time now; no other process may then. It ends the term
// if the record no longer names this process. The caller must hold the mutex.
func (s *Service) mayGrant(now time.Time) bool {
	if s.record.Grantor() != s.self {
		s.term = nil // the term has ended: another process is the grantor, or was in the meantime
	}
	until, isHead := s.leadership.HeadLease()
	return s.term != nil && isHead && now.Before(until)
}

// minIdleTime returns the minimum time for which no allocator has acted. In a system in which no process granted
// quota before, it is long enough for the allocator to start with full pools.
func (s *Service) minIdleTime(now time.Time) time.Duration {
	if s.term.firstEver {
		return now.Sub(s.origin) + time.Hour
	}
	return 0
}
