package storm

// This file schedules the returns of rejected clients: Retry-After points to a time slot with room, so that clients
// that honor it return at a rate that the gateways can admit.

import (
	"math"
	"time"
)

const (
	minRetryAfter       = 250 * time.Millisecond
	outageMinRetryAfter = time.Second // minRetryAfter in an outage
	maxRetryAfter       = 30 * time.Second

	// minReturnRatio of the rate is reserved for returning clients, however many first attempts there are.
	minReturnRatio = 0.2

	slotsPerSecond = 4
	slotCount      = int(maxRetryAfter/time.Second) * slotsPerSecond
	slotDuration   = time.Second / slotsPerSecond
)

// advanceSlots clears the slots that have passed.
func (g *Guard) advanceSlots(now Time) {
	for first := int64(now / slotDuration); g.firstSlot < first; g.firstSlot++ {
		g.scheduled[g.firstSlot%int64(slotCount)] = 0
		if first-g.firstSlot > int64(slotCount) {
			g.firstSlot = first - int64(slotCount)
		}
	}
}

// returnCapacity returns how many returning clients this gateway can admit in a slot that begins after the time ahead:
// what the ramp will admit by then, less the first attempts.
func (g *Guard) returnCapacity(ahead time.Duration) float64 {
	rate := g.limit
	switch g.phase {
	case Outage: // its end is unknown; the members will be warming up after it
		rate = rampStartRatio * g.baselineRate()
	case Recovery:
		increase := math.Pow(rampIncreaseFactor, ahead.Seconds()/TickInterval.Seconds())
		rate = math.Min(g.limit*increase, rampMaxRatio*g.baselineRate())
	}
	firstAttempts := math.Min(g.recent().FirstAttempts, g.baselineArrivals)
	return math.Max(minReturnRatio*rate, rate-firstAttempts) * slotDuration.Seconds()
}

// scheduleReturn returns a Retry-After and counts the return. It chooses the earliest slot with room, or the least
// utilized one if all are full, and a random time in it.
func (g *Guard) scheduleReturn(now Time) time.Duration {
	g.advanceSlots(now)
	least := minRetryAfter
	if g.phase == Outage {
		least = outageMinRetryAfter
	}
	least = min(least, g.opt.MaxRetryAfter)
	from, to := int64((now+least)/slotDuration), int64((now+g.opt.MaxRetryAfter)/slotDuration)
	best, lowest := to, math.Inf(1)
	for s := max(from, g.firstSlot); s <= min(to, g.firstSlot+int64(slotCount)-1); s++ {
		returns := g.scheduled[s%int64(slotCount)] + g.scheduledByPeers(now, s)
		capacity := g.returnCapacity(time.Duration(s)*slotDuration-now) * g.activeGateways(now)
		utilization := returns / math.Max(capacity, 1e-9)
		if utilization < lowest {
			best, lowest = s, utilization
		}
		if utilization < 1 {
			break
		}
	}
	if best >= g.firstSlot && best < g.firstSlot+int64(slotCount) {
		g.scheduled[best%int64(slotCount)]++
	}
	jitter := time.Duration(g.rng.Float64() * float64(slotDuration))
	return min(max(time.Duration(best)*slotDuration+jitter-now, least), g.opt.MaxRetryAfter)
}

// activeGateways returns how many gateways schedule returns, this one included.
func (g *Guard) activeGateways(now Time) float64 {
	n := 1.0
	for i := range g.peers {
		if g.peers[i].fresh(now) {
			n++
		}
	}
	return n
}

// scheduledByPeers returns how many returns the peers have scheduled for a slot. A peer reports returns per second,
// counted from when it sent the message, which is taken to be when it was received.
func (g *Guard) scheduledByPeers(now Time, slot int64) (sum float64) {
	for i := range g.peers {
		p := &g.peers[i]
		if !p.fresh(now) {
			continue
		}
		second := int((time.Duration(slot)*slotDuration - p.receivedAt) / time.Second)
		if second >= 0 && second < scheduleSeconds {
			sum += p.message.Scheduled[second] / slotsPerSecond
		}
	}
	return sum
}
