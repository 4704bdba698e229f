package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/serverclient"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file plays a runner, on virtual time, before servers that fail, cut streams, turn items away, fall silent and come back,
// and a store whose consent lapses and which doesn't take every result. What comes of an item's tries follows from the seed, the
// item and the number of the try alone.

const (
	simItems       = 24
	simMaxAttempts = 3
	simServers     = 4
	// worldTrouble is how long servers and store are in trouble, worldCalm how long after that all must be listed.
	faultPhase, calmPhase = 8 * time.Second, 5 * time.Second
)

// itemKind is what servers make of an item.
type itemKind int

const (
	sound         itemKind = iota
	failing                // 500 at each run
	unprocessable          // 422
)

// kindOf has every eighth item fail, and every eighth be barred.
func kindOf(index int) itemKind {
	switch index % 8 {
	case 3:
		return failing
	case 6:
		return unprocessable
	}
	return sound
}

// seenItem is what has reached servers of an item.
type itemHistory struct {
	failed, unprocessable int // answers of 500 and of 422
	running               int
	state                 job.State
	finished              int
}

type itemSimulation struct {
	seed       uint64
	began      time.Time
	calmFrom   time.Time // no trouble from then on
	mutex      sync.Mutex
	items      [simItems]itemHistory
	attempts   [simItems]int
	offers     map[int]int // offers of a result that were not taken
	violations []string
}

func (w *itemSimulation) violatef(text string, values ...any) {
	w.violations = append(w.violations, fmt.Sprintf(text, values...))
}

func (w *itemSimulation) random(parts ...uint64) *rand.Rand {
	state := w.seed
	for _, part := range parts {
		state = state*0x9e3779b97f4a7c15 + part + 1
	}
	return rand.New(rand.NewPCG(state, w.seed))
}

func (w *itemSimulation) isCalm() bool { return !time.Now().Before(w.calmFrom) }

// lapsed tells whether the store's consent is gone now: some spans of the time of trouble.
func (w *itemSimulation) consentLapsed() bool {
	span := uint64(time.Since(w.began) / (500 * time.Millisecond))
	return !w.isCalm() && w.random(1, span).IntN(5) == 0
}

// Of the store.

func (w *itemSimulation) Work(id string) (replica.Job, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	work := replica.Job{ID: id, Tenant: "t", Route: "route", FirstSent: w.began.UnixMilli()}
	for index := range simItems {
		if w.items[index].finished == 0 {
			work.Items = append(work.Items, replica.JobItem{Index: index, At: wal.Location{Offset: uint32(index)}, Progress: replica.Progress{Last: -1}})
		}
	}
	return work, true
}

func (w *itemSimulation) ReadItem(at wal.Location) (job.Item, error) {
	return job.Item{ID: strconv.Itoa(int(at.Offset)), Path: "/"}, nil
}

func (w *itemSimulation) ReadEvents([]wal.Location) ([][]byte, error) { return nil, nil }

func (w *itemSimulation) MayRun(_ string, index int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.consentLapsed() && w.items[index].finished == 0
}

func (w *itemSimulation) Progress(string, int, int64, int64, [][]byte) {}

func (w *itemSimulation) Finish(_ string, index int, state job.State, text []byte) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.offers[index]++; w.consentLapsed() || w.offers[index] < 1+int(w.seed%3) {
		return false
	}
	one := &w.items[index]
	one.state = state
	if one.finished++; one.finished > 1 {
		w.violatef("item %d was listed twice", index)
	}
	switch {
	case state == job.Completed && string(text) != completeText(index):
		w.violatef("item %d is listed with %q", index, text)
	case state == job.DeadLetter && one.failed < simMaxAttempts && one.unprocessable == 0:
		w.violatef("item %d was given up after %d failures", index, one.failed)
	}
	return true
}

func (w *itemSimulation) Configuration() *configuration.Snapshot {
	return configuration.NewSnapshot(configuration.Document{Routes: []configuration.Route{{Name: "route", Backend: "b",
		MaxAttempts: simMaxAttempts, CompletionTargetMs: 10_000, RetentionSeconds: 3600}}, Backends: []configuration.Backend{{Name: "b"}}}, 1)
}

func (w *itemSimulation) Servers(string) (list []protocol.Server) {
	for i := range simServers {
		list = append(list, protocol.Server{ID: fmt.Sprint("i-", i), Backend: "b", Zone: "z", Slots: 8})
	}
	return list
}

// Of the servers.

const simEvents = 6

func eventOf(index, event int) []byte { return fmt.Appendf(nil, "%d.%d", index, event) }

func completeText(index int) string {
	var events [][]byte
	for event := range simEvents {
		events = append(events, eventOf(index, event))
	}
	return string(joinEvents(events))
}

func (w *itemSimulation) Dials() int64            { return 0 }
func (w *itemSimulation) Sweep(func(string) bool) {}

// Run is a try of an item at a server.
func (w *itemSimulation) Run(ctx context.Context, request *serverclient.Request) serverclient.Outcome {
	index, _ := strconv.Atoi(request.Item.ID)
	w.mutex.Lock()
	w.attempts[index]++
	random := w.random(2, uint64(index), uint64(w.attempts[index]))
	w.mutex.Unlock()
	outcome := serverclient.Outcome{LastEventID: request.LastEventID, Result: serverclient.Canceled}
	if !request.Gate() {
		return outcome
	}
	w.countRunning(index, +1)
	defer w.countRunning(index, -1)
	select {
	case <-time.After(time.Duration(5+random.IntN(200)) * time.Millisecond):
	case <-ctx.Done():
		return outcome
	}
	if !w.isCalm() {
		if ending := random.IntN(12); ending < 4 {
			return w.fault(outcome, index, ending, random)
		}
	}
	return w.answer(outcome, index)
}

func (w *itemSimulation) countRunning(index, one int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.items[index].running += one; w.items[index].running > 1 {
		w.violatef("item %d runs at two servers", index)
	}
	if one > 0 && w.items[index].finished > 0 {
		w.violatef("item %d runs though it is listed", index)
	}
}

// trouble is a server that turns an item away, can't be reached, answers what says nothing, or cuts its stream.
func (w *itemSimulation) fault(outcome serverclient.Outcome, index, ending int, random *rand.Rand) serverclient.Outcome {
	outcome.Result = []serverclient.Result{serverclient.NotExecuted, serverclient.NotSent, serverclient.Rejected, serverclient.Interrupted}[ending]
	if outcome.Result == serverclient.Interrupted && kindOf(index) == sound {
		left := simEvents - int(outcome.LastEventID+1)
		for range random.IntN(left + 1) {
			outcome.LastEventID++
			outcome.Events = append(outcome.Events, eventOf(index, int(outcome.LastEventID)))
		}
	}
	return outcome
}

func (w *itemSimulation) answer(outcome serverclient.Outcome, index int) serverclient.Outcome {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	one := &w.items[index]
	switch kindOf(index) {
	case failing:
		if one.failed++; one.failed > simMaxAttempts {
			w.violatef("item %d reached a server after %d answers of 500", index, one.failed-1)
		}
		outcome.Result = serverclient.Failed
	case unprocessable:
		if one.unprocessable++; one.unprocessable > 1 {
			w.violatef("item %d reached a server after a 422", index)
		}
		outcome.Result = serverclient.Unprocessable
	default:
		for outcome.LastEventID < simEvents-1 {
			outcome.LastEventID++
			outcome.Events = append(outcome.Events, eventOf(index, int(outcome.LastEventID)))
		}
		outcome.Result = serverclient.Completed
	}
	return outcome
}

// playItems plays a world, and gives what was broken in it.
func simulateItems(t *testing.T, seed uint64, plant func(*Runner)) (broken []string) {
	synctest.Test(t, func(t *testing.T) {
		w := &itemSimulation{seed: seed, began: time.Now(), calmFrom: time.Now().Add(faultPhase), offers: map[int]int{}}
		r := New("z", time.Second, w, w, zerolog.Nop())
		r.client = w
		if plant != nil {
			plant(r)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r.Run(ctx)
		}()
		r.Start("job")
		w.stopAndStart(r)
		time.Sleep(time.Until(w.calmFrom.Add(calmPhase)))
		synctest.Wait()
		w.mutex.Lock()
		for index := range w.items {
			w.checkItem(index)
		}
		w.mutex.Unlock()
		cancel()
		<-ended
		broken = w.violations
	})
	return broken
}

// stops has the batch job stopped here and come back, a few times while there is trouble.
func (w *itemSimulation) stopAndStart(r *Runner) {
	random := w.random(3)
	for range random.IntN(6) {
		time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
		r.Stop("job")
		time.Sleep(time.Duration(1+random.IntN(100)) * time.Millisecond) // what ran has ended by then
		r.Start("job")
	}
}

// judge looks at an item when all should have been listed.
func (w *itemSimulation) checkItem(index int) {
	one := &w.items[index]
	want := job.Completed
	if kindOf(index) != sound {
		want = job.DeadLetter
	}
	switch {
	case one.finished == 0:
		w.violatef("item %d is not listed after %v of calm", index, calmPhase)
	case one.state != want:
		w.violatef("item %d is listed as %v", index, one.state)
	}
}

// seeds gives the worlds to play: SEEDS of them from FIRST on, a few where nothing is said.
func seeds(few int) (first, count uint64) {
	first, _ = strconv.ParseUint(os.Getenv("FIRST"), 10, 64)
	if told, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 64); err == nil {
		return first, told
	}
	return first, uint64(few)
}

// Each item is listed, as what it is, once and soon after a trouble; one that fails at each run reaches servers no more often than
// its route allows, and one that can never be done once.
func TestRandomItems(t *testing.T) {
	first, count := seeds(200)
	for seed := first; seed < first+count; seed++ {
		if broken := simulateItems(t, seed, nil); len(broken) > 0 {
			t.Fatalf("FIRST=%d SEEDS=1: %s", seed, slices.Compact(broken))
		}
	}
}

// Each mechanism is needed: without it some world breaks.
func TestInjectedBugs(t *testing.T) {
	for name, planted := range map[string]injectedBugs{
		"failures are not counted":             {forgetFailures: true},
		"a 422 is tried again":                 {retryUnprocessable: true},
		"what was stopped is forgotten":        {forgetStopped: true},
		"events of a cut stream are lost":      {forgetEvents: true},
		"a result that isn't taken is dropped": {dropUnacceptedResult: true},
	} {
		found := false
		for seed := uint64(0); seed < 50 && !found; seed++ {
			found = len(simulateItems(t, seed, func(r *Runner) { r.bugs = planted })) > 0
		}
		if !found {
			t.Errorf("%s: no world breaks", name)
		}
	}
}
