package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

const (
	// acceptanceTimeout is how long a loss of power waits for a batch job to be accepted: it is to come right
	// after an acknowledgement, when the acknowledged data is most at risk.
	acceptanceTimeout       = 3 * time.Second
	maxDelayAfterAcceptance = 40 * time.Millisecond
	// maxRestartDelay is the longest time until a process is started again after a loss of power.
	maxRestartDelay = 3 * time.Second
	// controlDiskProbability is the share of wiped disks that are of control processes; the others are of stores.
	controlDiskProbability = 0.2
)

// wipeDisk kills a process, empties its disk and starts it again, where the budget allows.
func (r *run) wipeDisk(ctx context.Context, random *rand.Rand) {
	targets := r.randomDisks(random, 1)
	delays := randomDurations(random, 1, maxDowntime)
	if r.budget.acquire(1) == 0 {
		return
	}
	healed := r.timeline.add(KindWipe, "%s", describeRestarts(targets, delays))
	defer healed()
	r.wipe(targets)
	r.restart(ctx, targets, delays)
}

// losePower kills all processes at once, right after a batch job was accepted, and wipes as many disks as the
// budget allows. Then each process starts after a time of its own.
func (r *run) losePower(ctx context.Context, random *rand.Rand) {
	disks := r.randomDisks(random, r.options.MaxLostDisks)
	delays := randomDurations(random, len(r.targets), maxRestartDelay)
	r.jobs.awaitAcceptance(ctx, acceptanceTimeout)
	sleep(ctx, randomDuration(random, 0, maxDelayAfterAcceptance))
	r.powerLoss.Lock()
	disks = disks[:r.budget.acquire(len(disks))]
	healed := r.timeline.add(KindPowerLoss, "%s; wiped: %s", describeRestarts(r.targets, delays), targetNames(disks))
	defer healed()
	forEachConcurrently(r.targets, func(_ int, t *target) { t.kill() })
	r.wipe(disks)
	r.powerLoss.Unlock()
	r.restart(ctx, r.targets, delays)
}

// wipe kills processes and empties their disks. The caller has acquired the budget.
func (r *run) wipe(targets []*target) {
	for _, t := range targets {
		if err := t.wipe(); err != nil {
			r.checker.violated(RuleProcesses, "the disk could not be emptied: %v", err)
		}
	}
}

// randomDisks returns n different processes with disks.
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
