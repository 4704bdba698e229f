package control

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// losePower ends a control process without a word, with what its disk hasn't synced.
func (s *bubbleSystem) losePower(i int) {
	s.hosts[i].LosePower()
	s.disks[i].LosePower()
	s.mutex.Lock()
	gone := s.running[i]
	s.running[i] = nil
	s.mutex.Unlock()
	gone.Stop()
}

// toldSet gives the epoch of the set of batch processes that a process was told; 0: none yet.
func (f *follower) toldSet() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.members == nil {
		return 0
	}
	return f.members.Stores.Epoch
}

// fillLog has the disks of all control processes take a snapshot of what is acknowledged.
func (s *bubbleSystem) fillLog(t *testing.T) {
	const changes, bytes = 10, 150 << 10 // more than a log takes before it is compacted
	last := uint64(7)
	for range changes {
		order := fmt.Sprintf(`{"generation":%d,"upsert":{"tenants":[{"name":"t","api-keys":["%s"],"rate-per-s":10,"burst":10}]}}`, last+1,
			strings.Repeat("k", bytes))
		if status, body := s.call(0, "PATCH", "/config", strconv.FormatUint(last, 10), order); status != 200 {
			t.Fatal(status, body)
		}
		last++
	}
}

// TestSetNeedsProof has all control processes lose power after the set of batch processes has changed a few times. What one holds that
// starts alone is what its disk had learnt to be acknowledged, which may be a set that ended long ago.
func TestSetNeedsProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBubbleSystem(t, 1, nil)
		defer s.finish()
		if status := s.put(t, "PUT", "0", limitedDocument); status != 200 {
			t.Fatal(status)
		}
		var stores []*follower
		for i := range 4 {
			stores = append(stores, s.follow(t, i%3, storeProcess(i, "a")))
			eventually(t, fmt.Sprint("the lease of store ", i), stores[i].see(func() bool { return stores[i].grant.Lease > 0 }))
		}
		s.fillLog(t)
		stores[3].silent.Store(true)
		eventually(t, "that a silent one is out of the set", func() bool { return len(s.running[0].machine.Stores().Members) == 3 })
		newest := s.running[0].machine.Stores().Epoch
		for i := range s.running {
			s.losePower(i)
		}
		for _, store := range stores {
			store.silent.Store(true)
		}
		s.begin(0)
		beginners := []*follower{s.follow(t, 0, storeProcess(2, "a")), s.follow(t, 0, gatewayProcess(1))}
		for range 50 {
			for _, one := range beginners {
				if told := one.toldSet(); told != 0 {
					t.Fatalf("a process without proof tells the set of epoch %d, where %d is the newest", told, newest)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.begin(1)
		s.begin(2)
		for _, one := range beginners {
			eventually(t, "the set", func() bool { return one.toldSet() != 0 })
			if told := one.toldSet(); told < newest {
				t.Errorf("the set of epoch %d is told, where %d is the newest", told, newest)
			}
		}
	})
}
