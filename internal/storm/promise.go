package storm

import (
	"math"
	"time"
)

// A refusal in a storm names a moment at which there is room for the client's return. What has been promised to each
// moment is remembered here and told to peers, so that those who heed it come back at a rate that the fleet can take.

// forgetPromises drops the slots that have passed.
func (g *Guard) forgetPromises(now Time) {
	for first := int64(now / slotLength); g.slot < first; g.slot++ {
		g.promised[g.slot%int64(slots)] = 0
		if first-g.slot > int64(slots) {
			g.slot = first - int64(slots)
		}
	}
}

// returns is how many of those who were told to come back this gateway can take in a slot that lies so far ahead: what
// the ramp will let in by then beside first tries.
func (g *Guard) returns(ahead time.Duration) float64 {
	rate := g.limit
	switch g.phase {
	case Outage: // its end is not known; once it is over, the members are cold
		rate = startShare * g.rate()
	case Recovery:
		rate = math.Min(g.limit*math.Pow(riseFactor, ahead.Seconds()/Tick.Seconds()), capShare*g.rate())
	}
	firsts := math.Min(g.recent().Firsts, g.usual)
	return math.Max(0.2*rate, rate-firsts) * slotLength.Seconds()
}

// promise gives a wait: to the first slot with room, or where all are full to the one that is least so. It is never
// longer than the clients' own limit.
func (g *Guard) promise(now Time) time.Duration {
	g.forgetPromises(now)
	least := leastWait
	if g.phase == Outage {
		least = outageWait
	}
	least = min(least, g.opt.MostWait)
	from, to := int64((now+least)/slotLength), int64((now+g.opt.MostWait)/slotLength)
	best, fullest := to, math.Inf(1)
	for s := max(from, g.slot); s <= min(to, g.slot+int64(slots)-1); s++ {
		there := g.promised[s%int64(slots)] + g.promisedByPeers(now, s)
		full := there / math.Max(g.returns(time.Duration(s)*slotLength-now)*g.shares(now), 1e-9)
		if full < fullest {
			best, fullest = s, full
		}
		if full < 1 {
			break
		}
	}
	if best >= g.slot && best < g.slot+int64(slots) {
		g.promised[best%int64(slots)]++
	}
	within := time.Duration(g.rng.Float64() * float64(slotLength))
	return min(max(time.Duration(best)*slotLength+within-now, least), g.opt.MostWait)
}

// shares is how many gateways like this one promise to the same moments.
func (g *Guard) shares(now Time) float64 {
	n := 1.0
	for i := range g.peers {
		if g.peers[i].fresh(now) {
			n++
		}
	}
	return n
}

// promisedByPeers is what peers have told of their promises to a slot. They tell of whole seconds from when they told.
func (g *Guard) promisedByPeers(now Time, slot int64) (sum float64) {
	for i := range g.peers {
		p := &g.peers[i]
		if !p.fresh(now) {
			continue
		}
		second := int((time.Duration(slot)*slotLength - p.at) / time.Second)
		if second >= 0 && second < toldSeconds {
			sum += p.said.Promised[second] / slotsPerS
		}
	}
	return sum
}
