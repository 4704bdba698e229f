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

// CodeNotLeader is the code of the error when this process isn't the acting allocator. Its value is part of
// the protocol.
const CodeNotLeader = "not-lead"

// Leadership is what the service needs of the chain. *replica.Node implements it.
type Leadership interface {
	// HeadLease reports whether the process is the chain's proven head, and the time until which no successor
	// acts as one.
	HeadLease() (until time.Time, ok bool)
	// LeaderLease is as HeadLease, but true only once the leader lease of the head before has ended. epoch is
	// that of the view in which the process leads.
	LeaderLease() (epoch uint64, until time.Time, ok bool)
}

// GrantRecord is the agreed state that the service needs. *statemachine.StateMachine implements it.
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
	origin     time.Time // zero of the allocator's time

	// mutex guards the fields below.
	mutex      sync.Mutex
	allocator  *quota.Allocator
	configured *configuration.Version // whose tenants the allocator has
	lastChange uint64                 // number of the last change of the record
	released   bool                   // Release was called: no further term begins
	term       *term                  // nil: this process isn't known to be the grantor
}

// term is the time in which this process is the grantor on record.
type term struct {
	firstEver       bool          // no process granted quota before
	nodes           []string      // on record at its begin: they may hold grants of earlier terms
	floors          []quota.Floor // on record at its begin
	started         bool          // the allocator works in it
	pendingRemovals []string      // nodes that the allocator has dropped and that may still be on record
}

// Options configure a Service.
type Options struct {
	Bounds     node.Bounds // by how much a tenant's limit may be exceeded
	Leadership Leadership
	Record     GrantRecord
	Self       statemachine.Grantor
	// Wake is called when a change of the grant record is due at once. It must not block.
	Wake func()

	clock func() time.Time // of tests; nil: time.Now
}

// New returns a service that grants nothing before the process is the grantor on record.
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

// Request answers a gateway. The error has CodeNotLeader while this process doesn't act. The clock is read
// before the leadership: if the process is paused in between, it answers as of a moment at which it still
// led, or not at all.
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
		s.allocator.Start(now.Sub(s.origin), s.idleFor(now), s.term.nodes, s.term.floors)
	}
	reply := s.allocator.Request(now.Sub(s.origin), request)
	if s.allocator.FloorChangeUrgent() {
		s.wake()
	}
	return reply, nil
}

// mayGrant reports whether this process is the only one that may grant quota now. It is called with the mutex
// held.
func (s *Service) mayGrant(now time.Time) bool {
	if s.record.Grantor() != s.self {
		s.term = nil // another process is the grantor, or was one meanwhile
	}
	until, heads := s.leadership.HeadLease()
	return s.term != nil && heads && now.Before(until)
}

// idleFor returns for how long at least no allocator has acted; with it full pools can be granted at once to
// a system without a history.
func (s *Service) idleFor(now time.Time) time.Duration {
	if s.term.firstEver {
		return now.Sub(s.origin) + time.Hour
	}
	return 0
}
