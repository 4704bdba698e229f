package simulation

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Rand is a source of random numbers that are determined by a seed. Tests are replayed by seed, so a
// change of the order of draws changes the run.
type Rand struct {
	*rand.Rand
	seed uint64
}

// NewRand returns the source for a seed. The second word of the generator's seed is an arbitrary constant.
func NewRand(seed uint64) *Rand {
	return &Rand{Rand: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), seed: seed}
}

// Seed returns the seed.
func (r *Rand) Seed() uint64 {
	return r.seed
}

// Fork returns a source that is determined by the seed and a name only: earlier draws from r don't affect it.
func (r *Rand) Fork(name string) *Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return NewRand(r.seed ^ hash.Sum64())
}

// Chance returns true with the given probability.
func (r *Rand) Chance(probability float64) bool {
	return r.Float64() < probability
}

// Between returns a random duration in [low, high), or low if that interval is empty.
func (r *Rand) Between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// Bytes returns random bytes.
func (r *Rand) Bytes(length int) []byte {
	data := make([]byte, length)
	for i := range data {
		data[i] = byte(r.Uint32())
	}
	return data
}
