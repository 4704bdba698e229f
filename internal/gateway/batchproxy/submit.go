package batchproxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/protocol"
)

// hedgeAfter is how long a store may take for a submission before the submission is hedged.
const hedgeAfter = 100 * time.Millisecond

// avoidFor is how long a store that didn't answer in time is asked last.
const avoidFor = time.Second

// attempt is the result of sending the submission to one store.
type attempt struct {
	answer protocol.BatchAnswer
	err    error
}

// submission is the submission of one batch job.
type submission struct {
	send      func(ip string) attempt
	onSlow    func(ip string) // called with the store that was too slow, when the submission is hedged
	lastAsked string          // store that the latest attempt was sent to
	targets   *targetList
	results   chan attempt          // has room for all results, so that no sender blocks
	pending   int                   // number of attempts without a result
	uncertain bool                  // a store may have accepted the submission without answering
	rejected  *protocol.BatchAnswer // the last rejection; nil: none
}

// submit submits a batch job: to one store, to the owner if a store names it, and to another store whenever
// there is no answer within hedgeAfter.
func (c *Caller) submit(ctx context.Context, call protocol.BatchCall, order []string) protocol.BatchAnswer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &submission{targets: newTargetList(order), results: make(chan attempt, maxHops)}
	s.send = func(ip string) attempt {
		answer, err := c.send(ctx, ip, call)
		return attempt{answer: answer, err: err}
	}
	s.onSlow = c.avoid
	if answer, decided := s.run(ctx); decided {
		return answer
	}
	if s.rejected != nil {
		return withdrawPromise(call, *s.rejected, s.uncertain)
	}
	return rejection(call, s.uncertain)
}

// run sends the submission to one store, and to the next one, if any, after an attempt without an answer, after an
// answer without a status (see protocol.BatchAnswer) and whenever hedgeAfter has passed. After 503, 429 or 504 it
// asks no further store, except by the hedge timer while another attempt is pending. It ends when there is a final
// answer, when no attempt is pending or when ctx ends, and reports whether there is a final answer.
func (s *submission) run(ctx context.Context) (protocol.BatchAnswer, bool) {
	s.next()
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	for s.pending > 0 {
		select {
		case result := <-s.results:
			s.pending--
			if s.handle(result) {
				return result.answer, true
			}
		case <-hedge.C:
			if ablation.Off(ablation.HedgedSubmit) {
				continue
			}
			s.onSlow(s.lastAsked)
			s.next()
			hedge.Reset(hedgeAfter)
		case <-ctx.Done():
			s.uncertain = true
			return protocol.BatchAnswer{}, false
		}
	}
	return protocol.BatchAnswer{}, false
}

// next sends the submission to one more store, if any is left and maxHops isn't reached.
func (s *submission) next() {
	if len(s.targets.tried) >= maxHops {
		return
	}
	ip := s.targets.next()
	if ip == "" {
		return
	}
	s.pending++
	s.lastAsked = ip
	go func() { s.results <- s.send(ip) }()
}

// handle evaluates an attempt's result and reports whether that is the final answer.
func (s *submission) handle(result attempt) bool {
	switch {
	case result.err != nil:
		s.uncertain = s.uncertain || !errors.Is(result.err, transport.ErrNotConnected)
		s.next()
	case result.answer.Status == 0:
		s.targets.redirect(result.answer.Owner)
		s.next()
	case result.answer.Status == http.StatusGatewayTimeout:
		s.uncertain = true
	case result.answer.Status == http.StatusServiceUnavailable, result.answer.Status == http.StatusTooManyRequests:
		s.rejected = &result.answer
	default:
		return true
	}
	return false
}

// avoid makes a store that didn't answer in time be asked last for avoidFor.
func (c *Caller) avoid(ip string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[ip] = time.Now().Add(avoidFor)
}

// isAvoided reports whether a store didn't answer in time within the last avoidFor. mu must be held.
func (c *Caller) isAvoided(ip string, now time.Time) bool {
	until, avoided := c.avoidUntil[ip]
	if avoided && now.After(until) {
		delete(c.avoidUntil, ip)
		return false
	}
	return avoided
}
