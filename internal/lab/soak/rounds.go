package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

const (
	minRound = 5 * time.Second
	maxRound = 20 * time.Second
	// finalPowerLossProbability is the share of rounds that end with a loss of power.
	finalPowerLossProbability = 0.7
	// plannedRoundProbability is the share of rounds with planned work and faults of model servers alone, during which no
	// answer may be missing anywhere.
	plannedRoundProbability = 0.4
	// concurrentSignals is how many series of signals go on at the same time, at most.
	concurrentSignals = 2
	// maxFaultsAfterPowerLoss is how long other faults go on, at most, while the system comes back from it.
	maxFaultsAfterPowerLoss = 6 * time.Second
	// retirementProbability is the share of rounds in which a store is retired.
	retirementProbability = 0.6
	// maxRetirementDelay is the longest time from the beginning of a round to its retirement.
	maxRetirementDelay = 8 * time.Second
	// retirementTimeout bounds a retirement after the faults of its round.
	retirementTimeout = 30 * time.Second
)

// rounds plays rounds: faults, mostly with a loss of power and of disks at the end, and the recovery from them.
type rounds struct {
	run        *run
	random     *rand.Rand
	retirement *rand.Rand
	powerLoss  *rand.Rand
	injectors  []*rand.Rand // one for each fault that may go on at the same time
	planned    *rand.Rand
	signals    []*rand.Rand // one for each series that may go on at the same time
	servers    []*rand.Rand // one for each fault of model servers that may go on at the same time
}

func newRounds(r *run) *rounds {
	rounds := &rounds{
		run:        r,
		random:     r.options.randomSource(randomRounds),
		retirement: r.options.randomSource(randomRetirements),
		powerLoss:  r.options.randomSource(randomFinalPowerLoss),
		planned:    r.options.randomSource(randomPlannedRounds),
		signals:    r.options.randomSources(randomSignals, concurrentSignals),
		servers:    r.options.randomSources(randomServerFaults, concurrentServerFaults),
	}
	for i := range concurrentFaults {
		rounds.injectors = append(rounds.injectors, r.options.randomSource(randomFaults+randomStream(i)))
	}
	return rounds
}

// play plays one round, and returns whether the system recovered from it. No fault begins after end but for
// the final loss of power and those during it.
func (r *rounds) play(ctx context.Context, end time.Time) bool {
	if r.planned.Float64() < plannedRoundProbability {
		return r.playPlanned(ctx, end)
	}
	length := min(time.Until(end), randomDuration(r.random, minRound, maxRound))
	losesPower := r.random.Float64() < finalPowerLossProbability
	faultsAfter := randomDuration(r.random, 0, maxFaultsAfterPowerLoss)
	retired := make(chan struct{})
	retireCtx, cancel := context.WithTimeout(ctx, length+maxFaultsAfterPowerLoss+retirementTimeout)
	defer cancel()
	go func() {
		defer close(retired)
		r.retire(retireCtx, length)
	}()
	r.injectFaults(ctx, length)
	if losesPower {
		r.endWithPowerLoss(ctx, faultsAfter)
	}
	r.run.healAll()
	<-retired
	if ctx.Err() != nil {
		return false
	}
	r.run.timeline.note(kindHealed)
	return r.run.awaitRecovery(ctx)
}

// playPlanned plays a round of planned work and faults of model servers, as play does.
func (r *rounds) playPlanned(ctx context.Context, end time.Time) bool {
	r.run.timeline.note(kindPlanned)
	r.inject(ctx, min(time.Until(end), randomDuration(r.planned, minRound, maxRound)), nil)
	r.run.healAll()
	if ctx.Err() != nil {
		return false
	}
	r.run.timeline.note(kindHealed)
	return r.run.awaitRecovery(ctx)
}

// injectFaults has all injectors inject faults for a time.
func (r *rounds) injectFaults(ctx context.Context, length time.Duration) {
	r.inject(ctx, length, r.injectors)
}

// inject has injectors, planned work and faults of model servers go on for a time.
func (r *rounds) inject(ctx context.Context, length time.Duration, injectors []*rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var activities sync.WaitGroup
	start := func(randoms []*rand.Rand, activity func(context.Context, *rand.Rand)) {
		for _, random := range randoms {
			activities.Go(func() { activity(ctx, random) })
		}
	}
	start(injectors, r.run.injectFaults)
	start(r.signals, r.run.sendSignals)
	start(r.servers, r.run.injectServerFaults)
	activities.Wait()
}

// endWithPowerLoss ends a round with a loss of power. Other faults go on while the processes come back.
func (r *rounds) endWithPowerLoss(ctx context.Context, faultsAfter time.Duration) {
	var both sync.WaitGroup
	both.Go(func() { r.run.losePower(ctx, r.powerLoss) })
	both.Go(func() { r.injectFaults(ctx, faultsAfter) })
	both.Wait()
}

// retire retires a store in some rounds. It draws as often in those without, so that the rounds that follow
// don't depend on it.
func (r *rounds) retire(ctx context.Context, length time.Duration) {
	wanted := r.retirement.Float64() < retirementProbability
	delay := randomDuration(r.retirement, 0, maxRetirementDelay)
	stores := r.run.targetsOf(system.RoleBatch)
	store := stores[r.retirement.IntN(len(stores))]
	if wanted && delay < length && sleep(ctx, delay) {
		r.run.retire(ctx, r.retirement, store)
	}
}
