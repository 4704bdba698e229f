package subscription

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Options are the settings of a subscription, and the parts of the process that it works with.
type Options struct {
	Settings  *node.Settings
	Process   protocol.Process
	Transport transport.Options
	Servers   *endpoints.Registry // Run applies each list of servers to it
	Ready     func() bool         // the result is sent with each poll
	Log       zerolog.Logger
	// OnConfiguration is called with each configuration that takes effect, in order. May be nil.
	OnConfiguration func(*configuration.Snapshot)

	// The following fields are set by batch processes only.

	// Report returns the report that is sent with each poll.
	Report func() *protocol.BatchReport
	// OnGrant is called with the grant in the answer to a poll. The grant runs from the time at which the poll
	// was sent.
	OnGrant func(grant protocol.StoreGrant, sent time.Time)
	// OnUpdate is called after each update.
	OnUpdate func()
}

// Subscription holds the state that control processes have sent. It is safe for concurrent use.
type Subscription struct {
	opt    Options
	origin time.Time
	lease  *KeyLease
	wake   chan struct{} // requests a poll before the next one is due

	configuration atomic.Pointer[configuration.Snapshot] // in force
	members       atomic.Pointer[protocol.MemberList]
	confirmedAt   atomic.Int64 // when the last poll was sent whose answer confirmed the state, in nanoseconds after origin

	// mu guards the fields below.
	mu            sync.Mutex
	control       *ControlSelector
	state         *configuration.State    // the newest configuration received
	behind        bool                    // a newer configuration was received but couldn't be applied
	requestFull   bool                    // the next poll asks for the complete configuration
	everConfirmed bool                    // control has confirmed a state to this process
	pending       *configuration.Snapshot // takes effect with the first confirmation
	serverList    serverListState
	confirmed     chan struct{} // closed and replaced at each confirmation
}

// New returns a subscription without any state. Run keeps it up to date.
func New(opt Options) *Subscription { return newAt(opt, time.Now()) }

// newAt is New with the current time as an argument, for simulations.
func newAt(opt Options, now time.Time) *Subscription {
	opt.Transport.Identity.System = protocol.System
	s := &Subscription{opt: opt, origin: now, wake: make(chan struct{}, 1), confirmed: make(chan struct{}),
		lease:   NewKeyLease(opt.Settings.Bounds.Closed, opt.Settings.Bounds.Revoke, now),
		control: NewControlSelector(opt.Process.Node, opt.Process.Zone), state: configuration.NewState()}
	s.confirmedAt.Store(-1 << 62)
	s.Seed(opt.Settings)
	return s
}

// Seed adds the seeds in settings, which are the addresses of machines that may run control processes.
func (s *Subscription) Seed(settings *node.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control.Seed(settings.SeedHosts())
}

// Configuration returns the configuration in force, or nil if control hasn't confirmed one yet.
func (s *Subscription) Configuration() *configuration.Snapshot { return s.configuration.Load() }

// Members returns the processes of the system, or nil if no list has been applied yet.
func (s *Subscription) Members() *protocol.MemberList { return s.members.Load() }

// KeyLeaseValid reports whether requests may be served now by API keys of the configuration in force.
func (s *Subscription) KeyLeaseValid(now time.Time) bool { return s.lease.Valid(now) }

// ConfirmedSince reports whether control has confirmed the state in the answer to a poll that was sent at
// moment or later.
func (s *Subscription) ConfirmedSince(moment time.Time) bool {
	return s.confirmedAt.Load() >= int64(moment.Sub(s.origin))
}

// Complete reports whether the process has everything that is required to serve requests: a configuration in
// force, a list of servers and a valid key lease.
func (s *Subscription) Complete(now time.Time) bool {
	return s.Configuration() != nil && s.opt.Servers.Current() != nil && s.KeyLeaseValid(now)
}

// maxReadyStaleness is how long a gateway reports itself as ready without a confirmation.
const maxReadyStaleness = 1600 * time.Millisecond

// Ready reports whether clients should be sent to this gateway. Without recent confirmations it still serves
// requests for a while, but clients are better served by another gateway.
func (s *Subscription) Ready(now time.Time) bool {
	return s.Complete(now) && s.ConfirmedSince(now.Add(-maxReadyStaleness))
}

// PollSoon requests a poll before the next one is due, for example because the report that Options.Report
// returns has changed.
func (s *Subscription) PollSoon() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// AwaitConfirmation requests a poll at once and waits until control has confirmed the state in the answer to a
// poll that was sent at now or later. It returns false if that doesn't happen until by, or ctx ends.
func (s *Subscription) AwaitConfirmation(ctx context.Context, now, by time.Time) bool {
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	for {
		s.mu.Lock()
		confirmed := s.confirmed
		s.mu.Unlock()
		if s.ConfirmedSince(now) {
			return true
		}
		s.PollSoon()
		select {
		case <-confirmed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
