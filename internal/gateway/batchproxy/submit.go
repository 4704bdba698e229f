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
const passedOver = time.Second

// attempt is what came of asking one process.
type attempt struct {
	answer protocol.BatchAnswer
	err    error
}

// submission is one batch job on its way in.
type submission struct {
	ask       func(ip string) attempt
	slow      func(ip string)
	last      string // asked last
	route     *route
	came      chan attempt
	pending   int
	uncertain bool // one may have taken it and didn't say so
	refused   *protocol.BatchAnswer
}

// submit hands a batch job in: to one process, to the owner that it names, and to another where none answers soon.
func (c *Caller) submit(ctx context.Context, call protocol.BatchCall, order []string) protocol.BatchAnswer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &submission{route: newRoute(order), came: make(chan attempt, hopsMost)}
	s.ask = func(ip string) attempt {
		answer, err := c.put(ctx, ip, call)
		return attempt{answer: answer, err: err}
	}
	s.slow = c.passOver
	if answer, decided := s.run(ctx); decided {
		return answer
	}
	if s.refused != nil {
		return promised(call, *s.refused, s.uncertain)
	}
	return refusal(call, s.uncertain)
}

// run asks until one has decided, or none is left.
func (s *submission) run(ctx context.Context) (protocol.BatchAnswer, bool) {
	s.next()
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	for s.pending > 0 {
		select {
		case came := <-s.came:
			s.pending--
			if s.take(came) {
				return came.answer, true
			}
		case <-hedge.C:
			if ablation.Off(ablation.HedgedSubmit) {
				continue
			}
			s.slow(s.last)
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
	if len(s.route.asked) >= hopsMost {
		return
	}
	ip := s.route.next()
	if ip == "" {
		return
	}
	s.pending++
	s.last = ip
	go func() { s.came <- s.ask(ip) }()
}

// take notes an answer, and tells whether it decides.
func (s *submission) take(came attempt) bool {
	switch {
	case came.err != nil:
		s.uncertain = s.uncertain || !errors.Is(came.err, transport.ErrNotConnected)
		s.next()
	case came.answer.Status == 0:
		s.route.owner(came.answer.Owner)
		s.next()
	case came.answer.Status == http.StatusGatewayTimeout:
		s.uncertain = true
	case came.answer.Status == http.StatusServiceUnavailable, came.answer.Status == http.StatusTooManyRequests:
		s.refused = &came.answer
	default:
		return true
	}
	return false
}

// passOver notes a process that said nothing in time.
func (c *Caller) passOver(ip string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow[ip] = time.Now().Add(passedOver)
}

// isPassedOver tells whether a process said nothing in time lately. The mutex is held.
func (c *Caller) isPassedOver(ip string, now time.Time) bool {
	until, slow := c.slow[ip]
	if slow && now.After(until) {
		delete(c.slow, ip)
		return false
	}
	return slow
}
