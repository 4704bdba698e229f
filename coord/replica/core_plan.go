package replica

import (
	"sort"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

func (c *core) reachesMajority() bool {
	count := 0
	for _, m := range c.acceptor.View.Voters {
		if m.Same(c.self) {
			count++
		} else if p := c.peers[m.ID()]; p != nil && p.reachable && c.alive(m) {
			count++
		}
	}
	return count >= c.acceptor.View.Majority()
}

// need tells why the view should change, or nothing.
func (c *core) reconfigurationReason() string {
	if !c.reachesMajority() {
		return ""
	}
	if c.acceptor.Wedged() {
		if c.now-c.proposer.wedgedSince > wedgedTimeout {
			return "wedged"
		}
		return ""
	}
	_, chain, possible := c.planMembers(c.expectedSource(), c.acceptor.View.Chain)
	if !possible {
		return "" // promises would wedge their members for nothing
	}
	if suspected, broken := c.suspectedMembers(); broken {
		return "silent member"
	} else if suspected {
		return "" // a view of this member's would leave out one that the chain has a use for
	}
	for _, m := range c.acceptor.View.Chain {
		if c.isLeaving(m) && view.Index(chain, m) < 0 {
			return "leaving member"
		}
	}
	voters := c.planVoters()
	if !view.SameMembers(voters, c.acceptor.View.Voters) {
		return "voters"
	}
	for _, m := range voters {
		if !c.acceptor.View.InChain(m) && c.mayJoinChain(m) {
			return "returned member"
		}
	}
	return ""
}

// silentMembers reports whether members of the chain are silent here, and whether that breaks the chain.
func (c *core) suspectedMembers() (suspected, broken bool) {
	for _, m := range c.acceptor.View.Chain {
		if c.alive(m) {
			continue
		}
		suspected = true
		broken = broken || c.adjacent(m) || !c.reachableFromChain(m)
	}
	return suspected, broken
}

// adjacent reports whether m is this member's neighbour in the chain.
func (c *core) adjacent(m view.Member) bool {
	predecessor, successor := c.acceptor.View.Adjacent(c.self)
	return predecessor.Same(m) || successor.Same(m)
}

// heardByChain reports whether a member of the chain that is in touch with this one hears m. Then only
// the link between m and this member is broken, which the chain doesn't use.
func (c *core) reachableFromChain(m view.Member) bool {
	for _, other := range c.acceptor.View.Chain {
		if other.Same(c.self) || other.Same(m) || !c.alive(other) {
			continue
		}
		if p := c.peers[other.ID()]; p != nil && p.reachable && p.reaches[m.ID()] {
			return true
		}
	}
	return false
}

// mayJoinChain reports whether m is in touch with this member and with all of the chain.
func (c *core) mayJoinChain(m view.Member) bool {
	if !c.reachable(m) || c.isLeaving(m) {
		return false
	}
	for _, other := range c.acceptor.View.Chain {
		if other.Same(c.self) || other.Same(m) {
			continue
		}
		p := c.peers[other.ID()]
		if p == nil || !c.alive(other) {
			continue
		}
		if !p.reaches[m.ID()] && c.acceptor.View.IsVoter(m) {
			return false
		}
	}
	return true
}

// candidates returns the machines with a disk that ask to become voters.
func (c *core) candidates() []view.Member {
	var members []view.Member
	for _, p := range c.peers {
		if p.candidate && !c.acceptor.View.IsVoter(p.member) && !p.leaving && c.reachable(p.member) {
			members = append(members, p.member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID() < members[j].ID() })
	return members
}

// planner tells what this member sees of the machines.
func (c *core) planner() view.Planner {
	return view.Planner{
		Current:        c.acceptor.View,
		Tolerance:      c.tolerance,
		Candidates:     c.candidates(),
		ResolveNode:    c.withKnownName,
		Alive:          c.alive,
		Leaving:        c.isLeaving,
		MayJoin:        c.mayJoinChain,
		UnreachableFor: func(m view.Member) time.Duration { return max(c.sinceContact(m)-replacementTimeout, 0) },
	}
}

// planVoters returns the voters that the next view should have.
func (c *core) planVoters() []view.Member {
	planner := c.planner()
	return planner.Voters(c.knownComplete() > c.tolerance)
}

// knownWhole is the number of members of the chain that this one knows to be whole.
func (c *core) knownComplete() int {
	if !c.serving() || !c.replication.prefixComplete {
		return 0
	}
	known := view.Index(c.acceptor.View.Chain, c.self) + 1
	if c.replication.successorComplete {
		known++
	}
	return known
}

// knownAs returns m with the name that heartbeats brought.
func (c *core) withKnownName(m view.Member) view.Member {
	if p := c.peers[m.ID()]; p != nil {
		return p.member
	}
	return m
}

// likelySource is the source that the promises would give, as far as this member can tell.
func (c *core) expectedSource() view.Member {
	for _, m := range c.acceptor.View.Chain {
		if c.alive(m) && !c.isLeaving(m) {
			return m
		}
	}
	return c.self
}

// isStaying reports whether m makes a good source.
func (c *core) isStaying(m view.Member) bool { return !c.isLeaving(m) }

// plan makes the members of the next view for the source that the promises gave.
func (c *core) planMembers(source view.Member, holders []view.Member) (voters, members []view.Member, ok bool) {
	planner := c.planner()
	voters, members, ok = planner.Plan(source, holders)
	return c.withNames(voters), c.withNames(members), ok
}

// named fills in the names that heartbeats brought.
func (c *core) withNames(members []view.Member) []view.Member {
	for i := range members {
		if members[i].Same(c.self) {
			members[i].Node = c.self.Node
		} else if p := c.peers[members[i].ID()]; p != nil && p.member.Node != "" {
			members[i].Node = p.member.Node
		}
	}
	return members
}
