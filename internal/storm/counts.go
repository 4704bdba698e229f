package storm

// This file has the counts of arrivals, attempts and connections.

import (
	"math"
)

// Outcome is how an attempt at a member ended.
type Outcome uint8

// The outcomes.
const (
	InTime Outcome = iota
	Late           // answered after the class's latency target
	Failed         // not answered: no connection, a reset, an error, a time-out, a rejection
)

// Counts are the numbers of events in a period.
type Counts struct {
	FirstAttempts, Retries float64 // arrivals
	Admitted, Rejected     float64 // arrivals, by the decision
	InTime, Late, Failed   float64 // attempts at members, by outcome
	Connections            float64 // new ones
}

// add adds o to c.
func (c *Counts) add(o Counts) {
	c.FirstAttempts += o.FirstAttempts
	c.Retries += o.Retries
	c.Admitted += o.Admitted
	c.Rejected += o.Rejected
	c.InTime += o.InTime
	c.Late += o.Late
	c.Failed += o.Failed
	c.Connections += o.Connections
}

// arrivals returns the number of arrivals.
func (c Counts) arrivals() float64 { return c.FirstAttempts + c.Retries }

// failureRatio returns the fraction of attempts that ended late or failed.
func (c Counts) failureRatio() float64 {
	return (c.Late + c.Failed) / math.Max(c.InTime+c.Late+c.Failed, 1)
}

// AttemptEnded records the outcome of an attempt.
func (g *Guard) AttemptEnded(now Time, end Outcome) {
	g.start(now)
	if g.successStreak++; end != InTime {
		g.successStreak = 0
	}
	switch end {
	case InTime:
		g.current.InTime++
	case Late:
		g.current.Late++
	default:
		g.current.Failed++
	}
}

// recent returns the counts of the last second.
func (g *Guard) recent() (sum Counts) {
	for _, c := range g.history {
		sum.add(c)
	}
	return sum
}

// fleet returns the counts of the last second at this gateway and at the peers whose messages are fresh. Failed
// includes the late attempts of the peers, and Admitted, Rejected and Connections are only this gateway's.
func (g *Guard) fleet() (sum Counts) {
	sum = g.recent()
	for i := range g.peers {
		if p := &g.peers[i]; p.fresh(g.lastTickAt) {
			m := &p.message
			sum.add(Counts{FirstAttempts: m.FirstAttempts, Retries: m.Retries, InTime: m.InTime, Failed: m.Failed})
		}
	}
	return sum
}
