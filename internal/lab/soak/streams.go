package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

// Figures of clients.
const (
	responseSlack            = 2 * time.Second // beyond its deadline, after which an answer is missing
	maxOpenStreams           = 300             // streams at once
	sessions                 = 8
	streamAbandonProbability = 0.05                   // of the streams whose client closes before the answer and sends the same again
	maxStreamAbandonDelay    = 100 * time.Millisecond // of such a client
)

// stream sends streams in an open loop until the context ends.
func (r *run) generateStreams(ctx context.Context) {
	const stream = 104
	random := rand.New(rand.NewPCG(r.plan.Seed, stream))
	open := make(chan struct{}, maxOpenStreams)
	var requests sync.WaitGroup
	defer requests.Wait()
	for number := 0; sleep(ctx, time.Duration(random.ExpFloat64()/r.plan.StreamRate*float64(time.Second))); number++ {
		select {
		case open <- struct{}{}:
		default:
			continue
		}
		m, again, loses, heed := r.randomFrontMachine(random), r.randomFrontMachine(random), random.Float64() < streamAbandonProbability, randomDuration(random, 0, maxStreamAbandonDelay)
		requests.Go(func() {
			defer func() { <-open }()
			id := fmt.Sprintf("stream-%d", number)
			if loses {
				r.abandonStream(m, id, number%sessions, heed)
				m = again
			}
			r.sendStream(m, id, number%sessions)
		})
	}
}

// streamAndLeave sends a stream and closes the connection soon.
func (r *run) abandonStream(m system.Machine, id string, session int, heed time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), heed)
	defer cancel()
	r.client.Stream(ctx, m, id, session)
}

// streamOnce sends a stream and judges what comes.
func (r *run) sendStream(m system.Machine, id string, session int) {
	r.requests.add()
	began := time.Now()
	outcome := r.client.Stream(context.Background(), m, id, session)
	if outcome.Err != nil {
		r.checkUnanswered(m, "stream "+id, began, outcome.Err)
		return
	}
	if outcome.Status == http.StatusOK && !outcome.Complete {
		r.checker.violated(RuleBelongs, "stream %s at %s: %s", id, m.Name, outcome.Problem)
	}
	if outcome.Status >= 400 && !allowedUnderFaults(outcome.Status) {
		r.checker.violated(RuleAnswer, "stream %s at %s got %d", id, m.Name, outcome.Status)
	}
}

// allowedStatus tells whether a gateway may answer so to a sound request in trouble.
func allowedUnderFaults(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// unanswered judges a call that got no whole answer: that is a fault unless no connection came up, or the gateway was not whole.
func (r *run) checkUnanswered(m system.Machine, what string, began time.Time, err error) {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return
	}
	if r.timeline.disturbed(r.targetAt(m, system.RoleGateway).name(), began) {
		return
	}
	r.checker.violated(RuleAnswer, "%s at %s got no whole answer in %.3f s: %v", what, m.Name, time.Since(began).Seconds(), err)
}
