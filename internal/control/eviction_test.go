package control

import (
	"testing"
	"testing/synctest"
	"time"

	"sprucelane.example/sprucelane/internal/control/liveness"
)

// TestEviction checks that a batch process that stops polling is evicted after its lease has ended, and within
// maxEvictionTime.
func TestEviction(t *testing.T) {
	const maxEvictionTime = 2900 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := newSimulatedSystem(t, 5, injectedBug{})
		store := s.startPoller(t, 1, storeProcess(1, "a"))
		other := s.startPoller(t, 2, storeProcess(2, "a"))
		for range 5 {
			eventually(t, "leases", func() bool {
				return store.locked(func() bool { return store.grant.Lease > 0 })() &&
					other.locked(func() bool { return other.grant.Lease > 0 })()
			})
			time.Sleep(5 * time.Second)
			store.paused.Store(true)
			began := time.Now()
			eventually(t, "the eviction", func() bool { return len(s.running[0].state.Stores().Members) == 1 })
			took := time.Since(began)
			t.Log("evicted after", took)
			if took < liveness.StoreLease || took > maxEvictionTime {
				t.Errorf("evicted after %v, before its lease ended or too late", took)
			}
			store.mutex.Lock()
			store.grant.Lease = 0
			store.mutex.Unlock()
			store.paused.Store(false)
		}
		s.finish()
	})
}
