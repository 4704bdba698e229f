package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/simulation/seeds"
)

// Faults are injected in rounds. The faults of one round overlap in time. Each fault has its own machines, except for
// faults that affect all machines. In one round no more disks are lost than may be lost at once, and the next round
// begins once the system has recovered.

const (
	deploymentRounds       = 3
	roundRecoveryTimeout   = 25 * time.Second // counted from the last fault of a round
	maxFaultStart          = 1500 * time.Millisecond
	maxFaultLength         = 5 * time.Second
	acknowledgementTimeout = 3 * time.Second
	bulkChanges            = 100
)

// faultRound is a round of overlapping faults.
type faultRound struct {
	*deployment
	random    *rand.Rand
	stores    []*deployedStore // stores that no fault has claimed yet
	controls  []int
	disksLeft int // disks that may still be lost in the round
	active    sync.WaitGroup
}

// deploymentFault is a kind of fault.
type deploymentFault struct {
	name string
	// prepare claims machines and returns the function that injects the fault, or nil if too few machines are left.
	prepare func(*faultRound) func(down time.Duration)
}

var deploymentFaults = []deploymentFault{
	{"all lose power", faultPowerEverywhere},
	{"all lose power", faultPowerEverywhere},
	{"all lose power right after an acknowledgement", faultPowerAfterAcknowledgement},
	{"processes are killed", faultKills},
	{"machines lose power", faultPower},
	{"disks are lost", faultWipes},
	{"a control machine is partitioned", faultControlPartitioned},
	{"control is split", faultControlSplit},
	{"stores are partitioned from control machines", faultStoresPartitioned},
	{"disks stall", faultDiskStall},
	{"a store retires, and disks are lost", faultRetirement},
	{"a control machine is replaced", faultReplacement},
	{"many changes of the configuration", faultBulk},
}

// newRound returns a round with all present machines in random order.
func (w *deployment) newRound() *faultRound {
	r := &faultRound{
		deployment: w,
		random:     w.random,
		stores:     w.presentStores(),
		controls:   w.presentControls(),
		disksLeft:  w.tolerance,
	}
	w.random.Shuffle(len(r.stores), func(i, j int) { r.stores[i], r.stores[j] = r.stores[j], r.stores[i] })
	w.random.Shuffle(len(r.controls), func(i, j int) { r.controls[i], r.controls[j] = r.controls[j], r.controls[i] })
	return r
}

// run injects the faults of a round, and reports whether the system has recovered from them.
func (r *faultRound) run() bool {
	for range 2 + r.random.IntN(2) {
		kind := deploymentFaults[r.random.IntN(len(deploymentFaults))]
		inject := kind.prepare(r)
		if inject == nil {
			continue
		}
		r.count(func(c *deploymentCounts) { c.faults++ })
		after, down := r.randomDuration(0, maxFaultStart), r.randomDuration(100*time.Millisecond, maxFaultLength)
		r.active.Go(func() {
			time.Sleep(after)
			r.logf("fault: %s for %v", kind.name, down)
			inject(down)
		})
	}
	r.active.Wait()
	r.endFaults()
	if !r.checkRecovery() {
		return false
	}
	return r.removeRetired()
}

func (r *faultRound) checkRecovery() bool {
	list := r.awaitHealthy(roundRecoveryTimeout, healthyBeforeNextRound)
	if len(list) > 0 {
		r.failf("the system has not recovered %v after a round of faults: %s", roundRecoveryTimeout, strings.Join(list, "; "))
		return false
	}
	r.logf("recovered")
	r.count(func(c *deploymentCounts) { c.recoveries++ })
	return true
}

func (w *deployment) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// withProcessLock runs act while no other goroutine starts or stops processes.
func (w *deployment) withProcessLock(act func()) {
	w.processLock <- struct{}{}
	defer func() { <-w.processLock }()
	act()
}

// endFaults ends all faults: it heals all partitions and starts all processes that don't run.
func (w *deployment) endFaults() {
	w.lock.Lock()
	w.onAcknowledgement = nil
	w.lock.Unlock()
	for _, from := range w.addresses() {
		for _, to := range w.addresses() {
			w.network.Heal(from, to)
		}
	}
	for _, i := range w.presentControls() {
		w.startControl(i)
	}
	for _, s := range w.presentStores() {
		w.startStore(s)
	}
}

// addresses returns the IPs of the present control machines and stores.
func (w *deployment) addresses() []string {
	var list []string
	for _, i := range w.presentControls() {
		list = append(list, w.settings[i].IP)
	}
	for _, s := range w.presentStores() {
		list = append(list, s.ip)
	}
	return list
}

// startControl starts a control process unless it runs or its machine was removed.
func (w *deployment) startControl(i int) {
	w.withProcessLock(func() {
		w.mutex.Lock()
		runs := w.running[i] != nil
		w.mutex.Unlock()
		if !runs && slices.Contains(w.presentControls(), i) {
			w.logf("%s starts", w.settings[i].NodeName)
			w.begin(i)
		}
	})
}

// startStore starts a store unless it runs or was removed.
func (w *deployment) startStore(s *deployedStore) {
	w.withProcessLock(func() {
		w.lock.Lock()
		idle := s.process == nil && !s.removed
		w.lock.Unlock()
		if idle {
			s.start()
		}
	})
}

// claimStores claims up to count stores that no fault has claimed yet.
func (r *faultRound) claimStores(count int) []*deployedStore {
	count = min(count, len(r.stores))
	claimed := r.stores[:count]
	r.stores = r.stores[count:]
	return claimed
}

func (r *faultRound) claimControls(count int) []int {
	count = min(count, len(r.controls))
	claimed := r.controls[:count]
	r.controls = r.controls[count:]
	return claimed
}

// victims are the stores and control machines that a fault affects.
type victims struct {
	stores   []*deployedStore
	controls []int
}

func (v victims) String() string {
	var names []string
	for _, i := range v.controls {
		names = append(names, fmt.Sprint("front-", i+1))
	}
	for _, s := range v.stores {
		names = append(names, s.node)
	}
	return strings.Join(names, ", ")
}

func (v victims) none() bool { return len(v.stores)+len(v.controls) == 0 }

// claim claims up to count machines, each with a probability of 2/3 a store and of 1/3 a control machine.
func (r *faultRound) claim(count int) victims {
	var v victims
	for range count {
		if r.random.IntN(3) == 0 {
			v.controls = append(v.controls, r.claimControls(1)...)
		} else {
			v.stores = append(v.stores, r.claimStores(1)...)
		}
	}
	return v
}

// claimDisks claims up to most machines whose disks will be lost, limited by disksLeft.
func (r *faultRound) claimDisks(most int) victims {
	v := r.claim(min(most, r.disksLeft))
	r.disksLeft -= len(v.stores) + len(v.controls)
	return v
}

// wipe stops the processes of machines and empties their disks.
func (r *faultRound) wipe(v victims) {
	if v.none() {
		return
	}
	r.logf("%v: the disk is lost", v)
	r.haltControls(v.controls, r.wipeControl)
	for _, s := range v.stores {
		s.wipe()
	}
	r.count(func(c *deploymentCounts) { c.wipes += len(v.controls) })
}

// restart restarts the processes of machines.
func (r *faultRound) restart(v victims) {
	for _, i := range v.controls {
		r.startControl(i)
	}
	for _, s := range v.stores {
		r.startStore(s)
	}
}

// losePowerEverywhere cuts the power of all machines at once and empties the disks of some. Each machine restarts
// after a random delay.
func (r *faultRound) losePowerEverywhere(lost victims, down time.Duration, delays *rand.Rand) {
	r.withProcessLock(func() {
		r.logf("all machines lose power")
		r.losePowerOfAll()
		r.wipe(lost)
	})
	time.Sleep(down / 4)
	var starting sync.WaitGroup
	later := func(start func()) {
		delay := time.Duration(delays.Int64N(int64(down)))
		starting.Go(func() {
			time.Sleep(delay)
			start()
		})
	}
	for _, i := range r.presentControls() {
		later(func() { r.startControl(i) })
	}
	for _, s := range r.presentStores() {
		later(func() { r.startStore(s) })
	}
	starting.Wait()
}

// ownRandom returns a separate random source for a fault that runs concurrently with others.
func (r *faultRound) ownRandom() *rand.Rand { return rand.New(rand.NewPCG(r.random.Uint64(), 1)) }

// faultPowerEverywhere cuts the power of all machines, and may empty some disks.
func faultPowerEverywhere(r *faultRound) func(time.Duration) {
	lost, delays := r.claimDisks(r.random.IntN(r.tolerance+1)), r.ownRandom()
	return func(down time.Duration) { r.losePowerEverywhere(lost, down, delays) }
}

// faultPowerAfterAcknowledgement cuts the power of all machines right after an acknowledgement, or after
// acknowledgementTimeout without one, and may empty some disks.
func faultPowerAfterAcknowledgement(r *faultRound) func(time.Duration) {
	lost, delays := r.claimDisks(r.random.IntN(r.tolerance+1)), r.ownRandom()
	return func(down time.Duration) {
		acknowledged := make(chan struct{})
		r.lock.Lock()
		r.onAcknowledgement = func() { close(acknowledged) }
		r.lock.Unlock()
		select {
		case <-acknowledged:
		case <-time.After(acknowledgementTimeout):
		}
		r.losePowerEverywhere(lost, down, delays)
	}
}

// faultKills kills processes; their disks keep all writes.
func faultKills(r *faultRound) func(time.Duration) {
	return r.faultHalt("killed", r.killControl, (*deployedStore).kill)
}

// faultPower cuts the power of some machines; their disks may lose writes that were not synced.
func faultPower(r *faultRound) func(time.Duration) {
	return r.faultHalt("power lost", r.losePowerOfControl, (*deployedStore).losePower)
}

// faultHalt stops the processes of some machines and restarts them.
func (r *faultRound) faultHalt(
	how string,
	haltControl func(i int),
	haltStore func(*deployedStore),
) func(time.Duration) {
	v := r.claim(1 + r.random.IntN(r.tolerance+1))
	return func(down time.Duration) {
		r.withProcessLock(func() {
			r.logf("%v: %s", v, how)
			r.haltControls(v.controls, haltControl)
			for _, s := range v.stores {
				haltStore(s)
			}
		})
		time.Sleep(down)
		r.restart(v)
	}
}

// faultWipes empties disks and restarts their machines' processes.
func faultWipes(r *faultRound) func(time.Duration) {
	v := r.claimDisks(1 + r.random.IntN(r.tolerance))
	if v.none() {
		return nil
	}
	return func(down time.Duration) {
		r.withProcessLock(func() { r.wipe(v) })
		time.Sleep(down)
		r.restart(v)
	}
}

// partitionBetween cuts all links between two groups of machines for the duration down: those in the direction from
// the first group to the second and, if both is set, those in the reverse direction too.
func (r *faultRound) partitionBetween(from, to []string, both bool, down time.Duration) {
	for _, one := range from {
		for _, other := range to {
			if one == other {
				continue
			}
			r.network.Partition(one, other)
			if both {
				r.network.Partition(other, one)
			}
		}
	}
	time.Sleep(down)
	for _, one := range from {
		for _, other := range to {
			r.network.Heal(one, other)
			r.network.Heal(other, one)
		}
	}
}

func (r *faultRound) controlAddresses(members []int) []string {
	var list []string
	for _, i := range members {
		list = append(list, r.settings[i].IP)
	}
	return list
}

// faultControlPartitioned partitions one control machine, in one direction or both.
func faultControlPartitioned(r *faultRound) func(time.Duration) {
	all := r.presentControls()
	victim, direction := all[r.random.IntN(len(all))], r.random.IntN(3)
	return func(down time.Duration) {
		one, others := r.controlAddresses([]int{victim}), r.controlAddresses(all)
		r.logf("%s is partitioned, direction %d (0: out, 1: in, 2: both)", r.settings[victim].NodeName, direction)
		if direction == 1 {
			one, others = others, one
		}
		r.partitionBetween(one, others, direction == 2, down)
	}
}

// faultControlSplit splits the control machines into two groups.
func faultControlSplit(r *faultRound) func(time.Duration) {
	all := r.presentControls()
	at := 1 + r.random.IntN(len(all)-1)
	return func(down time.Duration) {
		r.logf("control is split before %s", r.settings[all[at]].NodeName)
		r.partitionBetween(r.controlAddresses(all[:at]), r.controlAddresses(all[at:]), true, down)
	}
}

// faultStoresPartitioned partitions stores from some control machines.
func faultStoresPartitioned(r *faultRound) func(time.Duration) {
	stores, all := r.presentStores(), r.presentControls()
	var from []string
	for _, s := range stores[:1+r.random.IntN(len(stores))] {
		from = append(from, s.ip)
	}
	r.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	to := r.controlAddresses(all[:1+r.random.IntN(len(all)-1)])
	return func(down time.Duration) {
		r.logf("%v partitioned from %v", from, to)
		r.partitionBetween(from, to, true, down)
	}
}

// faultDiskStall stalls the disks of control machines, and slows the syncs of stores' disks by a factor of forty.
func faultDiskStall(r *faultRound) func(time.Duration) {
	v := r.claim(1 + r.random.IntN(2))
	return func(down time.Duration) {
		r.logf("%v: the disk stalls", v)
		for _, i := range v.controls {
			r.simulatedSystem.disks[i].SetStalled(true)
		}
		for _, s := range v.stores {
			s.disk.SlowSyncs(40)
		}
		time.Sleep(down)
		for _, i := range v.controls {
			r.simulatedSystem.disks[i].SetStalled(false)
		}
		for _, s := range v.stores {
			s.disk.SlowSyncs(1)
		}
	}
}

// faultRetirement makes the operator retire a store, and empties the disks of other machines right afterwards.
func faultRetirement(r *faultRound) func(time.Duration) {
	one := r.claimStores(1)
	if len(one) == 0 || len(r.presentStores()) <= r.tolerance+2 {
		return nil
	}
	lost, at := r.claimDisks(r.random.IntN(r.tolerance+1)), r.random.IntN(len(r.presentControls()))
	return func(down time.Duration) {
		if !r.retire(one[0].node, at) {
			return
		}
		r.withProcessLock(func() { r.wipe(lost) })
		time.Sleep(down)
		r.restart(lost)
	}
}

// retire requests the retirement of a store, first from the control process with index at, and reports whether the
// request was acknowledged.
func (w *deployment) retire(node string, at int) bool {
	for attempt := range 8 {
		members := w.presentControls()
		status, answer := w.call(members[(at+attempt)%len(members)], "POST", "/retire/"+node, "", `{"deadline-s":10}`)
		if status == 200 {
			w.logf("the retirement of %s was acknowledged", node)
			w.count(func(c *deploymentCounts) { c.retired++ })
			return true
		}
		w.logf("the retirement of %s was answered with status %d %s", node, status, answer)
	}
	return false
}

// removeRetired removes the retired stores and starts new ones in their place. It reports whether the system has
// recovered from that.
func (r *faultRound) removeRetired() bool {
	removed := false
	newest := r.newestStoreView()
	for _, member := range newest.Members {
		for _, s := range r.presentStores() {
			if member.Node == s.node && member.State == protocol.StoreRetired {
				r.withProcessLock(func() { r.replaceStore(s) })
				removed = true
			}
		}
	}
	return !removed || r.checkRecovery()
}

func (w *deployment) replaceStore(s *deployedStore) {
	w.logf("%s is removed", s.node)
	s.losePower()
	w.lock.Lock()
	s.removed = true
	w.lock.Unlock()
	w.addStore()
}

// faultReplacement replaces a control machine with a new one. In a planned replacement the new machine starts before
// the old one shuts down gracefully, otherwise after the old one's disk was lost. Either way the disk counts as lost,
// because other disks may be lost before the new machine has all data.
func faultReplacement(r *faultRound) func(time.Duration) {
	planned := r.random.IntN(2) == 0
	if r.disksLeft == 0 || len(r.controls) == 0 {
		return nil
	}
	spare := r.spare()
	if spare < 0 {
		return nil
	}
	old := r.claimControls(1)
	r.disksLeft--
	return func(down time.Duration) {
		r.count(func(c *deploymentCounts) { c.replaced++ })
		r.logf("%s replaces %s, planned %v", r.settings[spare].NodeName, r.settings[old[0]].NodeName, planned)
		if !planned {
			r.withProcessLock(func() { r.removeControl(old[0], r.wipeControl) })
			time.Sleep(down)
		}
		r.lock.Lock()
		r.removedControls[spare] = false
		r.lock.Unlock()
		r.startControl(spare)
		if planned {
			time.Sleep(down)
			r.withProcessLock(func() { r.removeControl(old[0], func(int) {}) })
		}
	}
}

// spare returns a spare control machine that hasn't been used yet; -1 if there is none.
func (r *faultRound) spare() int {
	first := len(r.settings) - spareControls
	for i := first; i < len(r.settings); i++ {
		if !r.usedSpares[i] {
			r.usedSpares[i] = true
			return i
		}
	}
	return -1
}

// removeControl removes a control machine permanently.
func (w *deployment) removeControl(i int, how func(i int)) {
	w.lock.Lock()
	w.removedControls[i] = true
	w.lock.Unlock()
	w.haltControls([]int{i}, how)
}

// faultBulk sends many large changes of the configuration.
func faultBulk(r *faultRound) func(time.Duration) {
	return func(time.Duration) {
		r.lock.Lock()
		r.bulk = bulkChanges
		r.lock.Unlock()
	}
}

// simulateDeployment runs one simulation.
func simulateDeployment(t *testing.T, seed uint64) *deployment {
	var w *deployment
	synctest.Test(t, func(t *testing.T) {
		tolerance, members, stores := 1, 3+int(seed%2), 4+int(seed/2%2)
		if seed%3 == 2 {
			tolerance, members, stores = 2, 5+int(seed%2), 6+int(seed/2%2)
		}
		w = newDeployment(t, seed, members, stores, tolerance)
		defer w.close()
		w.logf("%d control machines, %d stores, %d disks may be lost at once", members, stores, tolerance)
		healthy := (&faultRound{deployment: w}).checkRecovery()
		for number := 0; healthy && number < deploymentRounds; number++ {
			healthy = w.newRound().run()
		}
		w.finalCheck()
	})
	return w
}

// TestRandomDeployments runs simulations of control processes and stores with random faults. SEEDS=N runs N
// simulations, FIRST=S begins at seed S. With -parallel 1 the goroutines of one simulation interleave more, and more
// bugs are found than with parallel simulations.
func TestRandomDeployments(t *testing.T) {
	first, simulations := seeds.Range(0, 12)
	var lock sync.Mutex
	var counts deploymentCounts
	t.Run("simulations", func(t *testing.T) {
		for seed := first; seed < first+simulations; seed++ {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				t.Parallel()
				w := simulateDeployment(t, seed)
				lock.Lock()
				counts.add(w.counts)
				lock.Unlock()
				if err := w.err(); err != nil {
					t.Error(err)
				}
			})
		}
	})
	t.Logf("%d simulations: %+v", simulations, counts)
	if simulations >= 8 {
		checkExercised(t, counts)
	}
}

// checkExercised fails if any kind of event didn't occur in the simulations.
func checkExercised(t *testing.T, counts deploymentCounts) {
	for what, count := range map[string]int{"accepted batch jobs": counts.accepted, "reads": counts.read,
		"power losses of all machines": counts.powerLosses, "lost disks": counts.wipes,
		"confirmations": counts.confirmations, "versions": counts.versions,
		"recoveries": counts.recoveries, "retirements": counts.retired, "replacements": counts.replaced} {
		if count == 0 {
			t.Errorf("the simulations had no %s", what)
		}
	}
	if counts.views < 2*counts.recoveries/3 {
		t.Errorf("only %d changes of the store membership in %d recoveries", counts.views, counts.recoveries)
	}
}
