package runner

import (
	"context"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// fakeStore is a Store and a Discovery with a batch job of two items that was first submitted at the time sent.
// It doesn't permit the items to run.
type fakeStore struct {
	mutex    sync.Mutex
	sent     time.Time
	route    string
	finished map[int]job.State
}

func (s *fakeStore) Work(id string) (replica.Job, bool) {
	return replica.Job{ID: id, Tenant: "t", Route: s.route, FirstSent: s.sent.UnixMilli(), Items: []replica.JobItem{
		{Index: 0, Progress: replica.Progress{Last: -1}}, {Index: 1, Progress: replica.Progress{Last: -1}},
	}}, true
}

func (s *fakeStore) ReadItem(wal.Location) (job.Item, error) {
	return job.Item{ID: "i", Path: "/"}, nil
}

func (s *fakeStore) ReadEvents([]wal.Location) ([][]byte, error)  { return nil, nil }
func (s *fakeStore) MayRun(string, int) bool                      { return false }
func (s *fakeStore) Progress(string, int, int64, int64, [][]byte) {}
func (s *fakeStore) Failures(string, int, replica.Failures)       {}
func (s *fakeStore) Configuration() *configuration.Snapshot       { return testConfiguration() }
func (s *fakeStore) Servers(string) []protocol.Server             { return nil }

func (s *fakeStore) Finish(_ string, index int, state job.State, _ []byte) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.finished[index] = state
	return true
}

func testConfiguration() *configuration.Snapshot {
	return configuration.NewSnapshot(configuration.Document{Routes: []configuration.Route{
		{Name: "limited", Backend: "b", RetentionSeconds: 20}, {Name: "endless", Backend: "b"},
	}}, 1)
}

// runnerAt starts a batch job that was first submitted at a given time, runs the first steps of a runner's loop,
// and returns the store with the results.
func runnerAt(sent time.Time, route string) *fakeStore {
	store := &fakeStore{sent: sent, route: route, finished: map[int]job.State{}}
	r := New("z", 10*time.Second, store, store, zerolog.Nop())
	r.Start("job")
	r.startJobs()
	r.refresh()
	return store
}

func TestExpiry(t *testing.T) {
	Convey("An item expires after its retention, with a margin for clock jumps, and never without one", t, func() {
		now := time.Now()
		So(runnerAt(now.Add(-29*time.Second), "limited").finished, ShouldBeEmpty)
		So(runnerAt(now.Add(-31*time.Second), "limited").finished, ShouldResemble,
			map[int]job.State{0: job.DeadLetter, 1: job.DeadLetter})
		So(runnerAt(now.Add(-time.Hour), "endless").finished, ShouldBeEmpty)
		So(runnerAt(now, "no such route").finished, ShouldBeEmpty)
	})
	Convey("A route that is missing for longer than the timeout counts as removed", t, func() {
		store := &fakeStore{sent: time.Now(), route: "no such route", finished: map[int]job.State{}}
		r := New("z", 0, store, store, zerolog.Nop())
		r.Start("job")
		r.startJobs()
		r.refresh()
		r.jobs["job"].routeMissingSince = time.Now().Add(-routeMissingTimeout - time.Second)
		r.refresh()
		So(store.finished, ShouldHaveLength, 2)
		So(r.jobs, ShouldBeEmpty)
	})
}

func TestDeadlinesAndAttempts(t *testing.T) {
	Convey("While its route isn't known, an item doesn't become a dead letter because of failures", t, func() {
		store := &fakeStore{}
		r := New("z", 0, store, store, zerolog.Nop())
		jobOnRoute := func(route string) *batchJob { return &batchJob{Job: replica.Job{Route: route}} }
		So(r.maxAttempts(jobOnRoute("limited")), ShouldEqual, 1)
		So(r.maxAttempts(jobOnRoute("no such route")), ShouldEqual, math.MaxInt)
	})
	Convey("A server gets 30 s for an item, or until the item expires, but at least 1 s", t, func() {
		r := New("z", 0, nil, nil, zerolog.Nop())
		for left, want := range map[time.Duration]time.Duration{
			time.Hour: maxDeadline, 10 * time.Second: 10 * time.Second, 0: time.Second, -time.Minute: time.Second,
		} {
			got := r.deadline(&batchJob{expiresAt: time.Now().Add(left)})
			So(got, ShouldBeBetweenOrEqual, want-time.Second, want)
		}
		So(r.deadline(&batchJob{}), ShouldEqual, maxDeadline)
	})
}

func TestEnd(t *testing.T) {
	Convey("A runner without batch jobs returns when its context ends", t, func() {
		store := &fakeStore{finished: map[int]job.State{}}
		r := New("z", 0, store, store, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			r.Run(ctx)
			close(done)
		}()
		cancel()
		<-done
		So(r.Counts().Attempts, ShouldEqual, 0)
	})
}
