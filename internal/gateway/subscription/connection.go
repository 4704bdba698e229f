package subscription

import (
	"context"
	"errors"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	// replyTimeout is how long a control process may take to accept a connection or to answer a poll.
	replyTimeout = 700 * time.Millisecond
	// reconnectPause is the time between the end of a subscription and the next attempt to subscribe.
	reconnectPause = 60 * time.Millisecond
	// minPollInterval is the minimum time between two polls.
	minPollInterval = 50 * time.Millisecond
)

// endReason is the logged reason why the subscription to a control process ended: one of the constants below,
// or the text of the error with which a poll failed.
type endReason string

const (
	endNoConnection    endReason = "no connection"
	endConnectionEnded endReason = "connection ended"
	endUnconfirmed     endReason = "unconfirmed" // the control process didn't confirm its state
	endShutdown        endReason = "shutdown"    // ctx ended
)

// errNotUpdate reports that a control process answered a poll with a message that isn't an update.
var errNotUpdate = errors.New("subscription: the answer to a poll is not a protocol.Update")

// Run keeps the subscription up to date until ctx ends.
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
			s.opt.Log.Debug().Str("control", ip).Str("reason", string(reason)).Msg("control_disconnected")
		}
		sleep(ctx, reconnectPause)
	}
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// subscribeTo subscribes to one control process, until the connection ends or the control process doesn't
// answer or confirm its state in time. It returns the reason why the subscription ended.
func (s *Subscription) subscribeTo(ctx context.Context, ip string) endReason {
	s.mu.Lock()
	s.serverList.reconnected(time.Now())
	s.mu.Unlock()
	connected := make(chan bool, 16) // changes beyond that are dropped, as poll returns at the second one
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
		return endNoConnection
	case <-ctx.Done():
		return endShutdown
	}
	s.opt.Log.Debug().Str("control", ip).Msg("control_connected")
	return s.poll(ctx, client, connected)
}

// poll polls one control process until that fails, and returns the reason. connected receives changes of the
// connection: the first one after the connection was established is its end.
func (s *Subscription) poll(ctx context.Context, client *transport.Client, connected <-chan bool) endReason {
	state := newPollState(time.Now())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for sequence := uint64(1); ; sequence++ {
		sent := time.Now()
		update, err := s.pollOnce(ctx, client, sequence, sent)
		if err != nil {
			return endReason(err.Error())
		}
		pause, stays := s.handlePollAnswer(&state, sent, time.Now(), update)
		if !stays {
			return endUnconfirmed
		}
		timer.Reset(time.Until(sent.Add(pause)))
		select {
		case <-timer.C:
		case <-s.wake:
			sleep(ctx, time.Until(sent.Add(minPollInterval)))
		case <-connected:
			return endConnectionEnded
		case <-ctx.Done():
			return endShutdown
		}
	}
}

// pollOnce sends a poll and applies the update in its answer.
func (s *Subscription) pollOnce(ctx context.Context, client *transport.Client, sequence uint64, sent time.Time) (
	*protocol.Update, error) {
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

// buildPoll returns a poll with the current versions, so that the answer contains only newer ones.
// Configuration 0 requests the complete configuration, WholeServers the complete list of servers.
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
