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

// This file simulates a runner in virtual time. Its servers fail items, interrupt streams, reject items and
// can't be reached; its store sometimes refuses permission to run items and doesn't accept every result. The
// outcome of an attempt depends only on the seed, the item and the number of the attempt.

const (
	simItems       = 24
	simMaxAttempts = 3
	simServers     = 4
	// faultPhase is the time during which faults are injected. faultFreePhase is the time after it within which
	// all items must get results.
	faultPhase, faultFreePhase = 8 * time.Second, 5 * time.Second
)

// itemKind selects how servers answer an item.
type itemKind int

const (
	succeeding    itemKind = iota // 200
	failing                       // 500 at each attempt
	unprocessable                 // 422
)

// kindOf makes every eighth item failing, and every eighth unprocessable.
func kindOf(index int) itemKind {
	switch index % 8 {
	case 3:
		return failing
	case 6:
		return unprocessable
	}
	return succeeding
}

// itemHistory records what the servers and the store have done with an item.
type itemHistory struct {
	failed, unprocessable int // number of answers with 500 and with 422
	running               int
	state                 job.State
	finished              int // results that the store accepted
}

// itemSimulation is the runner's store, discovery and client in one. The mutex guards items, attempts,
// submissions and violations.
type itemSimulation struct {
	seed        uint64
	began       time.Time
	faultsEndAt time.Time // end of the fault phase
	mutex       sync.Mutex
	items       [simItems]itemHistory
	attempts    [simItems]int
	submissions map[int]int              // number of results submitted, by item
	failures    map[int]replica.Failures // recorded by the owners of the batch job, by item, if it changes owners
	violations  []string
}

func (s *itemSimulation) violatef(text string, values ...any) {
	s.violations = append(s.violations, fmt.Sprintf(text, values...))
}

func (s *itemSimulation) random(parts ...uint64) *rand.Rand {
	state := s.seed
	for _, part := range parts {
		state = state*0x9e3779b97f4a7c15 + part + 1
	}
	return rand.New(rand.NewPCG(state, s.seed))
}

func (s *itemSimulation) faultsEnded() bool { return !time.Now().Before(s.faultsEndAt) }

// permissionRefused reports whether the store refuses permission to run items now. It does so in random 500 ms
// spans of the fault phase.
func (s *itemSimulation) permissionRefused() bool {
	span := uint64(time.Since(s.began) / (500 * time.Millisecond))
	return !s.faultsEnded() && s.random(1, span).IntN(5) == 0
}

// The following methods implement Store and Discovery.

func (s *itemSimulation) Work(id string) (replica.Job, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	work := replica.Job{ID: id, Tenant: "t", Route: "route", FirstSent: s.began.UnixMilli()}
	for index := range simItems {
		if s.items[index].finished == 0 {
			work.Items = append(work.Items, replica.JobItem{
				Index: index, At: wal.Location{Offset: uint32(index)}, Progress: replica.Progress{Last: -1},
				Failures: s.failures[index],
			})
		}
	}
	return work, true
}

func (s *itemSimulation) ReadItem(at wal.Location) (job.Item, error) {
	return job.Item{ID: strconv.Itoa(int(at.Offset)), Path: "/"}, nil
}

func (s *itemSimulation) ReadEvents([]wal.Location) ([][]byte, error) { return nil, nil }

func (s *itemSimulation) MayRun(_ string, index int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.permissionRefused() && s.items[index].finished == 0
}

func (s *itemSimulation) Progress(string, int, int64, int64, [][]byte) {}

// changesOwner reports whether the batch job changes its owner each time it is stopped. Otherwise it is started again
// at the same store.
func (s *itemSimulation) changesOwner() bool { return s.seed%2 == 1 }

// Failures keeps the failures for the next owner.
func (s *itemSimulation) Failures(_ string, index int, failures replica.Failures) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.changesOwner() {
		s.failures[index] = failures
	}
}

func (s *itemSimulation) Finish(_ string, index int, state job.State, text []byte) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.submissions[index]++; s.permissionRefused() || s.submissions[index] < 1+int(s.seed%3) {
		return false
	}
	item := &s.items[index]
	item.state = state
	if item.finished++; item.finished > 1 {
		s.violatef("item %d was finished twice", index)
	}
	switch {
	case state == job.Completed && string(text) != completeText(index):
		s.violatef("item %d was finished with %q", index, text)
	case state == job.DeadLetter && item.failed < simMaxAttempts && item.unprocessable == 0:
		s.violatef("item %d was given up after %d failures", index, item.failed)
	}
	return true
}

func (s *itemSimulation) Configuration() *configuration.Snapshot {
	route := configuration.Route{
		Name: "route", Backend: "b", MaxAttempts: simMaxAttempts, CompletionTargetMs: 10_000, RetentionSeconds: 3600,
	}
	return configuration.NewSnapshot(configuration.Document{
		Routes: []configuration.Route{route}, Backends: []configuration.Backend{{Name: "b"}},
	}, 1)
}

func (s *itemSimulation) Servers(string) (list []protocol.Server) {
	for i := range simServers {
		list = append(list, protocol.Server{ID: fmt.Sprint("i-", i), Backend: "b", Zone: "z", Slots: 8})
	}
	return list
}

// The following methods implement Client.

const simEvents = 6

func eventOf(index, event int) []byte { return fmt.Appendf(nil, "%d.%d", index, event) }

func completeText(index int) string {
	var events [][]byte
	for event := range simEvents {
		events = append(events, eventOf(index, event))
	}
	return string(joinEvents(events))
}

func (s *itemSimulation) Dials() int64            { return 0 }
func (s *itemSimulation) Sweep(func(string) bool) {}

// Run simulates one attempt of an item at a server.
func (s *itemSimulation) Run(ctx context.Context, request *serverclient.Request) serverclient.Outcome {
	index, _ := strconv.Atoi(request.Item.ID)
	s.mutex.Lock()
	s.attempts[index]++
	random := s.random(2, uint64(index), uint64(s.attempts[index]))
	s.mutex.Unlock()
	outcome := serverclient.Outcome{LastEventID: request.LastEventID, Result: serverclient.Canceled}
	if !request.Gate() {
		return outcome
	}
	s.countRunning(index, +1)
	defer s.countRunning(index, -1)
	select {
	case <-time.After(time.Duration(5+random.IntN(200)) * time.Millisecond):
	case <-ctx.Done():
		return outcome
	}
	if !s.faultsEnded() {
		if fault := random.IntN(12); fault < len(faults) {
			return s.fault(outcome, index, fault, random)
		}
	}
	return s.answer(outcome, index)
}

// countRunning adds change to the number of running attempts of an item.
func (s *itemSimulation) countRunning(index, change int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.items[index].running += change; s.items[index].running > 1 {
		s.violatef("item %d runs at two servers", index)
	}
	if change > 0 && s.items[index].finished > 0 {
		s.violatef("item %d runs though it is finished", index)
	}
}

// faults are the results of injected faults. They say nothing about the item.
var faults = []serverclient.Result{
	serverclient.NotExecuted, serverclient.NotSent, serverclient.Rejected, serverclient.Interrupted,
}

// fault returns the outcome of one of the faults. An interrupted stream delivers a random number of the remaining
// events.
func (s *itemSimulation) fault(
	outcome serverclient.Outcome, index, fault int, random *rand.Rand,
) serverclient.Outcome {
	outcome.Result = faults[fault]
	if outcome.Result == serverclient.Interrupted && kindOf(index) == succeeding {
		left := simEvents - int(outcome.LastEventID+1)
		for range random.IntN(left + 1) {
			outcome.LastEventID++
			outcome.Events = append(outcome.Events, eventOf(index, int(outcome.LastEventID)))
		}
	}
	return outcome
}

// answer returns the outcome of an attempt without a fault.
func (s *itemSimulation) answer(outcome serverclient.Outcome, index int) serverclient.Outcome {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item := &s.items[index]
	switch kindOf(index) {
	case failing:
		if item.failed++; item.failed > simMaxAttempts {
			s.violatef("item %d reached a server after %d answers of 500", index, item.failed-1)
		}
		outcome.Result = serverclient.Failed
	case unprocessable:
		if item.unprocessable++; item.unprocessable > 1 {
			s.violatef("item %d reached a server after a 422", index)
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

// simulateItems runs the simulation of a seed and returns the violations.
func simulateItems(t *testing.T, seed uint64, inject func(*Runner)) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		s := &itemSimulation{
			seed: seed, began: time.Now(), faultsEndAt: time.Now().Add(faultPhase), submissions: map[int]int{},
			failures: map[int]replica.Failures{},
		}
		owner := s.startRunner(inject)
		owner.Start("job")
		owner = s.stopAndStart(owner, inject)
		time.Sleep(time.Until(s.faultsEndAt.Add(faultFreePhase)))
		synctest.Wait()
		s.mutex.Lock()
		for index := range s.items {
			s.checkItem(index)
		}
		s.mutex.Unlock()
		owner.end()
		violations = s.violations
	})
	return violations
}

// simulatedOwner is a runner that runs until end is called.
type simulatedOwner struct {
	*Runner
	cancel context.CancelFunc
	ended  chan struct{}
}

// startRunner starts a runner on the simulation's store.
func (s *itemSimulation) startRunner(inject func(*Runner)) *simulatedOwner {
	owner := &simulatedOwner{Runner: New("z", time.Second, s, s, zerolog.Nop()), ended: make(chan struct{})}
	owner.client = s
	if inject != nil {
		inject(owner.Runner)
	}
	var ctx context.Context
	ctx, owner.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(owner.ended)
		owner.Run(ctx)
	}()
	return owner
}

func (o *simulatedOwner) end() {
	o.cancel()
	<-o.ended
}

// stopAndStart stops the batch job at its store and starts it again at the same store or at another one, a few times
// in the fault phase. It returns the last owner.
func (s *itemSimulation) stopAndStart(owner *simulatedOwner, inject func(*Runner)) *simulatedOwner {
	random := s.random(3)
	for range random.IntN(6) {
		time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
		owner.Stop("job")
		time.Sleep(time.Duration(1+random.IntN(100)) * time.Millisecond) // running attempts end within this time
		if s.changesOwner() {
			owner.end()
			owner = s.startRunner(inject)
		}
		owner.Start("job")
	}
	return owner
}

// checkItem checks that an item is finished, with the state that its kind requires.
func (s *itemSimulation) checkItem(index int) {
	item := &s.items[index]
	want := job.Completed
	if kindOf(index) != succeeding {
		want = job.DeadLetter
	}
	switch {
	case item.finished == 0:
		s.violatef("item %d is not finished after %v without faults", index, faultFreePhase)
	case item.state != want:
		s.violatef("item %d was finished as %v", index, item.state)
	}
}

// seeds returns the seeds to run: SEEDS of them from FIRST on, by default a few from 0 on.
func seeds(few int) (first, count uint64) {
	first, _ = strconv.ParseUint(os.Getenv("FIRST"), 10, 64)
	if count, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 64); err == nil {
		return first, count
	}
	return first, uint64(few)
}

// TestRandomItems checks that each item is finished once, with the state that its kind requires, soon after the
// fault phase; that a failing item reaches servers no more often than its route allows, and an unprocessable item
// only once.
func TestRandomItems(t *testing.T) {
	first, count := seeds(200)
	for seed := first; seed < first+count; seed++ {
		if violations := simulateItems(t, seed, nil); len(violations) > 0 {
			t.Fatalf("FIRST=%d SEEDS=1: %s", seed, slices.Compact(violations))
		}
	}
}

// TestInjectedBugs checks that the simulation detects each bug.
func TestInjectedBugs(t *testing.T) {
	for name, bugs := range map[string]injectedBugs{
		"failures are not counted":                 {forgetFailures: true},
		"an item is retried after a 422":           {retryUnprocessable: true},
		"failures of a stopped job are forgotten":  {forgetStopped: true},
		"failures at other owners are forgotten":   {forgetOtherOwners: true},
		"events of an interrupted stream are lost": {forgetEvents: true},
		"a result that isn't accepted is dropped":  {dropUnacceptedResult: true},
	} {
		found := false
		for seed := uint64(0); seed < 50 && !found; seed++ {
			found = len(simulateItems(t, seed, func(r *Runner) { r.bugs = bugs })) > 0
		}
		if !found {
			t.Errorf("%s: no seed detects it", name)
		}
	}
}
