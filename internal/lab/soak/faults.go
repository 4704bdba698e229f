package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

const (
	// concurrentFaults is how many faults go on at the same time, at most. A retirement comes on top.
	concurrentFaults = 3
	minFaultInterval = 200 * time.Millisecond // from the end of an injector's fault to its next
	maxFaultInterval = 3 * time.Second
	// maxTargets is the number of processes that one kill or pause strikes, at most.
	maxTargets   = 3
	maxDowntime  = 5 * time.Second // of a killed process
	minPause     = 200 * time.Millisecond
	meanPause    = 3 * time.Second // beyond minPause, exponentially distributed
	maxPause     = 20 * time.Second
	minPartition = 500 * time.Millisecond
	maxPartition = 10 * time.Second
)

// faultWeights give how often each kind is drawn, relative to the others.
var faultWeights = []struct {
	kind   EventKind
	weight int
}{{KindKill, 30}, {KindPause, 20}, {KindPartition, 20}, {KindOneWayPartition, 10}, {KindWipe, 6}, {KindPowerLoss, 14}}

func randomFaultKind(random *rand.Rand) EventKind {
	sum := 0
	for _, one := range faultWeights {
		sum += one.weight
	}
	point := random.IntN(sum)
	for _, one := range faultWeights {
		if point < one.weight {
			return one.kind
		}
		point -= one.weight
	}
	panic("soak: a point beyond the sum of the weights")
}

// injectFaults injects one fault after the other until the context ends. Each heals its own fault before it
// returns.
func (r *run) injectFaults(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, randomDuration(random, minFaultInterval, maxFaultInterval)) {
		switch kind := randomFaultKind(random); kind {
		case KindKill:
			r.killProcesses(ctx, random)
		case KindPause:
			r.pauseProcesses(ctx, random)
		case KindPartition, KindOneWayPartition:
			r.partitionMachines(ctx, random, kind)
		case KindWipe:
			r.wipeDisk(ctx, random)
		case KindPowerLoss:
			r.losePower(ctx, random)
		}
	}
}

// randomTargets returns one to maxTargets processes.
func (r *run) randomTargets(random *rand.Rand) []*target {
	list := slices.Clone(r.targets)
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:1+random.IntN(maxTargets)]
}

// killProcesses kills a few processes at once (SIGKILL), and starts each again after a time of its own.
func (r *run) killProcesses(ctx context.Context, random *rand.Rand) {
	targets := r.randomTargets(random)
	delays := randomDurations(random, len(targets), maxDowntime)
	healed := r.timeline.add(KindKill, "%s", describeRestarts(targets, delays))
	defer healed()
	forEachConcurrently(targets, func(_ int, t *target) { t.kill() })
	r.restart(ctx, targets, delays)
}

// restart starts each target after its delay. A loss of power that begins meanwhile defers the start.
func (r *run) restart(ctx context.Context, targets []*target, delays []time.Duration) {
	forEachConcurrently(targets, func(i int, t *target) {
		sleep(ctx, delays[i])
		r.powerLoss.RLock()
		defer r.powerLoss.RUnlock()
		if err := t.start(); err != nil {
			r.checker.violated(RuleProcesses, "%v", err)
		}
	})
}

// pauseProcesses stops a few processes (SIGSTOP) for some time, as a frozen machine or a long stall does.
func (r *run) pauseProcesses(ctx context.Context, random *rand.Rand) {
	targets := r.randomTargets(random)
	length := min(maxPause, minPause+time.Duration(random.ExpFloat64()*float64(meanPause)))
	healed := r.timeline.add(KindPause, "%s", targetNames(targets))
	defer healed()
	forEachConcurrently(targets, func(_ int, t *target) { t.pause() })
	sleep(ctx, length)
	forEachConcurrently(targets, func(_ int, t *target) { t.resume() })
}

// partitionMachines partitions up to half of the machines from all others, or from a few of them. A partition of
// KindOneWayPartition loses packets in one direction only.
func (r *run) partitionMachines(ctx context.Context, random *rand.Rand, kind EventKind) {
	machines := slices.Clone(r.cluster.Machines)
	random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	minority := 1 + random.IntN(len(machines)/2)
	from, to := machines[:minority], machines[minority:]
	if random.IntN(2) == 0 {
		to = to[:1+random.IntN(len(to))]
	}
	if kind == KindOneWayPartition && random.IntN(2) == 0 {
		from, to = to, from
	}
	healed := r.timeline.add(kind, "from %s to %s", machineNames(from), machineNames(to))
	defer healed()
	heal, err := r.partitions.add(linksBetween(from, to, kind == KindPartition))
	if err != nil {
		r.checker.violated(RuleProcesses, "the partition could not be made: %v", err)
	}
	sleep(ctx, randomDuration(random, minPartition, maxPartition))
	heal()
}

func machineNames(machines []system.Machine) string {
	list := make([]string, len(machines))
	for i, machine := range machines {
		list[i] = machine.Name
	}
	return strings.Join(list, ",")
}
