package control

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestOldStoresAfterPowerLoss checks that no store acts in an outdated store membership after a loss of power. A store
// loses its disk and rejoins with an empty one, all machines lose power, two more disks are lost, and the first control
// process to restart has only the membership of its last snapshot. No store may act in that membership, and no batch job
// may be lost.
func TestOldStoresAfterPowerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDeployment(t, 1, 6, 10, 2)
		defer w.close()
		if list := w.awaitHealthy(finalRecoveryTimeout, healthyBeforeNextRound); len(list) > 0 {
			t.Fatal(list)
		}
		w.sendBulk(110)
		w.logf("the chain's log was compacted; store-10 loses its disk")
		w.stores[9].wipe()
		time.Sleep(4 * time.Second)
		w.stores[9].start()
		if list := w.awaitHealthy(finalRecoveryTimeout, healthyBeforeNextRound); len(list) > 0 {
			t.Fatal(list)
		}
		w.logf("all machines lose power, store-1 and store-2 lose their disks")
		w.losePowerOfAll()
		w.stores[0].wipe()
		w.stores[1].wipe()
		time.Sleep(time.Second)
		for _, s := range w.stores {
			s.start()
		}
		for i := range w.running {
			w.begin(i)
			time.Sleep(400 * time.Millisecond)
		}
		w.finalCheck()
		if w.counts.accepted == 0 || w.counts.read == 0 || w.counts.confirmations == 0 {
			t.Errorf("the simulation accepted or read no batch job, or had no confirmation: %+v", w.counts)
		}
		if err := w.err(); err != nil {
			t.Error(err)
		}
	})
}
