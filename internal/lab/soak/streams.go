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
	// lossSlack is the time from a request's sending within which a gateway that exits may close its connection unread: the
	// settings' bound (bounds.loss-slack-ms).
	lossSlack = 200 * time.Millisecond
	// deadlineMargin is how much earlier than its deadline a request may be given up.
	deadlineMargin = 100 * time.Millisecond
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

// sendStream sends a stream on a connection of its own and checks the response.
func (r *run) sendStream(m system.Machine, id string, session int) {
	r.checkStream(m, id, time.Now(), func() system.Outcome { return r.client.Stream(context.Background(), m, id, session) })
}

// checkStream sends a stream to a gateway and checks the response. idleSince is when its connection was opened, or its
// last response came: a gateway that was disturbed since then needn't know the connection any more.
func (r *run) checkStream(m system.Machine, id string, idleSince time.Time, send func() system.Outcome) {
	r.streams.Add(1)
	began := time.Now()
	outcome := send()
	if outcome.Err != nil {
		if !r.cluster.ExecutionLog.BrokenOff(id) {
			r.checkLost(m, lostCall{what: "stream " + id, requestID: id, since: idleSince, took: time.Since(began)}, outcome.Err)
		}
		return
	}
	if outcome.Status == http.StatusOK && !outcome.Complete {
		r.checker.violated(RuleBelongs, "stream %s at %s: %s", id, m.Name, outcome.Problem)
	}
	if outcome.Status >= http.StatusBadRequest {
		r.checkRefused(m, id, began, outcome.Status)
	}
}

// checkRefused judges a failure that a gateway sent. 502 and 504 tell that servers have failed or the time is up: a gateway
// that isn't disturbed may send 502 only where a server broke off, and 504 at the deadline only.
func (r *run) checkRefused(m system.Machine, id string, began time.Time, status int) {
	switch {
	case !allowedUnderFaults(status):
		r.checker.violated(RuleAnswer, "stream %s at %s got %d", id, m.Name, status)
	case status != http.StatusBadGateway && status != http.StatusGatewayTimeout:
	case r.cluster.ExecutionLog.BrokenOff(id) || r.timeline.disturbed(r.targetAt(m, system.RoleGateway).name(), began):
	case status == http.StatusBadGateway || time.Since(began) < minStreamTimeout-deadlineMargin:
		r.checker.violated(RuleAnswer, "stream %s at %s got %d after %.3f s, and no server broke it off", id, m.Name, status,
			time.Since(began).Seconds())
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

// lostCall is a call without a complete response.
type lostCall struct {
	what      string
	requestID string        // of a request for a server; empty: it isn't one
	since     time.Time     // from which on a disturbance of the gateway may be the reason
	took      time.Duration // from its sending
}

// checkUnanswered judges a call that began at a time, on a connection of its own, and got no complete response.
func (r *run) checkUnanswered(m system.Machine, what string, began time.Time, err error) {
	r.checkLost(m, lostCall{what: what, since: began, took: time.Since(began)}, err)
}

// checkLost judges a call without a complete response. That is a violation unless no connection was made, the gateway was
// disturbed, or was exiting and passed nothing on within lossSlack, or a stream's time was over.
func (r *run) checkLost(m system.Machine, call lostCall, err error) {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return
	}
	gateway := r.targetAt(m, system.RoleGateway)
	if r.timeline.disturbed(gateway.name(), call.since) {
		return
	}
	if call.requestID != "" && call.took >= minStreamTimeout-deadlineMargin {
		return
	}
	passedOn := call.requestID != "" && r.cluster.ExecutionLog.Executed(call.requestID)
	if gateway.wasExiting(call.since) && call.took <= lossSlack && !passedOn {
		return
	}
	r.checker.violated(RuleAnswer, "%s at %s got no complete response in %.3f s: %v", call.what, m.Name, call.took.Seconds(),
		err)
}
