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
	shortestRound   = 5 * time.Second
	longestRound    = 20 * time.Second
	blackoutAtEnd   = 0.7              // of the rounds end with a blackout
	longestAfter    = 6 * time.Second  // that other troubles go on while the system comes back from it
	retiringRounds  = 0.6              // of the rounds have a retirement
	longestUntil    = 8 * time.Second  // from the beginning of a round to its retirement
	retireWithin    = 30 * time.Second // after the troubles of a round its retirement is over
	randomRounds    = 100              // the streams of random numbers
	randomRetire    = 103
	randomAtTheEnd  = 106
	randomFirstSlot = 200
)

// rounds plays rounds: troubles, mostly with a loss of all power and of disks at the end, and the recovery from them.
type rounds struct {
	run        *run
	random     *rand.Rand
	retirement *rand.Rand
	atTheEnd   *rand.Rand
	slots      []*rand.Rand
}

func newRounds(r *run) *rounds {
	source := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(r.plan.Seed, stream)) }
	rounds := &rounds{run: r, random: source(randomRounds), retirement: source(randomRetire), atTheEnd: source(randomAtTheEnd)}
	for slot := range troubleSlots {
		rounds.slots = append(rounds.slots, source(randomFirstSlot+uint64(slot)))
	}
	return rounds
}

// play plays one round. No trouble begins after the end. It tells whether the system recovered.
func (r *rounds) play(ctx context.Context, end time.Time) bool {
	length := min(time.Until(end), drawTime(r.random, shortestRound, longestRound))
	dark, after := r.random.Float64() < blackoutAtEnd, drawTime(r.random, 0, longestAfter)
	retired := make(chan struct{})
	finishing, giveUp := context.WithTimeout(ctx, length+longestAfter+retireWithin)
	defer giveUp()
	go func() {
		defer close(retired)
		r.retire(finishing, length)
	}()
	r.trouble(ctx, length)
	if dark {
		r.endDark(ctx, after)
	}
	r.run.heal()
	<-retired
	if ctx.Err() != nil {
		return false
	}
	r.run.timeline.note(kindHealed)
	return r.run.awaitRecovery(ctx)
}

// trouble lets all slots make troubles for a time.
func (r *rounds) trouble(ctx context.Context, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var all sync.WaitGroup
	for _, random := range r.slots {
		all.Go(func() { r.run.trouble(ctx, random) })
	}
	all.Wait()
}

// endDark ends a round with a blackout. Other troubles go on while the processes come back.
func (r *rounds) endDark(ctx context.Context, after time.Duration) {
	var all sync.WaitGroup
	all.Go(func() { r.run.blackout(ctx, r.atTheEnd) })
	all.Go(func() { r.trouble(ctx, after) })
	all.Wait()
}

// retire has a store retired in some rounds.
func (r *rounds) retire(ctx context.Context, length time.Duration) {
	wanted, begins := r.retirement.Float64() < retiringRounds, drawTime(r.retirement, 0, longestUntil)
	stores := r.run.unitsOf(system.RoleBatch)
	one := stores[r.retirement.IntN(len(stores))]
	if wanted && begins < length && sleep(ctx, begins) {
		r.run.retire(ctx, r.retirement, one)
	}
}
