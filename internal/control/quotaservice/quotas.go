// Package quotaservice owns the allocator of quotas in a control process: it acts while the process heads the chain and is the lender on
// record. It must never answer a gateway by a lead that was read before the clock.
package quotaservice

import (
	"slices"
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/quota"
)

// CodeNotLead is the code of a refusal: this process doesn't lead now.
const CodeNotLeader = "not-lead"

// Lead tells whether the process leads the chain. *replica.Node is one.
type Leadership interface {
	// Head gives the moment until which no successor acts, where the process is the chain's proven head.
	Head() (until time.Time, ok bool)
	// Lead tells as well that the time of the head before has surely passed.
	Lead() (epoch uint64, until time.Time, ok bool)
}

// Record is the agreed record of who lends. *machine.Machine is one.
type GrantRecord interface {
	Grantor() statemachine.Grantor
	Configuration() *configuration.Version
}

// Service is the allocator of a control process. It is safe for concurrent use.
//
// Before it acts the process has itself recorded as the lender, in the chain. Where the lender before has handed its task on, or
// was an earlier life of this process, nobody else acts, so that can be as soon as the process heads the chain. Else it waits until the time of the
// head before has passed. A beginning takes effect only on the record that it was judged by.
type Service struct {
	leadership Leadership
	record     GrantRecord
	self       statemachine.Grantor
	wake       func()
	clock      func() time.Time
	origin     time.Time

	mutex      sync.Mutex
	allocator  *quota.Allocator
	configured *configuration.Version // that the allocator works by
	lastChange uint64                 // of the last change of the record
	released   bool                   // for good
	term       *term                  // nil: not known to be the lender
}

// term is the time as the lender on record.
type term struct {
	firstEver       bool // nobody lent before
	nodes           []string
	floors          []quota.Floor
	started         bool
	pendingRemovals []string // that are not known to be off the record
}

// New makes a service that doesn't act before the process is the lender on record. It calls wake where a change of the record
// can't wait.
func New(bounds node.Bounds, leadership Leadership, record GrantRecord, self statemachine.Grantor, wake func()) *Service {
	return newWithClock(bounds, leadership, record, self, wake, time.Now)
}

func newWithClock(bounds node.Bounds, leadership Leadership, record GrantRecord, self statemachine.Grantor, wake func(), clock func() time.Time) *Service {
	rules := quota.Rules{Window: bounds.QuotaWindow, Overshoot: bounds.QuotaOvershoot, Slack: bounds.QuotaSlack}
	return &Service{leadership: leadership, record: record, self: self, wake: wake, clock: clock, origin: clock(),
		allocator: quota.NewAllocator(quota.AllocatorOptions{Rules: rules})}
}

// Request answers a gateway. The clock is read before the lead is looked at: a process that stood still in between answers as of
// the time when it surely led, or not at all.
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

// acts tells whether this process is the only one that may hand out quota now.
func (s *Service) mayGrant(now time.Time) bool {
	if s.record.Grantor() != s.self {
		s.term = nil // another lends, or did
	}
	until, heads := s.leadership.Head()
	return s.term != nil && heads && now.Before(until)
}

// idle is for how long at least no allocator has acted.
func (s *Service) idleFor(now time.Time) time.Duration {
	if s.term.firstEver {
		return now.Sub(s.origin) + time.Hour
	}
	return 0
}

// Change gives the change of the record that is needed now, or nil. Its outcome is to be told by Changed, and there must be no
// other until it is known or has been given up.
func (s *Service) NextChange() *statemachine.GrantsChange {
	if _, heads := s.leadership.Head(); !heads {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.released {
		return nil
	}
	lender := s.record.Grantor()
	if lender != s.self || s.term == nil {
		return s.beginTerm(lender)
	}
	if !s.term.started {
		return nil
	}
	adds := s.allocator.MissingGrantees()
	now := s.clock().Sub(s.origin)
	s.term.pendingRemovals = append(s.term.pendingRemovals, s.allocator.EvictGrantees(now)...)
	floors := s.allocator.FloorChanges(now)
	if len(adds)+len(s.term.pendingRemovals)+len(floors) == 0 {
		return nil
	}
	s.lastChange++
	return &statemachine.GrantsChange{Lender: s.self, Number: s.lastChange, Add: adds, Remove: without(s.term.pendingRemovals, adds), Floors: floors}
}

// End stops lending for good, and gives the change that lets a successor begin at once; nil where there is nothing to hand on.
func (s *Service) Release() *statemachine.GrantsChange {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.released = true
	lends := s.term != nil && s.record.Grantor() == s.self
	s.term = nil
	s.allocator.Stop()
	if !lends {
		return nil
	}
	return &statemachine.GrantsChange{Lender: s.self, End: true}
}

// beginning gives the change by which this process becomes the lender, or nil while another may still act.
func (s *Service) beginTerm(lender statemachine.Grantor) *statemachine.GrantsChange {
	alone := lender == statemachine.Grantor{} || lender == statemachine.ReleasedGrantor || lender.Member == s.self.Member
	if _, _, leads := s.leadership.Lead(); !alone && !leads {
		return nil
	}
	s.lastChange++
	return &statemachine.GrantsChange{Lender: s.self, Begin: true, Before: lender, Number: s.lastChange}
}

// Changed takes in what came of a change. One of which nothing is known is tried again by the next.
func (s *Service) ChangeDone(change *statemachine.GrantsChange, outcome *statemachine.GrantsOutcome) {
	if outcome == nil || !outcome.Taken {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.released {
		return
	}
	if change.Begin {
		s.allocator.Stop()
		s.term = &term{firstEver: outcome.Before == statemachine.Grantor{}, nodes: append([]string{}, outcome.Nodes...),
			floors: outcome.Floors}
		return
	}
	if s.term != nil && s.term.started {
		s.allocator.GranteesRecorded(change.Add)
		s.allocator.FloorsRecorded(change.Floors)
		s.term.pendingRemovals = without(s.term.pendingRemovals, change.Remove)
	}
}

func without(nodes, some []string) []string {
	return slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return slices.Contains(some, node) })
}
