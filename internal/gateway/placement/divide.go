package placement

import (
	"cmp"
	"slices"

	"sprucelane.example/sprucelane/internal/gateway/servers"
	"sprucelane.example/sprucelane/policy"
)

const (
	// longPrompt is the least prompt, in tokens, that is kept apart: reading it holds up all that waits and runs at its server.
	longPrompt = 4096
	// longShare is the part of a service's servers that long prompts go to.
	longShare = 0.4
	// divideLeast is the least number of servers that are divided.
	divideLeast = 6
	// What it costs to cross the line: short prompts wait behind long ones there, long ones leave what they share.
	shortAmongLong, longAmongShort = 400, 3000
)

// division tells which servers of a service long prompts go to. All gateways that hold the same list find the same.
type division struct {
	of   *servers.Server // the list's first, which is another in another list
	size int
	long map[policy.ServerID]bool
}

// division gives that of a list. The mutex is held.
func (p *Placer) division(list []*servers.Server) division {
	if len(list) < divideLeast {
		return division{}
	}
	held, known := p.divided[list[0].Backend]
	if !known || held.of != list[0] || held.size != len(list) {
		held = newDivision(list)
		p.divided[list[0].Backend] = held
	}
	return held
}

func newDivision(list []*servers.Server) division {
	if len(list) < divideLeast {
		return division{}
	}
	order := slices.Clone(list)
	slices.SortFunc(order, func(a, b *servers.Server) int { return cmp.Compare(mix(a.Hash), mix(b.Hash)) })
	count := int(longShare*float64(len(list)) + 0.5)
	d := division{of: list[0], size: len(list), long: make(map[policy.ServerID]bool, count)}
	for _, server := range order[:count] {
		d.long[server.Number] = true
	}
	return d
}

// cost gives what it costs a request to go to a server of the other part.
func (d division) cost(demand *Demand, number policy.ServerID) float64 {
	if d.long == nil {
		return 0
	}
	long := demand.Prompt >= longPrompt
	switch {
	case long && !d.long[number]:
		return longAmongShort
	case !long && d.long[number]:
		return shortAmongLong
	}
	return 0
}

// among gives the servers that requests which share much of a prompt meet at; nil: all.
func (d division) among(demand *Demand) map[policy.ServerID]bool {
	if demand.Prompt < longPrompt {
		return nil
	}
	return d.long
}
