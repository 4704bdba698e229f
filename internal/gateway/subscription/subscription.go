// Package subscription owns what a gateway knows from control: it keeps a connection to one control process, its home, polls it
// and takes in what that pushes, and holds the configuration, the list of servers and that of processes as immutable snapshots
// that are swapped whole. It must never let a configuration go back, nor count a lease from anything but the sending of a poll.
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

const (
	// answerWait is how long a home may take to come up or to answer.
	replyTimeout = 700 * time.Millisecond
	// staleMost is how long a gateway that control doesn't vouch for calls itself ready.
	maxReadyStaleness = 1600 * time.Millisecond
	// changePause is the time between two homes, where one after the other doesn't do.
	reconnectPause = 60 * time.Millisecond
)

// Options are a subscription's fixed parts.
type Options struct {
	Settings  *node.Settings
	Process   protocol.Process
	Transport transport.Options
	Servers   *endpoints.Registry
	Ready     func() bool // told to control with each poll
	Log       zerolog.Logger
	// Configured is told of each configuration that is put in force, in order. Nil: nobody.
	OnConfiguration func(*configuration.Snapshot)

	// Of batch processes; nil elsewhere.
	Report   func() *protocol.BatchReport                    // told to control with each poll
	OnGrant  func(grant protocol.StoreGrant, sent time.Time) // a right to act, counted from when the poll was sent
	OnUpdate func()                                          // something that control sent is in force
}

// Subscription holds what is known. It is safe for concurrent use.
type Subscription struct {
	opt   Options
	lease *KeyLease
	wake  chan struct{}

	configuration atomic.Pointer[configuration.Snapshot]
	members       atomic.Pointer[protocol.MemberList]
	confirmedAt   atomic.Int64 // nanoseconds after origin: when the last poll was sent that control vouched for
	origin        time.Time

	mu            sync.Mutex
	control       *ControlSelector
	state         *configuration.State
	behind        bool // something newer could not be put in force
	requestFull   bool // the next poll asks for the whole configuration
	confirmed     chan struct{}
	everConfirmed bool                    // control has vouched for a configuration in this life
	pending       *configuration.Snapshot // not in force before control vouches for it
	serverList    serverListState
}

// New gives a subscription; Run keeps it.
func New(opt Options) *Subscription { return newAt(opt, time.Now()) }

func newAt(opt Options, now time.Time) *Subscription {
	opt.Transport.Identity.System = protocol.System
	s := &Subscription{opt: opt, lease: NewKeyLease(opt.Settings.Bounds.Closed, opt.Settings.Bounds.Revoke, now),
		wake: make(chan struct{}, 1), origin: now, control: NewControlSelector(opt.Process.Node, opt.Process.Zone), confirmed: make(chan struct{}),
		state: configuration.NewState()}
	s.confirmedAt.Store(-1 << 62)
	s.Seed(opt.Settings)
	return s
}

// Seed takes the seeds of other settings in.
func (s *Subscription) Seed(settings *node.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control.Seed(settings.SeedHosts())
}

// Configuration gives the configuration in force, or nil before the first that control has vouched for: a control process that is
// cut off hands out what may be old, and a process that begins has nothing to judge it by.
func (s *Subscription) Configuration() *configuration.Snapshot { return s.configuration.Load() }

// Members gives the processes of the system, or nil before the first list.
func (s *Subscription) Members() *protocol.MemberList { return s.members.Load() }

// Holds tells whether a first byte may go to a server now, as far as keys are concerned.
func (s *Subscription) KeyLeaseValid(now time.Time) bool { return s.lease.Valid(now) }

// FreshSince tells whether control has vouched for all that was known, in the answer to a poll that was sent at a moment or later.
func (s *Subscription) ConfirmedSince(moment time.Time) bool {
	return s.confirmedAt.Load() >= int64(moment.Sub(s.origin))
}

// Complete tells whether all is known that is needed for serving.
func (s *Subscription) Complete(now time.Time) bool {
	return s.Configuration() != nil && s.opt.Servers.Current() != nil && s.KeyLeaseValid(now)
}

// Ready tells whether clients are to come to a gateway. One that control has not vouched for lately may still serve for a while, but
// its clients are better off elsewhere.
func (s *Subscription) Ready(now time.Time) bool {
	return s.Complete(now) && s.ConfirmedSince(now.Add(-maxReadyStaleness))
}

// Await asks control at once, and waits until it has vouched for what is known at a moment no earlier than now, or until by.
func (s *Subscription) AwaitConfirmation(ctx context.Context, now, by time.Time) bool {
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	for {
		s.mu.Lock()
		freed := s.confirmed
		s.mu.Unlock()
		if s.ConfirmedSince(now) {
			return true
		}
		select {
		case s.wake <- struct{}{}:
		default:
		}
		select {
		case <-freed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// Run keeps the subscription until the context ends.
func (s *Subscription) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		ip := s.control.Next(time.Now())
		s.mu.Unlock()
		if ip != "" {
			reason := s.subscribeTo(ctx, ip)
			s.mu.Lock()
			s.control.MarkFailed(ip, time.Now())
			s.mu.Unlock()
			s.opt.Log.Debug().Str("home", ip).Str("reason", reason).Msg("home_left")
		}
		sleep(ctx, reconnectPause)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// serve subscribes to one control process for as long as that does, and gives the reason why it doesn't any more.
func (s *Subscription) subscribeTo(ctx context.Context, ip string) string {
	s.mu.Lock()
	s.serverList.reconnected(time.Now())
	s.mu.Unlock()
	connected := make(chan bool, 16)
	client := transport.NewClient(s.opt.Settings.EndpointAt(ip, node.PortControl), s.opt.Transport,
		func(message any) {
			if update, ok := message.(protocol.Update); ok {
				s.handleUpdate(&update, time.Now())
			}
		},
		func(up bool) {
			select {
			case connected <- up:
			default:
			}
		})
	defer client.Close()
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case <-connected:
	case <-timer.C:
		return "no connection"
	case <-ctx.Done():
		return "end"
	}
	s.opt.Log.Debug().Str("home", ip).Msg("home_found")
	return s.poll(ctx, client, connected)
}

func (s *Subscription) poll(ctx context.Context, client *transport.Client, connected <-chan bool) string {
	polling := newPollState(time.Now())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for sequence := uint64(1); ; sequence++ {
		sent := time.Now()
		update, err := s.pollOnce(ctx, client, sequence, sent)
		if err != nil {
			return err.Error()
		}
		pause, stays := s.handlePollAnswer(&polling, sent, time.Now(), update)
		if !stays {
			return "unsure"
		}
		timer.Reset(time.Until(sent.Add(pause)))
		select {
		case <-timer.C:
		case <-s.wake:
			sleep(ctx, time.Until(sent.Add(minPollInterval)))
		case <-connected:
			return "connection ended"
		case <-ctx.Done():
			return "end"
		}
	}
}

// ask polls once, and takes the answer in.
func (s *Subscription) pollOnce(ctx context.Context, client *transport.Client, sequence uint64, sent time.Time) (*protocol.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	reply, err := client.Call(ctx, s.buildPoll(sequence))
	if err != nil {
		return nil, err
	}
	update, ok := reply.(protocol.Update)
	if !ok {
		return nil, errNotUpdate
	}
	s.handleUpdate(&update, time.Now())
	if update.Store != nil && s.opt.OnGrant != nil {
		s.opt.OnGrant(*update.Store, sent)
	}
	return &update, nil
}

func (s *Subscription) buildPoll(sequence uint64) protocol.Poll {
	poll := protocol.Poll{Process: s.opt.Process, Sequence: sequence, Ready: s.opt.Ready()}
	s.mu.Lock()
	if !s.requestFull {
		poll.Configuration = s.state.Current().Index
	}
	poll.WholeServers = s.serverList.incomplete
	s.mu.Unlock()
	if table := s.opt.Servers.Current(); table != nil {
		poll.Servers = table.Version
	}
	if members := s.members.Load(); members != nil {
		poll.Members = members.Version
	}
	if s.opt.Report != nil {
		poll.Batch = s.opt.Report()
	}
	return poll
}
