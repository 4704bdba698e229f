package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

// Figures of rounds.
const (
	minRound                  = 5 * time.Second
	maxRound                  = 20 * time.Second
	finalPowerLossProbability = 0.7              // of the rounds end with a blackout
	maxFaultsAfterPowerLoss   = 6 * time.Second  // that other troubles go on while the system comes back from it
	retirementProbability     = 0.6              // of the rounds have a retirement
	maxRetirementDelay        = 8 * time.Second  // from the beginning of a round to its retirement
	retirementTimeout         = 30 * time.Second // after the troubles of a round its retirement is over
	randomStreamRounds        = 100              // the streams of random numbers
	randomStreamRetirements   = 103
	randomStreamPowerLoss     = 106
	randomStreamFirstSlot     = 200
)

// rounds plays rounds: troubles, mostly with a loss of all power and of disks at the end, and the recovery from them.
type rounds struct {
	run        *run
	random     *rand.Rand
	retirement *rand.Rand
	powerLoss  *rand.Rand
	slots      []*rand.Rand
}

func newRounds(r *run) *rounds {
	source := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(r.plan.Seed, stream)) }
	rounds := &rounds{run: r, random: source(randomStreamRounds), retirement: source(randomStreamRetirements), powerLoss: source(randomStreamPowerLoss)}
	for slot := range concurrentFaults {
		rounds.slots = append(rounds.slots, source(randomStreamFirstSlot+uint64(slot)))
	}
	return rounds
}

// play plays one round. No trouble begins after the end. It tells whether the system recovered.
func (r *rounds) play(ctx context.Context, end time.Time) bool {
	length := min(time.Until(end), randomDuration(r.random, minRound, maxRound))
	dark, after := r.random.Float64() < finalPowerLossProbability, randomDuration(r.random, 0, maxFaultsAfterPowerLoss)
	retired := make(chan struct{})
	finishing, giveUp := context.WithTimeout(ctx, length+maxFaultsAfterPowerLoss+retirementTimeout)
	defer giveUp()
	go func() {
		defer close(retired)
		r.retire(finishing, length)
	}()
	r.injectFaults(ctx, length)
	if dark {
		r.endWithPowerLoss(ctx, after)
	}
	r.run.healAll()
	<-retired
	if ctx.Err() != nil {
		return false
	}
	r.run.timeline.note(kindHealed)
	return r.run.awaitRecovery(ctx)
}

// trouble lets all slots make troubles for a time.
func (r *rounds) injectFaults(ctx context.Context, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var all sync.WaitGroup
	for _, random := range r.slots {
		all.Go(func() { r.run.injectFaults(ctx, random) })
	}
	all.Wait()
}

// endDark ends a round with a blackout. Other troubles go on while the processes come back.
func (r *rounds) endWithPowerLoss(ctx context.Context, after time.Duration) {
	var all sync.WaitGroup
	all.Go(func() { r.run.losePower(ctx, r.powerLoss) })
	all.Go(func() { r.injectFaults(ctx, after) })
	all.Wait()
}

// retire has a store retired in some rounds.
func (r *rounds) retire(ctx context.Context, length time.Duration) {
	wanted, begins := r.retirement.Float64() < retirementProbability, randomDuration(r.retirement, 0, maxRetirementDelay)
	stores := r.run.targetsOf(system.RoleBatch)
	one := stores[r.retirement.IntN(len(stores))]
	if wanted && begins < length && sleep(ctx, begins) {
		r.run.retire(ctx, r.retirement, one)
	}
}
