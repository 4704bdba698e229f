package helper

// This file connects the exchange with the gateway's core and its list of servers.

import (
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/discovery"
	"sprucelane.example/sprucelane/internal/daemon/knowledge"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/pipe"
	"sprucelane.example/sprucelane/policy"
)

// Prior is a prior estimate of a member.
type Prior = knowledge.Prior

// Snapshot has the members at the time of an observation, by incarnation.
type Snapshot map[knowledge.Life]observedServer

// observedServer is a member at the time of an observation.
type observedServer struct {
	id          policy.ServerID
	servedTotal int // as in policy.Observation
}

// Gateway implements PriorConsumer for a gateway's core. It translates between the core's server IDs and the
// incarnations that all gateways know.
type Gateway struct {
	Core       *core.Core
	Membership *discovery.Membership
}

const (
	initialRoom = 4.0 // attempts that a gateway assumes a member can hold when it knows nothing of it
	roomFactor  = 4.0 // factor by which reports of peers may raise initialRoom
)

// MaxRoom returns the highest room, in attempts, that peers' reports may give a member at one gateway, by the
// number of gateways.
func MaxRoom(gateways int) float64 { return roomFactor * initialRoom / float64(max(gateways, 1)) }

// Observe implements PriorConsumer.
func (g *Gateway) Observe() (state pipe.State, at Snapshot) {
	incarnations := g.Membership.Incarnations()
	at, state.Deaf = make(Snapshot, len(incarnations)), g.Membership.SinceLastAnswer()
	g.Core.UpdatePriors(func(now core.Time, seen []policy.Observation) []policy.Prior {
		answered, waiting := core.Time(0), time.Duration(0)
		for _, o := range seen {
			incarnation, ok := incarnations[o.ID]
			if !ok || startTime(incarnation.StartedMs) != o.StartedAt { // the member was listed after Incarnations returned
				continue
			}
			life := knowledge.Life(incarnation)
			at[life] = observedServer{o.ID, o.ServedTotal}
			s := knowledge.Observation{Life: life, Stalled: o.NoResponseFor, Ejected: o.EjectedFor, Lost: o.Overdue,
				Pace: o.RelativeLatency, Answers: o.LatencySamples, Answered: -1, Room: o.Capacity, Warmth: o.Warmth,
				Cold: o.SlowStartSends}
			if o.ServedTotal > 0 {
				s.Answered = now - o.LastServed
			}
			state.Own = append(state.Own, s)
			answered, waiting = max(answered, o.LastServed), max(waiting, o.NoResponseFor)
		}
		// A gateway without traffic receives no answers, which doesn't make it blind.
		state.Blind = min(waiting, now-answered)
		return nil
	})
	return state, at
}

// startTime converts the start of a member from Unix ms to the core's representation.
func startTime(startedMs int64) core.Time { return time.Duration(startedMs) * time.Millisecond }

// ApplyPriors implements PriorConsumer.
func (g *Gateway) ApplyPriors(priors []Prior, at Snapshot) (late int) {
	if len(priors) == 0 {
		return 0
	}
	g.Core.UpdatePriors(func(_ core.Time, seen []policy.Observation) []policy.Prior {
		served := make(map[policy.ServerID]int, len(seen))
		for _, o := range seen {
			served[o.ID] = o.ServedTotal
		}
		list := make([]policy.Prior, 0, len(priors))
		for _, p := range priors {
			s, ok := at[p.Life]
			if now, listed := served[s.id]; !ok || !listed || now != s.servedTotal {
				late++
				continue
			}
			list = append(list, policy.Prior{ID: s.id, StartedAt: startTime(p.StartedMs), RelativeLatency: p.Pace,
				Weight: p.Weight, Capacity: p.Room, SlowStartBudgetTaken: p.Cold})
		}
		return list
	})
	return late
}
