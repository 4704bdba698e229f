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
	simItems           = 8 // of each worker
	maxAttempts        = 60
	closedGateShare    = 0.05
	canceledShare      = 0.05
)

// play plays the world of a seed: workers that bring items to their ends at servers that misbehave.
func simulate(t *testing.T, seed uint64, plant injectedBugs) (broken []string, counts map[string]int) {
	synctest.Test(t, func(*testing.T) {
		fleet := faultyserver.NewFleet(seed, simServers)
		client := NewClient()
		client.dial, client.bugs = fleet.Network.Dial, plant
		var all sync.WaitGroup
		for i := range simWorkers {
			w := &worker{fleet: fleet, client: client, r: rand.New(rand.NewPCG(seed, 100+uint64(i)))}
			all.Go(func() {
				for item := range simItems {
					w.finish(fleet.Audit.Item(w.r, fmt.Sprintf("w%d-%d", i, item)))
				}
			})
		}
		all.Wait()
		client.Sweep(func(string) bool { return false })
		fleet.Close()
		broken, counts = fleet.Audit.Finish(), fleet.Audit.Counts()
	})
	return broken, counts
}

type worker struct {
	fleet  *faultyserver.Fleet
	client *Client
	r      *rand.Rand
}

// finish runs an item until it is done or can't be.
func (w *worker) finish(try *faultyserver.Try) {
	var data []string
	last := int64(-1)
	for attempt := range maxAttempts {
		time.Sleep(time.Duration(w.r.Int64N(int64(100 * time.Millisecond))))
		outcome := w.run(try, strconv.Itoa(attempt), last)
		w.check(try, outcome, w.fleet.Audit.Runs(try, strconv.Itoa(attempt)))
		for _, event := range outcome.Events {
			data = append(data, string(event))
		}
		last = outcome.LastEventID
		w.fleet.Audit.Collected(try, data, outcome.Result == Completed)
		switch outcome.Result {
		case Completed:
			w.fleet.Audit.Count("completed")
			return
		case Unprocessable:
			return
		}
	}
	w.fleet.Audit.Failf("%s: not done after %d runs", try.ID, maxAttempts)
}

// run sends an item to some server; now and then its gate is shut, or its batch job ends meanwhile.
func (w *worker) run(try *faultyserver.Try, attempt string, last int64) Outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if w.r.Float64() < canceledShare {
		time.AfterFunc(time.Duration(w.r.Int64N(int64(300*time.Millisecond))), cancel)
	}
	server := w.fleet.Servers[w.r.IntN(len(w.fleet.Servers))]
	gate := w.r.Float64() >= closedGateShare
	item := &job.Item{ID: try.ID, Path: try.Path, Body: try.Body,
		Headers: []job.Header{{Name: "X-Attempt", Value: attempt}}}
	for name, values := range try.Header {
		item.Headers = append(item.Headers, job.Header{Name: name, Value: values[0]})
	}
	return w.client.Run(ctx, &Request{Address: server.Address, Instance: server.ID, Host: faultyserver.Host, Tenant: faultyserver.Tenant, Item: item,
		LastEventID: last, Deadline: time.Second, StallTimeout: 2 * time.Second, Gate: func() bool { return gate }})
}

// check holds that what a run came to is what the server did.
func (w *worker) check(try *faultyserver.Try, outcome Outcome, runs []*faultyserver.Run) {
	status := map[Result]int{Completed: 200, Failed: 500, Unprocessable: 422}[outcome.Result]
	switch {
	case status != 0 && (len(runs) != 1 || runs[0].Status != status || runs[0].Cut && status == 200):
		w.fleet.Audit.Failf("%s: ended as %d with %d events, where the server's runs were %s", try.ID, outcome.Result, len(outcome.Events), describe(runs))
	case (outcome.Result == NotExecuted || outcome.Result == NotSent) && len(runs) > 0:
		w.fleet.Audit.Failf("%s: ended as %d, and has run", try.ID, outcome.Result)
	}
}

func describe(runs []*faultyserver.Run) (text string) {
	for _, run := range runs {
		text += fmt.Sprintf("[%s after %d: %d, cut: %v]", run.Stamp, run.After, run.Status, run.Cut)
	}
	return text
}

// TestRandomServers plays worlds of servers that misbehave; SEEDS=N plays N of them, FIRST=S starts at seed S.
func TestRandomServers(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv("FIRST"), 10, 64)
	count := defaultSimulations
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		count = n
	}
	all := map[string]int{}
	for at := range count {
		seed := first + uint64(at)
		broken, counts := simulate(t, seed, injectedBugs{})
		for _, one := range broken {
			t.Errorf("replay with FIRST=%d SEEDS=1: %s", seed, one)
		}
		for name, n := range counts {
			all[name] += n
		}
	}
	t.Log(count, "worlds from", first, all)
	if all["completed"] < all["tries"]/2 {
		t.Errorf("of %d items only %d were completed", all["tries"], all["completed"])
	}
}

// TestRandomServersFindBugs plants bugs one by one; some world must show each.
func TestRandomServersFindBugs(t *testing.T) {
	for name, plant := range map[string]injectedBugs{
		"an answer is taken whatever item it names":                                  {acceptAnyID: true},
		"a connection is used again on which more has come than an answer":           {reuseAfterStrayInput: true},
		"a connection is used again on which a request's body is due":                {reuseAfterPartialSend: true},
		"an item that comes again goes over the connection that it went over before": {reuseForSameItem: true},
		"a stream is taken up without the id of its last event, in any order":        {omitLastEventID: true, acceptAnyOrder: true},
		"a head that begins in the middle of another is taken for one with it":       {acceptTornHeader: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= maxBugSimulations; seed++ {
				if broken, _ := simulate(t, seed, plant); len(broken) > 0 {
					t.Logf("seed %d: %s", seed, broken[0])
					return
				}
			}
			t.Errorf("%d worlds didn't show it", maxBugSimulations)
		})
	}
}
