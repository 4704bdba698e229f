package leader

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestElection(t *testing.T) {
	Convey("An election", t, func() {
		e := NewElection(10 * time.Millisecond)
		lease := Lease{Epoch: 4, Expires: time.Second, Held: true}
		So(e.Observe(0, lease), ShouldEqual, StartRole)
		So(e.Valid(989*time.Millisecond, 4), ShouldBeTrue)
		So(e.Valid(990*time.Millisecond, 4), ShouldBeFalse)

		Convey("goes on as the lease is renewed", func() {
			lease.Expires = 2 * time.Second
			So(e.Observe(500*time.Millisecond, lease), ShouldEqual, NoAction)
			So(e.Valid(1900*time.Millisecond, 4), ShouldBeTrue)
		})
		Convey("stops when the lease has ended", func() {
			So(e.Observe(500*time.Millisecond, Lease{}), ShouldEqual, NoAction)
			So(e.Observe(990*time.Millisecond, Lease{}), ShouldEqual, StopRole)
			So(e.Observe(991*time.Millisecond, Lease{}), ShouldEqual, NoAction)
		})
		Convey("starts anew under another epoch", func() {
			next := Lease{Epoch: 5, Expires: 3 * time.Second, Held: true}
			So(e.Observe(500*time.Millisecond, next), ShouldEqual, StopRole)
			So(e.Observe(500*time.Millisecond, next), ShouldEqual, StartRole)
			So(e.Valid(time.Second, 4), ShouldBeFalse)
			So(e.Valid(time.Second, 5), ShouldBeTrue)
		})
		Convey("doesn't start again after it resigned, until it campaigns", func() {
			So(e.Resign(), ShouldEqual, StopRole)
			So(e.Valid(0, 4), ShouldBeFalse)
			So(e.Observe(100*time.Millisecond, lease), ShouldEqual, NoAction)
			e.Campaign()
			So(e.Observe(100*time.Millisecond, lease), ShouldEqual, StartRole)
		})
		Convey("doesn't start on a lease that has nearly ended", func() {
			other := NewElection(10 * time.Millisecond)
			So(other.Observe(995*time.Millisecond, lease), ShouldEqual, NoAction)
		})
	})
}

// TestElectionIsValidOnlyWithinLeases checks that no term is valid without a lease of its epoch, or after the
// end of the latest such lease.
func TestElectionIsValidOnlyWithinLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewElection(time.Millisecond)
		ends := map[uint64]time.Duration{}
		now := time.Duration(0)
		epoch := uint64(1)
		for i := 0; i < 100; i++ {
			now += time.Duration(rapid.IntRange(0, 5e8).Draw(t, "pause"))
			epoch += uint64(rapid.IntRange(0, 1).Draw(t, "epoch"))
			lease := Lease{Epoch: epoch, Expires: now + time.Duration(rapid.IntRange(-1e9, 1e9).Draw(t, "until"))}
			lease.Held = rapid.Bool().Draw(t, "leads")
			if lease.Held {
				ends[epoch] = max(ends[epoch], lease.Expires)
			}
			e.Observe(now, lease)
			for known := uint64(1); known <= epoch; known++ {
				if e.Valid(now, known) && now >= ends[known] {
					t.Fatalf("the term of epoch %d is valid at %v, but its latest lease ended at %v", known, now, ends[known])
				}
			}
		}
	})
}

// fakeSource is a source whose leader lease a test sets.
type fakeSource struct {
	mutex     sync.Mutex
	epoch     uint64
	until     time.Time
	leads     bool
	handOvers int
}

func (s *fakeSource) set(epoch uint64, until time.Time, leads bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.epoch, s.until, s.leads = epoch, until, leads
}

func (s *fakeSource) LeaderLease() (uint64, time.Time, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.epoch, s.until, s.leads
}

func (s *fakeSource) HandOver(context.Context) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handOvers++
	s.leads = false
	return nil
}

func TestRunner(t *testing.T) {
	Convey("A runner runs the role in its term and hands over when it resigns", t, func() {
		source := &fakeSource{}
		terms := make(chan *Term, 8)
		ended := make(chan uint64, 8)
		runner := Run(source, func(ctx context.Context, term *Term) {
			terms <- term
			<-ctx.Done()
			ended <- term.Epoch()
		}, Options{Interval: time.Millisecond})
		defer runner.Close()

		source.set(1, time.Now().Add(time.Hour), true)
		first := <-terms
		So(first.Epoch(), ShouldEqual, 1)
		So(first.Valid(), ShouldBeTrue)

		source.set(2, time.Now().Add(time.Hour), true)
		So(<-ended, ShouldEqual, 1)
		second := <-terms
		So(first.Valid(), ShouldBeFalse)
		So(second.Valid(), ShouldBeTrue)

		So(runner.Resign(context.Background()), ShouldBeNil)
		So(<-ended, ShouldEqual, 2)
		So(second.Valid(), ShouldBeFalse)
		So(source.handOvers, ShouldEqual, 1)
	})
}

// TestValidCancelsEndedTerm checks that a role is cancelled if its own call of Term.Valid ends the term. The
// runner's next poll finds no running term to stop, so that without the cancellation Close would wait for the role
// forever.
func TestValidCancelsEndedTerm(t *testing.T) {
	source := &fakeSource{}
	const margin = time.Hour
	source.set(1, time.Now().Add(2*margin), true)
	started := make(chan *Term, 1)
	ended := make(chan struct{})
	runner := Run(source, func(ctx context.Context, term *Term) {
		started <- term
		<-ctx.Done()
		close(ended)
	}, Options{Interval: time.Hour, Margin: margin})
	term := <-started
	// The lease isn't renewed, and less than the margin remains until its end.
	runner.mutex.Lock()
	runner.startedAt = runner.startedAt.Add(-3 * margin / 2)
	source.set(1, runner.startedAt.Add(2*margin), true)
	runner.mutex.Unlock()
	if term.Valid() {
		t.Error("the term is valid although less than the margin remains until the end of its lease")
	}
	select {
	case <-ended:
	case <-time.After(time.Minute):
		t.Fatal("the role wasn't cancelled")
	}
	runner.Close()
}
