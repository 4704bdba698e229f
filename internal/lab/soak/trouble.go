package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

// Figures of the troubles.
const (
	concurrentFaults        = 3 // troubles at the same time, at most
	minFaultInterval        = 200 * time.Millisecond
	maxFaultInterval        = 3 * time.Second
	maxTargets              = 3 // processes that one kill or pause strikes
	maxDowntime             = 5 * time.Second
	maxRestartDelay         = 3 * time.Second // until a process is started again after a blackout
	minPause                = 200 * time.Millisecond
	meanPause               = 3 * time.Second
	maxPause                = 20 * time.Second
	minPartition            = 500 * time.Millisecond
	maxPartition            = 10 * time.Second
	acceptanceTimeout       = 3 * time.Second // that a blackout waits for a batch job to be accepted
	maxDelayAfterAcceptance = 40 * time.Millisecond
	controlDiskProbability  = 0.2 // of the disks that are wiped
)

// weights tell how often kinds are drawn.
var faultWeights = []struct {
	kind   EventKind
	weight int
}{{KindKill, 30}, {KindPause, 20}, {KindPartition, 20}, {KindOneWayPartition, 10}, {KindWipe, 6}, {KindPowerLoss, 14}}

func randomFaultKind(random *rand.Rand) EventKind {
	sum := 0
	for _, one := range faultWeights {
		sum += one.weight
	}
	at := random.IntN(sum)
	for _, one := range faultWeights {
		if at < one.weight {
			return one.kind
		}
		at -= one.weight
	}
	panic("the weights don't add up")
}

// trouble makes one trouble after the other until the context ends. What it did to the system it takes back.
func (r *run) injectFaults(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, randomDuration(random, minFaultInterval, maxFaultInterval)) {
		switch randomFaultKind(random) {
		case KindKill:
			r.killProcesses(ctx, random)
		case KindPause:
			r.pauseProcesses(ctx, random)
		case KindPartition:
			r.partitionMachines(ctx, random, KindPartition)
		case KindOneWayPartition:
			r.partitionMachines(ctx, random, KindOneWayPartition)
		case KindWipe:
			r.wipeDisk(ctx, random)
		case KindPowerLoss:
			r.losePower(ctx, random)
		}
	}
}

// drawTime draws a time between two.
func randomDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Float64()*float64(most-least))
}

// some draws a few processes.
func (r *run) randomTargets(random *rand.Rand) []*target {
	list := slices.Clone(r.targets)
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:1+random.IntN(maxTargets)]
}

func targetNames(units []*target) string {
	list := make([]string, len(units))
	for i, one := range units {
		list[i] = one.name()
	}
	return strings.Join(list, " ")
}

// eachAtOnce does something to all at once.
func forEachConcurrently(units []*target, do func(int, *target)) {
	var all sync.WaitGroup
	for i, one := range units {
		all.Go(func() { do(i, one) })
	}
	all.Wait()
}

// startAgain starts each at a time of its own.
func (r *run) restart(ctx context.Context, units []*target, after []time.Duration) {
	forEachConcurrently(units, func(i int, one *target) {
		sleep(ctx, after[i])
		r.powerLoss.RLock()
		defer r.powerLoss.RUnlock()
		if err := one.start(); err != nil {
			r.checker.violated(RuleProcesses, "%v", err)
		}
	})
}

func randomDurations(random *rand.Rand, n int, most time.Duration) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = randomDuration(random, 0, most)
	}
	return list
}

// killSome kills a few processes at once and starts them again.
func (r *run) killProcesses(ctx context.Context, random *rand.Rand) {
	units := r.randomTargets(random)
	after := randomDurations(random, len(units), maxDowntime)
	over := r.timeline.add(KindKill, "%s", describeRestarts(units, after))
	defer over()
	forEachConcurrently(units, func(_ int, one *target) { one.kill() })
	r.restart(ctx, units, after)
}

// withTimes words processes with when they are started again.
func describeRestarts(units []*target, after []time.Duration) string {
	list := make([]string, len(units))
	for i, one := range units {
		list[i] = fmt.Sprintf("%s+%.1fs", one.name(), after[i].Seconds())
	}
	return strings.Join(list, " ")
}

// pauseSome lets a few processes stand still.
func (r *run) pauseProcesses(ctx context.Context, random *rand.Rand) {
	units := r.randomTargets(random)
	length := min(maxPause, minPause+time.Duration(random.ExpFloat64()*float64(meanPause)))
	over := r.timeline.add(KindPause, "%s", targetNames(units))
	defer over()
	forEachConcurrently(units, func(_ int, one *target) { one.pause() })
	sleep(ctx, length)
	forEachConcurrently(units, func(_ int, one *target) { one.resume() })
}

// cutSome cuts a few machines off from the others, or from a few of them.
func (r *run) partitionMachines(ctx context.Context, random *rand.Rand, kind EventKind) {
	machines := slices.Clone(r.fleet.Machines)
	random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	few := 1 + random.IntN(len(machines)/2)
	from, to := machines[:few], machines[few:]
	if random.IntN(2) == 0 {
		to = to[:1+random.IntN(len(to))]
	}
	if kind == KindOneWayPartition && random.IntN(2) == 0 {
		from, to = to, from
	}
	over := r.timeline.add(kind, "from %s to %s", machineNames(from), machineNames(to))
	defer over()
	heal, err := r.partitions.add(linksBetween(from, to, kind == KindPartition))
	if err != nil {
		r.checker.violated(RuleProcesses, "the cut could not be made: %v", err)
	}
	sleep(ctx, randomDuration(random, minPartition, maxPartition))
	heal()
}

func machineNames(machines []system.Machine) string {
	list := make([]string, len(machines))
	for i, one := range machines {
		list[i] = one.Name
	}
	return strings.Join(list, ",")
}

// wipeOne kills a process and empties its disk, where the budget allows.
func (r *run) wipeDisk(ctx context.Context, random *rand.Rand) {
	one := r.randomDisks(random, 1)
	after := randomDurations(random, 1, maxDowntime)
	if r.budget.acquire(1) == 0 {
		return
	}
	over := r.timeline.add(KindWipe, "%s", describeRestarts(one, after))
	defer over()
	if err := one[0].wipe(); err != nil {
		r.checker.violated(RuleProcesses, "the disk could not be emptied: %v", err)
	}
	r.restart(ctx, one, after)
}

// drawDisks draws processes whose disks are to be wiped.
func (r *run) randomDisks(random *rand.Rand, n int) []*target {
	stores, controls := slices.Clone(r.targetsOf(system.RoleBatch)), slices.Clone(r.targetsOf(system.RoleControl))
	for _, list := range [][]*target{stores, controls} {
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	var drawn []*target
	for i := range n {
		if random.Float64() < controlDiskProbability {
			drawn = append(drawn, controls[i])
			continue
		}
		drawn = append(drawn, stores[i])
	}
	return drawn
}

// blackout kills all processes at once, right after a batch job was accepted, and wipes as many disks as the budget allows.
func (r *run) losePower(ctx context.Context, random *rand.Rand) {
	disks := r.randomDisks(random, r.plan.MaxLostDisks)
	after := randomDurations(random, len(r.targets), maxRestartDelay)
	r.jobs.awaitAcceptance(ctx, acceptanceTimeout)
	sleep(ctx, randomDuration(random, 0, maxDelayAfterAcceptance))
	r.powerLoss.Lock()
	disks = disks[:r.budget.acquire(len(disks))]
	over := r.timeline.add(KindPowerLoss, "%s; wiped: %s", describeRestarts(r.targets, after), targetNames(disks))
	defer over()
	forEachConcurrently(r.targets, func(_ int, one *target) { one.kill() })
	for _, one := range disks {
		if err := one.wipe(); err != nil {
			r.checker.violated(RuleProcesses, "the disk could not be emptied: %v", err)
		}
	}
	r.powerLoss.Unlock()
	r.restart(ctx, r.targets, after)
}
