package soak

import (
	"math/rand/v2"
	"time"
)

// randomStream numbers the sequences of random numbers of a seed. Each activity draws from its own, so that
// the draws of one don't depend on the timing of another. The numbers are part of what a seed stands for:
// don't change them.
type randomStream uint64

const (
	randomRounds         randomStream = 100
	randomChanges        randomStream = 101 // the operator's changes of the configuration
	randomReadBacks      randomStream = 102 // the operator's reads
	randomRetirements    randomStream = 103
	randomStreams        randomStream = 104
	randomJobs           randomStream = 105
	randomFinalPowerLoss randomStream = 106
	randomSignals        randomStream = 107
	randomServerFaults   randomStream = 108
	randomKeptClients    randomStream = 109
	randomHostileValues  randomStream = 110
	randomRivalChanges   randomStream = 111
	randomPlannedRounds  randomStream = 112
	randomFaults         randomStream = 200 // of the first injector; the others follow
)

// randomSource returns the random numbers of a stream.
func (o Options) randomSource(stream randomStream) *rand.Rand {
	return rand.New(rand.NewPCG(o.Seed, uint64(stream)))
}

// randomSources returns n sources that follow from a stream.
func (o Options) randomSources(stream randomStream, n int) (sources []*rand.Rand) {
	seeds := o.randomSource(stream)
	for range n {
		sources = append(sources, o.randomSource(randomStream(seeds.Uint64())))
	}
	return sources
}

// randomDuration returns a duration between two bounds, uniformly distributed.
func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Float64()*float64(longest-shortest))
}

// randomDurations returns n durations of up to longest.
func randomDurations(random *rand.Rand, n int, longest time.Duration) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = randomDuration(random, 0, longest)
	}
	return list
}

// randomInterval returns the time until the next event of a Poisson process with a rate per second.
func randomInterval(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}
