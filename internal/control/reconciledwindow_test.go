package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Parameters of the measurement.
const (
	windowChanges = 12 // times that a store leaves and rejoins, for each number of stores
	// maxReplicationTime is the longest time that a simulated store takes to reconcile after a change of the view.
	maxReplicationTime = 300 * time.Millisecond
	// maxReconciledWindow bounds the time from the reconciliation of the last store to the moment when the membership is
	// recorded as reconciled.
	maxReconciledWindow = 300 * time.Millisecond
)

// windowStore is a batch process without batch jobs. It polls as package subscription does: every PollInterval, and
// at once when it has reconciled.
type windowStore struct {
	simulation *windowSimulation
	process    protocol.Process
	random     *rand.Rand
	wake       chan struct{}
	lock       sync.Mutex // guards the fields below
	epoch      uint64     // epoch of the last grant
	reconciled uint64
	paused     bool
}

// windowSimulation simulates control processes and stores, of which one at a time pauses and resumes.
type windowSimulation struct {
	*simulatedSystem
	lock           sync.Mutex // guards the fields below
	lastReconciled time.Time  // when the last store reconciled
	over           bool
}

func (s *windowStore) isPaused() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.paused
}

func (w *windowSimulation) isOver() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.over
}

// run polls a control process as long as it confirms its state, then another one.
func (s *windowStore) run() {
	for !s.simulation.isOver() {
		if s.isPaused() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		s.subscribe(s.random.IntN(len(s.simulation.settings)))
	}
}

func (s *windowStore) subscribe(at int) {
	w := s.simulation
	options := transport.Options{
		Identity: transport.Identity{System: protocol.System, Node: s.process.Node, Role: s.process.Role},
		Dial:     w.host(s.process.IP).Dial,
	}
	client := transport.NewClient(w.settings[at].Endpoint(node.PortControl), options, func(any) {}, nil)
	defer client.Close()
	confirmedAt := time.Now()
	for sequence := uint64(1); time.Since(confirmedAt) < 700*time.Millisecond && !w.isOver() && !s.isPaused(); sequence++ {
		sent := time.Now()
		s.lock.Lock()
		report := &protocol.BatchReport{Epoch: s.epoch, Settled: s.reconciled}
		s.lock.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		reply, err := client.Call(ctx, protocol.Poll{Process: s.process, Sequence: sequence, Batch: report, Ready: true})
		cancel()
		if err == nil {
			update := reply.(protocol.Update)
			if update.Fresh {
				confirmedAt = sent
			}
			s.applyGrant(update.Store)
		}
		select {
		case <-s.wake:
		case <-time.After(time.Until(sent.Add(protocol.PollInterval))):
		}
	}
}

// applyGrant enters the epoch of a grant, and reconciles in it within maxReplicationTime.
func (s *windowStore) applyGrant(grant *protocol.StoreGrant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if grant == nil || !grant.Member || grant.Epoch <= s.epoch {
		return
	}
	s.epoch = grant.Epoch
	epoch := grant.Epoch
	time.AfterFunc(time.Duration(s.random.Int64N(int64(maxReplicationTime))), func() {
		s.lock.Lock()
		if s.epoch != epoch || s.paused {
			s.lock.Unlock()
			return
		}
		s.reconciled = epoch
		s.lock.Unlock()
		s.simulation.lock.Lock()
		s.simulation.lastReconciled = time.Now()
		s.simulation.lock.Unlock()
		select {
		case s.wake <- struct{}{}:
		default:
		}
	})
}

// awaitReconciled waits until a membership with the given number of members is recorded as reconciled, and returns
// the time of that.
func (w *windowSimulation) awaitReconciled(t *testing.T, members int) time.Time {
	for range 20_000 {
		w.mutex.Lock()
		running := slices.Clone(w.running)
		w.mutex.Unlock()
		for _, one := range running {
			if stores := one.state.Stores(); stores.Settled && len(stores.Members) == members {
				return time.Now()
			}
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the membership was not recorded as reconciled")
	return time.Time{}
}

// measureWindows makes one store after the other leave and rejoin a membership of count stores, windowChanges times in
// all, and returns the window of each leave and each rejoin.
func measureWindows(t *testing.T, count int) (windows []time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		w := &windowSimulation{simulatedSystem: newSimulatedSystem(t, uint64(count), injectedBug{})}
		var stores []*windowStore
		var running sync.WaitGroup
		for number := range count {
			s := &windowStore{simulation: w, process: storeProcess(number, "a"), wake: make(chan struct{}, 1),
				random: rand.New(rand.NewPCG(uint64(count), uint64(number)))}
			stores = append(stores, s)
			running.Go(s.run)
		}
		w.awaitReconciled(t, count)
		for change := range windowChanges {
			victim := stores[change%count]
			victim.setPaused(true)
			for _, members := range []int{count - 1, count} {
				reconciledAt := w.awaitReconciled(t, members)
				w.lock.Lock()
				windows = append(windows, reconciledAt.Sub(w.lastReconciled))
				w.lock.Unlock()
				victim.setPaused(false)
			}
		}
		w.lock.Lock()
		w.over = true
		w.lock.Unlock()
		running.Wait()
		w.finish()
	})
	return windows
}

func (s *windowStore) setPaused(paused bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.paused = paused
}

// TestReconciledWindow measures and bounds the time from the reconciliation of the last store to the moment when the
// membership is recorded as reconciled. From then on the system tolerates the next loss of disks.
func TestReconciledWindow(t *testing.T) {
	for _, count := range []int{3, 14, 45} {
		windows := measureWindows(t, count)
		slices.Sort(windows)
		worst := windows[len(windows)-1]
		t.Logf("%d stores: %d changes, p50 %v, p99 %v, worst %v", count, len(windows), windows[len(windows)/2],
			windows[len(windows)*99/100], worst)
		if worst > maxReconciledWindow {
			t.Errorf("%d stores: the membership was recorded as reconciled %v after the last store, too late", count, worst)
		}
	}
}
