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
}

func newRounds(r *run) *rounds {
	rounds := &rounds{
		run:        r,
		random:     r.options.randomSource(randomRounds),
		retirement: r.options.randomSource(randomRetirements),
		powerLoss:  r.options.randomSource(randomFinalPowerLoss),
	}
	for i := range concurrentFaults {
		rounds.injectors = append(rounds.injectors, r.options.randomSource(randomFaults+randomStream(i)))
	}
	return rounds
}

// play plays one round, and returns whether the system recovered from it. No fault begins after end but for
// the final loss of power and those during it.
func (r *rounds) play(ctx context.Context, end time.Time) bool {
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

// injectFaults has all injectors inject faults for a time.
func (r *rounds) injectFaults(ctx context.Context, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var injectors sync.WaitGroup
	for _, random := range r.injectors {
		injectors.Go(func() { r.run.injectFaults(ctx, random) })
	}
	injectors.Wait()
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
