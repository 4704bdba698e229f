package helper

import (
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/discovery"
	"sprucelane.example/sprucelane/internal/knowledge"
	"sprucelane.example/sprucelane/internal/knowledge/pipe"
	"sprucelane.example/sprucelane/policy"
)

// Prior is what the link program guesses of a member.
type Prior = knowledge.Prior

// Snapshot tells, for each life shown, its number and how often it had answered.
type Snapshot map[knowledge.Life]observedServer

type observedServer struct {
	id          policy.ServerID
	servedTotal int
}

// Gateway stands on a gateway's core and roster: it turns the module's numbers into instances and lives, and back.
type Gateway struct {
	Core       *core.Core
	Membership *discovery.Membership
}

const roomFactor, initialRoom = 4.0, 4.0

// RoomMost is the most room that a peer's word may give at one of so many gateways: some times that of a blank start.
func MaxRoom(gateways int) float64 { return roomFactor * initialRoom / float64(max(gateways, 1)) }

// Seen implements Teachable.
func (g *Gateway) Observe() (state pipe.State, at Snapshot) {
	names := g.Membership.Incarnations()
	at, state.Deaf = make(Snapshot, len(names)), g.Membership.SinceLastAnswer()
	g.Core.UpdatePriors(func(now core.Time, seen []policy.Observation) []policy.Prior {
		answered, waiting := core.Time(0), time.Duration(0)
		for _, o := range seen {
			name, ok := names[o.ID]
			if !ok || startTime(name.StartedMs) != o.StartedAt { // listed after the names were asked for
				continue
			}
			life := knowledge.Life(name)
			at[life] = observedServer{o.ID, o.ServedTotal}
			s := knowledge.Observation{Life: life, Stalled: o.NoResponseFor, Ejected: o.EjectedFor, Lost: o.Overdue, Pace: o.RelativeLatency,
				Answers: o.LatencySamples, Answered: -1, Room: o.Capacity, Warmth: o.Warmth, Cold: o.SlowStartSends}
			if o.ServedTotal > 0 {
				s.Answered = now - o.LastServed
			}
			state.Own = append(state.Own, s)
			answered, waiting = max(answered, o.LastServed), max(waiting, o.NoResponseFor)
		}
		state.Blind = min(waiting, now-answered) // a gateway of which nothing is asked is not blind for want of answers
		return nil
	})
	return state, at
}

func startTime(startedMs int64) core.Time { return time.Duration(startedMs) * time.Millisecond }

// Teach implements Teachable. A prior for a member that has answered since it was shown comes too late.
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
			list = append(list, policy.Prior{ID: s.id, StartedAt: startTime(p.StartedMs), RelativeLatency: p.Pace, Weight: p.Weight, Capacity: p.Room,
				SlowStartBudgetTaken: p.Cold})
		}
		return list
	})
	return late
}
