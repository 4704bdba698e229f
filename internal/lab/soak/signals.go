package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

const (
	minSignalInterval = 500 * time.Millisecond // from the end of a series of signals to the next
	maxSignalInterval = 4 * time.Second
	// reloadProbability is the share of series that are of SIGHUP; the others are of SIGTERM.
	reloadProbability = 0.3
	// maxSeries is the number of processes, or machines, that a series strikes at most.
	maxSeries = 4
	// maxSeriesGap is the longest time between two signals of a series. It is shorter than a graceful exit, so that exits
	// overlap.
	maxSeriesGap = 3 * time.Second
	// gatewaysOnlyProbability is the share of series of SIGTERM that strike gateways alone; the others strike all processes
	// of each machine.
	gatewaysOnlyProbability = 0.6
	// minAge is the time from a process's start after which it is asked to exit.
	minAge = 500 * time.Millisecond
	// maxDowntimeAfterExit is the longest time until a process is started again that has exited.
	maxDowntimeAfterExit = 2 * time.Second
)

// sendSignals sends series of SIGTERM and SIGHUP until the context ends, as planned work does. The processes that have
// exited are started again before it returns.
func (r *run) sendSignals(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, randomDuration(random, minSignalInterval, maxSignalInterval)) {
		if random.Float64() < reloadProbability {
			r.reloadProcesses(ctx, random)
			continue
		}
		r.terminateMachines(ctx, random)
	}
}

// reloadProcesses sends SIGHUP to a few processes, one after the other.
func (r *run) reloadProcesses(ctx context.Context, random *rand.Rand) {
	var targets []*target
	for range 1 + random.IntN(maxSeries) {
		targets = append(targets, r.targets[random.IntN(len(r.targets))])
	}
	ended := r.timeline.add(KindReload, "%s", targetNames(targets))
	defer ended()
	for _, t := range targets {
		t.reload()
		sleep(ctx, randomDuration(random, 0, maxSeriesGap/2))
	}
}

// terminateMachines sends SIGTERM to the processes of a few machines, one machine after the other, and starts each again
// after its exit.
func (r *run) terminateMachines(ctx context.Context, random *rand.Rand) {
	groups := r.randomGroups(random)
	gaps := randomDurations(random, len(groups), maxSeriesGap)
	var delays [][]time.Duration
	var all []*target
	for _, group := range groups {
		delays = append(delays, randomDurations(random, len(group), maxDowntimeAfterExit))
		all = append(all, group...)
	}
	ended := r.timeline.add(KindTerminate, "%s", targetNames(all))
	defer ended()
	due := make([]time.Duration, len(groups)) // from now
	for i := 1; i < len(groups); i++ {
		due[i] = due[i-1] + gaps[i]
	}
	forEachIndex(len(groups), func(i int) {
		if !sleep(ctx, due[i]) {
			return
		}
		forEachConcurrently(groups[i], func(j int, t *target) { r.terminate(ctx, t, delays[i][j]) })
	})
}

// randomGroups returns the processes of a few machines, a list for each.
func (r *run) randomGroups(random *rand.Rand) (groups [][]*target) {
	machines := r.cluster.Machines
	if random.Float64() < gatewaysOnlyProbability {
		machines = r.frontMachines
	}
	gatewaysOnly := len(machines) == len(r.frontMachines)
	for _, index := range random.Perm(len(machines))[:1+random.IntN(min(maxSeries, len(machines)))] {
		var group []*target
		for _, role := range machines[index].Roles {
			if role == system.RoleGateway || !gatewaysOnly {
				group = append(group, r.targetAt(machines[index], role))
			}
		}
		groups = append(groups, group)
	}
	return groups
}

// terminate has a process exit, and starts it again after a delay. It does nothing to one that has only just been started,
// which needn't catch signals yet.
func (r *run) terminate(ctx context.Context, t *target, delay time.Duration) {
	if t.age() < minAge {
		return
	}
	if err := t.terminate(); err != nil {
		r.checker.violated(RuleProcesses, "%v", err)
	}
	r.restart(ctx, []*target{t}, []time.Duration{delay})
}
