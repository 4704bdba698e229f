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

// losePower ends a control process at once, and loses what its disk hasn't synced.
func (s *simulatedSystem) losePower(i int) {
	s.hosts[i].LosePower()
	s.disks[i].LosePower()
	s.mutex.Lock()
	gone := s.running[i]
	s.running[i] = nil
	s.mutex.Unlock()
	gone.Stop()
}

// storeEpoch returns the epoch of the store membership that a process was sent; 0: none yet.
func (f *simulatedPoller) storeEpoch() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.members == nil {
		return 0
	}
	return f.members.Stores.Epoch
}

// fillLog makes the disks of all control processes take a snapshot of what is acknowledged.
func (s *simulatedSystem) fillLog(t *testing.T) {
	const changes, bytes = 10, 150 << 10 // more than a log takes before it is compacted
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

// TestStoresNeedProof has all control processes lose power after the store membership has changed a few
// times. A process that starts alone has what its disk knows to be acknowledged, which may be a membership
// that ended long ago; it must not send it.
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
		eventually(t, "that one that doesn't poll is evicted", func() bool {
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
		beginners := []*simulatedPoller{
			s.startPoller(t, 0, storeProcess(2, "a")),
			s.startPoller(t, 0, gatewayProcess(1)),
		}
		for range 50 {
			for _, one := range beginners {
				if epoch := one.storeEpoch(); epoch != 0 {
					t.Fatalf(
						"a process without proof sends the membership of epoch %d, where %d is the newest",
						epoch,
						newest,
					)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.begin(1)
		s.begin(2)
		for _, one := range beginners {
			eventually(t, "the membership", func() bool { return one.storeEpoch() != 0 })
			if epoch := one.storeEpoch(); epoch < newest {
				t.Errorf("the membership of epoch %d is sent, where %d is the newest", epoch, newest)
			}
		}
	})
}

// fixedReplica is a chain whose proof of freshness the test sets.
type fixedReplica struct {
	Replica
	proven bool
	head   string // its address
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

// newControlWithFixedReplica returns a control process without ports, on a chain that is always proven.
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

// TestJoinNamesEpoch checks that a Join names the epoch in which it was decided, and the epoch that the
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
		t.Fatalf("the head proposes %+v for one that joins in epoch 2, and acted in 40", commands)
	}
}

// TestStoresMatchLease changes the store membership right before a poll is answered, when the member list
// that was built is of the epoch before. The list that is sent must be of the lease's epoch.
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
		t.Fatalf("sent is %+v, where the lease is of epoch 2", list)
	}
	chain.head = "127.0.0.2:1"
	if list := c.membersFor(&subscriber{members: c.members.list.Version}, true); list == nil ||
		!strings.HasPrefix(list.QuotaAddress, "127.0.0.2:") {
		t.Fatalf("sent is %+v, where the allocator is elsewhere by now", list)
	}
	if hint := c.membersFor(&subscriber{}, false); hint == nil || hint.Vouched || hint.Stores.Epoch != 0 ||
		hint.QuotaAddress != "" {
		t.Fatalf("without proof sent is %+v", hint)
	}
}

// TestDrainedStoreKeepsPolling has a batch process poll on after its retirement was completed and it was
// evicted. No command must follow.
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
			t.Errorf("the retirement: %d %s", status, body)
			return
		}
		eventually(t, "that the store is drained", func() bool {
			for _, one := range stores {
				one.mutex.Lock()
				one.report = protocol.BatchReport{Epoch: one.grant.Epoch, Settled: one.grant.Epoch, DrainedDown: true}
				one.mutex.Unlock()
			}
			return s.running[0].state.Retirement("store-3") == statemachine.RetirementCompleted
		})
		stores[3].paused.Store(true)
		eventually(t, "that it is no member", func() bool { return len(s.running[0].state.Stores().Members) == 3 })
		stores[3].paused.Store(false)
		time.Sleep(5 * time.Second) // longer than a lease: all commands that are due have been proposed
		before := s.commandsApplied(t)
		time.Sleep(20 * time.Second)
		if commands := s.commandsApplied(t) - before; commands > 0 {
			t.Errorf("%d commands while nothing changes", commands)
		}
	})
}

// commandsApplied returns how many commands the chain has applied.
func (s *simulatedSystem) commandsApplied(t *testing.T) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	index, err := s.running[0].replica.Read(ctx)
	if err != nil {
		t.Error(err)
	}
	return index
}
