package server

import (
	"context"
	"errors"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// answerWithin is how long a call is worked on: gateways have given it up by then.
const callTimeout = 4 * time.Second

var errUnknownMessage = errors.New("batch: a message of an unknown kind")

// handle takes gateways' calls and other stores' messages.
func (s *Server) handle(ctx context.Context, session *transport.Session, message any) (any, error) {
	if call, ok := message.(protocol.BatchCall); ok {
		started := time.Now()
		answer := s.call(ctx, call)
		s.log.Debug().Int("operation", int(call.Operation)).Str("batch_job", call.BatchJob).Int("status", answer.Status).
			Str("owner", answer.Owner).Dur("took", time.Since(started)).Msg("call")
		return answer, nil
	}
	remote := session.Remote()
	if remote.Role != protocol.RoleBatch {
		return nil, errUnknownMessage
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if member, present := s.member(keyOf(remote)); present {
		s.stateMachine.Receive(member, message)
	}
	return nil, nil
}

// member gives the process of the view that a message is from.
func (s *Server) member(key placement.Key) (protocol.Process, bool) {
	member, present := placement.MemberOf(s.stateMachine.CurrentView(), key)
	return member.Process, present
}

// call answers a client's call.
func (s *Server) call(ctx context.Context, call protocol.BatchCall) protocol.BatchAnswer {
	var items []job.Item
	if call.Operation == protocol.BatchSubmit {
		parsed, err := job.ParseSubmission(call.Body)
		if err != nil {
			s.log.Info().Err(err).Str("batch_job", call.BatchJob).Msg("batch_job_invalid")
			return protocol.BatchAnswer{Status: 400}
		}
		items = parsed
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+time.Duration(call.WaitMs)*time.Millisecond)
	defer cancel()
	answered := make(chan protocol.BatchAnswer, 1)
	s.mutex.Lock()
	s.lastCall++
	token := s.lastCall
	s.pendingCalls[token] = answered
	s.stateMachine.Call(token, call, items)
	s.mutex.Unlock()
	select {
	case answer := <-answered:
		return s.withholdUnlessLeased(call, answer)
	case <-ctx.Done():
	}
	s.mutex.Lock()
	delete(s.pendingCalls, token)
	s.stateMachine.CancelCall(token)
	s.mutex.Unlock()
	return protocol.BatchAnswer{Status: 504}
}

// checked lets an answer go only while this store may still act: between an answer and its leaving the process may have
// stood still.
func (s *Server) withholdUnlessLeased(call protocol.BatchCall, answer protocol.BatchAnswer) protocol.BatchAnswer {
	if answer.Status == 503 || answer.Status == 504 || answer.Owner != "" {
		return answer
	}
	s.mutex.Lock()
	allowed := s.stateMachine.MayAct()
	s.mutex.Unlock()
	if allowed {
		return answer
	}
	if call.Operation == protocol.BatchSubmit {
		return protocol.BatchAnswer{Status: 504}
	}
	return protocol.BatchAnswer{Status: 503, RetryAfterMs: 250}
}
