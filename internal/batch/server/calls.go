package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// callTimeout is how long a call may take, in addition to the time that it asks to wait for results. Gateways have
// given up by then.
const callTimeout = 4 * time.Second

// lostLeaseRetry is the Retry-After that replaces an answer that is withheld because the lease has ended.
const lostLeaseRetry = 250 * time.Millisecond

// errUnknownMessage is the response to a message that is neither a gateway's call nor sent by a store.
var errUnknownMessage = errors.New("server: message of an unknown kind")

// handle handles calls of gateways and messages of other stores. Messages of stores that are not in the view are
// dropped.
func (s *Server) handle(ctx context.Context, session *transport.Session, message any) (any, error) {
	if call, ok := message.(protocol.BatchCall); ok {
		started := time.Now()
		answer := s.call(ctx, call)
		s.log.Debug().Stringer("operation", call.Operation).Str("batch_job", call.BatchJob).
			Int("status", answer.Status).Str("owner", answer.Owner).Dur("took", time.Since(started)).Msg("call")
		return answer, nil
	}
	remote := session.Remote()
	if remote.Role != protocol.RoleBatch {
		return nil, errUnknownMessage
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if sender, present := s.member(keyOf(remote)); present {
		s.stateMachine.Receive(sender, message)
	}
	return nil, nil
}

// member returns the process with a key in the current view, and false if there is none. The mutex is held.
func (s *Server) member(key placement.Key) (protocol.Process, bool) {
	member, present := placement.MemberOf(s.stateMachine.CurrentView(), key)
	return member.Process, present
}

// call passes a client's call to the state machine and waits for its answer. It answers an invalid submission
// with 400 and the reason, and a call that isn't answered in time with 504.
func (s *Server) call(ctx context.Context, call protocol.BatchCall) protocol.BatchAnswer {
	var items []job.Item
	if call.Operation == protocol.BatchSubmit {
		parsed, err := job.ParseSubmission(call.Body)
		if err != nil {
			s.log.Info().Err(err).Str("batch_job", call.BatchJob).Msg("batch_job_invalid")
			return protocol.BatchAnswer{Status: http.StatusBadRequest, ContentType: "text/plain; charset=utf-8",
				Body: []byte(err.Error() + "\n")}
		}
		items = parsed
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+time.Duration(call.WaitMs)*time.Millisecond)
	defer cancel()
	answered := make(chan protocol.BatchAnswer, 1)
	s.mutex.Lock()
	s.lastCall++
	id := s.lastCall
	s.pendingCalls[id] = answered
	s.stateMachine.Call(id, call, items)
	s.mutex.Unlock()
	select {
	case answer := <-answered:
		return s.withholdUnlessLeased(call, answer)
	case <-ctx.Done():
	}
	s.mutex.Lock()
	delete(s.pendingCalls, id)
	s.stateMachine.CancelCall(id)
	s.mutex.Unlock()
	return protocol.BatchAnswer{Status: http.StatusGatewayTimeout}
}

// withholdUnlessLeased replaces an answer if the lease has ended, for instance because the process was paused
// after the answer was given: another store may own the batch job by now, so that the answer may be out of date. A
// submission is answered with 504, because it may have been accepted.
func (s *Server) withholdUnlessLeased(call protocol.BatchCall, answer protocol.BatchAnswer) protocol.BatchAnswer {
	redirected := answer.Owner != ""
	if redirected || answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusGatewayTimeout {
		return answer
	}
	s.mutex.Lock()
	leased := s.stateMachine.MayAct()
	s.mutex.Unlock()
	if leased {
		return answer
	}
	if call.Operation == protocol.BatchSubmit {
		return protocol.BatchAnswer{Status: http.StatusGatewayTimeout}
	}
	return protocol.BatchAnswer{Status: http.StatusServiceUnavailable, RetryAfterMs: int(lostLeaseRetry.Milliseconds())}
}
