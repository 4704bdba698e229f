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

// hedgeAfter is how long a process may take for a submission before another is asked, too: one that is down or frozen says
// nothing for seconds, and batch processes accept a batch job once wherever and how often it is handed in.
const hedgeAfter = 100 * time.Millisecond

// passedOver is how long one that let a submission wait that long is asked last.
const avoidFor = time.Second

// attempt is what came of asking one process.
type attempt struct {
	answer protocol.BatchAnswer
	err    error
}

// submission is one batch job on its way in.
type submission struct {
	send      func(ip string) attempt
	onSlow    func(ip string)
	last      string // asked last
	targets   *targetList
	results   chan attempt
	pending   int
	uncertain bool // one may have taken it and didn't say so
	rejected  *protocol.BatchAnswer
}

// submit hands a batch job in: to one process, to the owner that it names, and to another where none answers soon.
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

// run asks until one has decided, or none is left.
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
			s.onSlow(s.last)
			s.next()
			hedge.Reset(hedgeAfter)
		case <-ctx.Done():
			s.uncertain = true
			return protocol.BatchAnswer{}, false
		}
	}
	return protocol.BatchAnswer{}, false
}

// next asks one more process.
func (s *submission) next() {
	if len(s.targets.tried) >= maxHops {
		return
	}
	ip := s.targets.next()
	if ip == "" {
		return
	}
	s.pending++
	s.last = ip
	go func() { s.results <- s.send(ip) }()
}

// take notes an answer, and tells whether it decides.
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

// passOver notes a process that said nothing in time.
func (c *Caller) avoid(ip string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[ip] = time.Now().Add(avoidFor)
}

// isPassedOver tells whether a process said nothing in time lately. The mutex is held.
func (c *Caller) isAvoided(ip string, now time.Time) bool {
	until, slow := c.avoidUntil[ip]
	if slow && now.After(until) {
		delete(c.avoidUntil, ip)
		return false
	}
	return slow
}
