package storm

import (
	"math"
	"time"
)

// A refusal in a storm names a moment at which there is room for the client's return. What has been promised to each
// moment is remembered here and told to peers, so that those who heed it come back at a rate that the fleet can take.

// forgetPromises drops the slots that have passed.
func (g *Guard) advanceSlots(now Time) {
	for first := int64(now / slotDuration); g.firstSlot < first; g.firstSlot++ {
		g.scheduled[g.firstSlot%int64(slotCount)] = 0
		if first-g.firstSlot > int64(slotCount) {
			g.firstSlot = first - int64(slotCount)
		}
	}
}

// returns is how many of those who were told to come back this gateway can take in a slot that lies so far ahead: what
// the ramp will let in by then beside first tries.
func (g *Guard) returnCapacity(ahead time.Duration) float64 {
	rate := g.limit
	switch g.phase {
	case Outage: // its end is not known; once it is over, the members are cold
		rate = rampStartRatio * g.baselineRate()
	case Recovery:
		rate = math.Min(g.limit*math.Pow(rampIncreaseFactor, ahead.Seconds()/TickInterval.Seconds()), rampMaxRatio*g.baselineRate())
	}
	firsts := math.Min(g.recent().FirstAttempts, g.baselineArrivals)
	return math.Max(0.2*rate, rate-firsts) * slotDuration.Seconds()
}

// promise gives a wait: to the first slot with room, or where all are full to the one that is least so. It is never
// longer than the clients' own limit.
func (g *Guard) scheduleReturn(now Time) time.Duration {
	g.advanceSlots(now)
	least := minRetryAfter
	if g.phase == Outage {
		least = outageMinRetryAfter
	}
	least = min(least, g.opt.MaxRetryAfter)
	from, to := int64((now+least)/slotDuration), int64((now+g.opt.MaxRetryAfter)/slotDuration)
	best, fullest := to, math.Inf(1)
	for s := max(from, g.firstSlot); s <= min(to, g.firstSlot+int64(slotCount)-1); s++ {
		there := g.scheduled[s%int64(slotCount)] + g.scheduledByPeers(now, s)
		full := there / math.Max(g.returnCapacity(time.Duration(s)*slotDuration-now)*g.activeGateways(now), 1e-9)
		if full < fullest {
			best, fullest = s, full
		}
		if full < 1 {
			break
		}
	}
	if best >= g.firstSlot && best < g.firstSlot+int64(slotCount) {
		g.scheduled[best%int64(slotCount)]++
	}
	within := time.Duration(g.rng.Float64() * float64(slotDuration))
	return min(max(time.Duration(best)*slotDuration+within-now, least), g.opt.MaxRetryAfter)
}

// shares is how many gateways like this one promise to the same moments.
func (g *Guard) activeGateways(now Time) float64 {
	n := 1.0
	for i := range g.peers {
		if g.peers[i].fresh(now) {
			n++
		}
	}
	return n
}

// promisedByPeers is what peers have told of their promises to a slot. They tell of whole seconds from when they told.
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
