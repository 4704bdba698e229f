package serverclient

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/fake/faultyserver"
)

const (
	defaultSimulations = 20
	maxBugSimulations  = 60
	simServers         = 4
	simWorkers         = 8
	simItems           = 8 // per worker
	maxAttempts        = 60
	closedGateShare    = 0.05
	canceledShare      = 0.05
)

// simulate runs the simulation of a seed, in which workers send items to faulty servers until each is completed or
// unprocessable. It returns the violations, and counts of events.
func simulate(t *testing.T, seed uint64, bugs injectedBugs) (violations []string, counts map[string]int) {
	synctest.Test(t, func(*testing.T) {
		fleet := faultyserver.NewFleet(seed, simServers)
		client := NewClient()
		client.dial, client.bugs = fleet.Network.Dial, bugs
		var all sync.WaitGroup
		for i := range simWorkers {
			w := &worker{fleet: fleet, client: client, r: rand.New(rand.NewPCG(seed, 100+uint64(i)))}
			all.Go(func() {
				for item := range simItems {
					w.finish(fleet.Checker.NewItem(w.r, fmt.Sprintf("w%d-%d", i, item)))
				}
			})
		}
		all.Wait()
		client.Sweep(func(string) bool { return false })
		fleet.Close()
		violations, counts = fleet.Checker.Finish(), fleet.Checker.Counts()
	})
	return violations, counts
}

// worker sends items one after the other.
type worker struct {
	fleet  *faultyserver.Fleet
	client *Client
	r      *rand.Rand
}

// finish sends an item until it is completed or unprocessable.
func (w *worker) finish(request *faultyserver.Request) {
	var data []string
	last := int64(-1)
	for attempt := range maxAttempts {
		time.Sleep(time.Duration(w.r.Int64N(int64(100 * time.Millisecond))))
		outcome := w.run(request, strconv.Itoa(attempt), last)
		w.check(request, outcome, w.fleet.Checker.Executions(request, strconv.Itoa(attempt)))
		for _, event := range outcome.Events {
			data = append(data, string(event))
		}
		last = outcome.LastEventID
		w.fleet.Checker.CheckCollected(request, data, outcome.Result == Completed)
		switch outcome.Result {
		case Completed:
			w.fleet.Checker.Count("completed")
			return
		case Unprocessable:
			return
		}
	}
	w.fleet.Checker.Failf("%s: not done after %d runs", request.ID, maxAttempts)
}

// run makes one attempt at a random server. With a small probability the gate returns false, or the context ends
// during the attempt.
func (w *worker) run(request *faultyserver.Request, attempt string, last int64) Outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if w.r.Float64() < canceledShare {
		time.AfterFunc(time.Duration(w.r.Int64N(int64(300*time.Millisecond))), cancel)
	}
	server := w.fleet.Endpoints[w.r.IntN(len(w.fleet.Endpoints))]
	gate := w.r.Float64() >= closedGateShare
	item := &job.Item{
		ID: request.ID, Path: request.Path, Body: request.Body, Headers: []job.Header{{Name: "X-Attempt", Value: attempt}},
	}
	for name, values := range request.Header {
		item.Headers = append(item.Headers, job.Header{Name: name, Value: values[0]})
	}
	return w.client.Run(ctx, &Request{
		Address: server.Address, Instance: server.ID, Host: faultyserver.Host, Tenant: faultyserver.Tenant,
		Item: item, LastEventID: last, Deadline: time.Second, StallTimeout: 2 * time.Second,
		Gate: func() bool { return gate },
	})
}

// check checks that the result of an attempt agrees with what the server executed.
func (w *worker) check(request *faultyserver.Request, outcome Outcome, runs []*faultyserver.Execution) {
	status := map[Result]int{Completed: 200, Failed: 500, Unprocessable: 422}[outcome.Result]
	switch {
	case status != 0 && (len(runs) != 1 || runs[0].Status != status || runs[0].Truncated && status == 200):
		w.fleet.Checker.Failf("%s: client got result %d with %d events, but the server's executions were %s",
			request.ID, outcome.Result, len(outcome.Events), describe(runs))
	case (outcome.Result == NotExecuted || outcome.Result == NotSent) && len(runs) > 0:
		w.fleet.Checker.Failf("%s: client got result %d, but the server executed the item", request.ID, outcome.Result)
	}
}

func describe(runs []*faultyserver.Execution) (text string) {
	for _, run := range runs {
		text += fmt.Sprintf("[%s after %d: %d, truncated: %v]", run.Signature, run.AfterEvent, run.Status, run.Truncated)
	}
	return text
}

// TestRandomServers runs simulations with faulty servers. SEEDS=N runs N of them, FIRST=S starts at seed S.
func TestRandomServers(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv("FIRST"), 10, 64)
	count := defaultSimulations
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		count = n
	}
	all := map[string]int{}
	for at := range count {
		seed := first + uint64(at)
		violations, counts := simulate(t, seed, injectedBugs{})
		for _, violation := range violations {
			t.Errorf("replay with FIRST=%d SEEDS=1: %s", seed, violation)
		}
		for name, n := range counts {
			all[name] += n
		}
	}
	t.Log(count, "simulations from", first, all)
	if all["completed"] < all["tries"]/2 {
		t.Errorf("of %d items only %d were completed", all["tries"], all["completed"])
	}
}

// TestRandomServersFindBugs injects bugs one at a time. Each must be detected with at least one seed.
func TestRandomServersFindBugs(t *testing.T) {
	for name, bugs := range map[string]injectedBugs{
		"a response is accepted whatever request id it carries":                 {acceptAnyID: true},
		"a connection is reused though more than a response was received on it": {reuseAfterStrayInput: true},
		"a connection is reused though a request was only partly sent on it":    {reuseAfterPartialSend: true},
		"a retried item is sent over a connection that it was sent over before": {reuseForSameItem: true},
		"a stream is resumed without its last id, with events in any order":     {omitLastEventID: true, acceptAnyOrder: true},
		"a header that begins within another is accepted":                       {acceptTornHeader: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= maxBugSimulations; seed++ {
				if violations, _ := simulate(t, seed, bugs); len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Errorf("%d simulations didn't detect it", maxBugSimulations)
		})
	}
}
