package quota

import "time"

// driftingClock is the monotonic clock of a machine: it has its own origin and rate.
type driftingClock struct {
	sim    *simulation
	offset time.Duration
	rate   float64
}

// maxClockDrift is the largest deviation of a clock's rate from 1: two clocks differ by up to 30 ms over the
// lifetime of a lease.
const maxClockDrift = 0.005

// clockRounding is the most by which converting a reading back to simulation time exceeds the time of the
// reading.
const clockRounding = 2 * time.Microsecond

// newClock returns a clock with a random origin and rate.
func (sim *simulation) newClock() driftingClock {
	return driftingClock{sim, time.Hour + sim.randomDuration(time.Hour), 1 + maxClockDrift*(2*sim.random.Float64()-1)}
}

func (c *driftingClock) read() time.Duration {
	return c.offset + time.Duration(float64(c.sim.now)*c.rate)
}

// simTime converts a reading to simulation time, rounded up.
func (c *driftingClock) simTime(moment time.Duration) time.Duration {
	return time.Duration(float64(moment-c.offset)/c.rate) + time.Nanosecond
}
