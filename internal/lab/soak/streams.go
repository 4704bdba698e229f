package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

const (
	// responseSlack is the time beyond a request's deadline after which its response counts as missing.
	responseSlack = 2 * time.Second
	// maxOpenStreams bounds the streams in flight; those that are due beyond it are not sent.
	maxOpenStreams = 300
	sessions       = 8
	// streamAbandonProbability is the share of streams whose client closes the connection, after up to
	// maxStreamAbandonDelay, and sends the same request again.
	streamAbandonProbability = 0.05
	maxStreamAbandonDelay    = 100 * time.Millisecond
)

// generateStreams sends streams in an open loop, with random intervals at the mean rate, until the context ends.
func (r *run) generateStreams(ctx context.Context) {
	random := r.options.randomSource(randomStreams)
	inFlight := make(chan struct{}, maxOpenStreams)
	var requests sync.WaitGroup
	defer requests.Wait()
	for number := 0; sleep(ctx, randomInterval(random, r.options.StreamRate)); number++ {
		select {
		case inFlight <- struct{}{}:
		default:
			continue
		}
		first, second := r.randomFrontMachine(random), r.randomFrontMachine(random)
		abandons := random.Float64() < streamAbandonProbability
		delay := randomDuration(random, 0, maxStreamAbandonDelay)
		requests.Go(func() {
			defer func() { <-inFlight }()
			id, session := fmt.Sprintf("stream-%d", number), number%sessions
			if !abandons {
				r.sendStream(first, id, session)
				return
			}
			r.abandonStream(first, id, session, delay)
			r.sendStream(second, id, session)
		})
	}
}

// abandonStream sends a stream and closes the connection after a delay.
func (r *run) abandonStream(m system.Machine, id string, session int, delay time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), delay)
	defer cancel()
	r.client.Stream(ctx, m, id, session)
}

// sendStream sends a stream and checks the response.
func (r *run) sendStream(m system.Machine, id string, session int) {
	r.streams.Add(1)
	began := time.Now()
	outcome := r.client.Stream(context.Background(), m, id, session)
	if outcome.Err != nil {
		r.checkUnanswered(m, "stream "+id, began, outcome.Err)
		return
	}
	if outcome.Status == http.StatusOK && !outcome.Complete {
		r.checker.violated(RuleBelongs, "stream %s at %s: %s", id, m.Name, outcome.Problem)
	}
	if outcome.Status >= http.StatusBadRequest && !allowedUnderFaults(outcome.Status) {
		r.checker.violated(RuleAnswer, "stream %s at %s got %d", id, m.Name, outcome.Status)
	}
}

// allowedUnderFaults returns whether a gateway may answer a valid request with a status while there are faults.
func allowedUnderFaults(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// checkUnanswered judges a call without a complete response. That is a violation unless no connection was
// made, or the gateway was disturbed at any time since the call began.
func (r *run) checkUnanswered(m system.Machine, what string, began time.Time, err error) {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return
	}
	if r.timeline.disturbed(r.targetAt(m, system.RoleGateway).name(), began) {
		return
	}
	r.checker.violated(RuleAnswer, "%s at %s got no complete response in %.3f s: %v", what, m.Name,
		time.Since(began).Seconds(), err)
}
