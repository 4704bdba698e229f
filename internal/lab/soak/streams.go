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
	lateness    = 2 * time.Second // beyond its deadline, after which an answer is missing
	mostOpen    = 300             // streams at once
	sessions    = 8
	streamLoses = 0.05                   // of the streams whose client closes before the answer and sends the same again
	longestHeed = 100 * time.Millisecond // of such a client
)

// stream sends streams in an open loop until the context ends.
func (r *run) stream(ctx context.Context) {
	const stream = 104
	random := rand.New(rand.NewPCG(r.plan.Seed, stream))
	open := make(chan struct{}, mostOpen)
	var requests sync.WaitGroup
	defer requests.Wait()
	for number := 0; sleep(ctx, time.Duration(random.ExpFloat64()/r.plan.Rate*float64(time.Second))); number++ {
		select {
		case open <- struct{}{}:
		default:
			continue
		}
		m, again, loses, heed := r.anyFront(random), r.anyFront(random), random.Float64() < streamLoses, drawTime(random, 0, longestHeed)
		requests.Go(func() {
			defer func() { <-open }()
			id := fmt.Sprintf("stream-%d", number)
			if loses {
				r.streamAndLeave(m, id, number%sessions, heed)
				m = again
			}
			r.streamOnce(m, id, number%sessions)
		})
	}
}

// streamAndLeave sends a stream and closes the connection soon.
func (r *run) streamAndLeave(m system.Machine, id string, session int, heed time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), heed)
	defer cancel()
	r.client.Stream(ctx, m, id, session)
}

// streamOnce sends a stream and judges what comes.
func (r *run) streamOnce(m system.Machine, id string, session int) {
	r.requests.add()
	began := time.Now()
	outcome := r.client.Stream(context.Background(), m, id, session)
	if outcome.Err != nil {
		r.unanswered(m, "stream "+id, began, outcome.Err)
		return
	}
	if outcome.Status == http.StatusOK && !outcome.Whole {
		r.referee.broken(RuleBelongs, "stream %s at %s: %s", id, m.Name, outcome.Problem)
	}
	if outcome.Status >= 400 && !allowedStatus(outcome.Status) {
		r.referee.broken(RuleAnswer, "stream %s at %s got %d", id, m.Name, outcome.Status)
	}
}

// allowedStatus tells whether a gateway may answer so to a sound request in trouble.
func allowedStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// unanswered judges a call that got no whole answer: that is a fault unless no connection came up, or the gateway was not whole.
func (r *run) unanswered(m system.Machine, what string, began time.Time, err error) {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return
	}
	if r.timeline.disturbed(r.unitAt(m, system.RoleGateway).name(), began) {
		return
	}
	r.referee.broken(RuleAnswer, "%s at %s got no whole answer in %.3f s: %v", what, m.Name, time.Since(began).Seconds(), err)
}
