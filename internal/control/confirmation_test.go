package control

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/replica"
	"sprucelane.example/sprucelane/coord/view"
	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// losePower simulates a power loss of a control machine: the process ends at once, and its disk may lose writes
// that were not synced.
func (s *simulatedSystem) losePower(i int) {
	s.hosts[i].LosePower()
	s.disks[i].LosePower()
	s.mutex.Lock()
	gone := s.running[i]
	s.running[i] = nil
	s.mutex.Unlock()
	gone.Stop()
}

// storeEpoch returns the epoch of the store membership that the poller was sent; 0: none yet.
func (f *simulatedPoller) storeEpoch() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.members == nil {
		return 0
	}
	return f.members.Stores.Epoch
}

// fillLog makes all control processes write a snapshot of the acknowledged state to their disks.
func (s *simulatedSystem) fillLog(t *testing.T) {
	const changes, bytes = 10, 150 << 10 // exceeds the log size at which the log is compacted
	last := uint64(7)
	for range changes {
		change := fmt.Sprintf(
			`{"generation":%d,"upsert":{"tenants":[{"name":"t","api-keys":["%s"],"rate-per-s":10,"burst":10}]}}`,
			last+1,
			strings.Repeat("k", bytes),
		)
		if status, body := s.call(0, "PATCH", "/config", strconv.FormatUint(last, 10), change); status != 200 {
			t.Fatal(status, body)
		}
		last++
	}
}

// TestStoresNeedProof checks that a control process without a proof of freshness doesn't send the store
// membership. All control processes lose power after the membership has changed a few times. A process that then
// starts alone has the membership that its disk recorded as acknowledged, which may have ended long ago.
func TestStoresNeedProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedSystem(t, 1, injectedBug{})
		defer s.finish()
		if status := s.put(t, "PUT", "0", quotaDocument); status != 200 {
			t.Fatal(status)
		}
		var stores []*simulatedPoller
		for i := range 4 {
			stores = append(stores, s.startPoller(t, i%3, storeProcess(i, "a")))
			eventually(t, fmt.Sprint("the lease of store ", i), stores[i].locked(func() bool {
				return stores[i].grant.Lease > 0
			}))
		}
		s.fillLog(t)
		stores[3].paused.Store(true)
		eventually(t, "the eviction of the store that doesn't poll", func() bool {
			return len(s.running[0].state.Stores().Members) == 3
		})
		newest := s.running[0].state.Stores().Epoch
		for i := range s.running {
			s.losePower(i)
		}
		for _, store := range stores {
			store.paused.Store(true)
		}
		s.begin(0)
		newPollers := []*simulatedPoller{
			s.startPoller(t, 0, storeProcess(2, "a")),
			s.startPoller(t, 0, gatewayProcess(1)),
		}
		for range 50 {
			for _, poller := range newPollers {
				if epoch := poller.storeEpoch(); epoch != 0 {
					t.Fatalf(
						"a process without proof of freshness sent the membership of epoch %d; the newest is %d",
						epoch,
						newest,
					)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.begin(1)
		s.begin(2)
		for _, poller := range newPollers {
			eventually(t, "the membership", func() bool { return poller.storeEpoch() != 0 })
			if epoch := poller.storeEpoch(); epoch < newest {
				t.Errorf("the membership of epoch %d was sent; the newest is %d", epoch, newest)
			}
		}
	})
}

// fixedReplica is a replica whose proof of freshness and head are set by the test.
type fixedReplica struct {
	Replica
	proven bool
	head   string // address of the head
}

func (r *fixedReplica) LeaderLease() (uint64, time.Time, bool) {
	return 1, time.Now().Add(time.Second), true
}

func (r *fixedReplica) Staleness() (time.Duration, bool) { return 0, r.proven }
func (r *fixedReplica) Self() view.Member                { return view.Member{Node: "c", Address: "127.0.0.1:1"} }
func (r *fixedReplica) Members() []replica.Peer          { return nil }

func (r *fixedReplica) View() view.View {
	return view.View{Epoch: 1, Chain: []view.Member{{Node: "head", Address: r.head}}}
}

// newControlWithFixedReplica returns a control process without ports on a fixedReplica, which has a proof of
// freshness unless the test changes that.
func newControlWithFixedReplica() (*Control, *fixedReplica) {
	c := newControl(Options{
		Settings:    &node.Settings{NodeName: "c", IP: "127.0.0.1", FirstPort: 1, LastPort: 10},
		Log:         zerolog.Nop(),
		environment: &environment{},
	})
	chain := &fixedReplica{proven: true, head: "127.0.0.1:1"}
	c.replica = chain
	c.peers = newPeers(c)
	c.pauses.lastRanAt = c.now()
	return c, chain
}

// TestJoinNamesEpoch checks that a Join names the epoch in which it was decided and the last epoch that the
// joining process has acted in.
func TestJoinNamesEpoch(t *testing.T) {
	c, _ := newControlWithFixedReplica()
	for index := uint64(1); index <= 2; index++ {
		raw, err := statemachine.Command{
			Join: &statemachine.Join{Processes: []protocol.Process{storeProcess(int(index), "a")}},
		}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		c.state.Apply(index, raw)
	}
	c.liveness.Observe(
		liveness.Contact{Process: storeProcess(3, "b"), At: c.now(), Batch: &protocol.BatchReport{ActedIn: 40}},
	)
	commands := c.storeCommands()
	if len(commands) != 1 || commands[0].Join == nil || commands[0].Join.Epoch != 2 || commands[0].Join.ActedIn != 40 {
		t.Fatalf("got commands %+v, want one Join with Epoch 2 and ActedIn 40", commands)
	}
}

// TestStoresMatchLease checks that the member list that is sent has the same epoch as the lease. The store
// membership changes right before a poll is answered, so the member list was built in the previous epoch.
func TestStoresMatchLease(t *testing.T) {
	c, chain := newControlWithFixedReplica()
	for index, number := range []int{1, 2} {
		raw, err := statemachine.Command{
			Join: &statemachine.Join{Processes: []protocol.Process{storeProcess(number, "a")}},
		}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if index == 1 {
			c.refreshMembers()
		}
		c.state.Apply(uint64(index+1), raw)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.membersFor(&subscriber{process: storeProcess(1, "a")}, true)
	if list == nil || !list.Vouched || list.Stores.Epoch != 2 {
		t.Fatalf("got member list %+v, want the confirmed list of epoch 2, the epoch of the lease", list)
	}
	chain.head = "127.0.0.2:1"
	if list := c.membersFor(&subscriber{members: c.members.list.Version}, true); list == nil ||
		!strings.HasPrefix(list.QuotaAddress, "127.0.0.2:") {
		t.Fatalf("got member list %+v, want the new allocator's address at 127.0.0.2", list)
	}
	if hint := c.membersFor(&subscriber{}, false); hint == nil || hint.Vouched || hint.Stores.Epoch != 0 ||
		hint.QuotaAddress != "" {
		t.Fatalf("without proof of freshness got %+v, want a list with only the control processes", hint)
	}
}

// TestDrainedStoreKeepsPolling checks that no commands are proposed while a batch process continues to poll after
// its retirement was completed and it was evicted.
func TestDrainedStoreKeepsPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedSystem(t, 1, injectedBug{})
		defer s.finish()
		var stores []*simulatedPoller
		for i := range 4 {
			stores = append(stores, s.startPoller(t, i%3, storeProcess(i, "a")))
			eventually(t, fmt.Sprint("the lease of store ", i), stores[i].locked(func() bool {
				return stores[i].grant.Lease > 0
			}))
		}
		if status, body := s.call(0, "POST", "/retire/store-3", "", `{"deadline-s":10}`); status != 200 {
			t.Errorf("the retirement was answered with status %d, want 200: %s", status, body)
			return
		}
		eventually(t, "the store's retirement to be completed", func() bool {
			for _, one := range stores {
				one.mutex.Lock()
				one.report = protocol.BatchReport{Epoch: one.grant.Epoch, Settled: one.grant.Epoch, DrainedDown: true}
				one.mutex.Unlock()
			}
			return s.running[0].state.Retirement("store-3") == statemachine.RetirementCompleted
		})
		stores[3].paused.Store(true)
		eventually(t, "the removal of the store from the membership", func() bool {
			return len(s.running[0].state.Stores().Members) == 3
		})
		stores[3].paused.Store(false)
		time.Sleep(5 * time.Second) // longer than a lease: all pending commands have been proposed
		before := s.commandsApplied(t)
		time.Sleep(20 * time.Second)
		if commands := s.commandsApplied(t) - before; commands > 0 {
			t.Errorf("%d commands were applied while nothing changed, want none", commands)
		}
	})
}

// commandsApplied returns the number of commands that the chain has applied.
func (s *simulatedSystem) commandsApplied(t *testing.T) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	index, err := s.running[0].replica.Read(ctx)
	if err != nil {
		t.Error(err)
	}
	return index
}
