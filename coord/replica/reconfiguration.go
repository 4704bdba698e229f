package replica

import (
	"slices"
	"strings"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// Reasons to propose another view, also logged as the reason of the event view_proposed.
const (
	reasonWedged    = "wedged"           // a proposer that has begun may have failed
	reasonSuspected = "suspected member" // a suspected member breaks the chain
	reasonLeaving   = "leaving member"   // a member departs as planned
	reasonVoters    = "voters"           // a spare or a replacement gets a vote
	reasonReturned  = "returned member"  // a voter may join the chain
)

// reconfigurationReason returns why the view should change, or "".
func (c *core) reconfigurationReason() string {
	if !c.reachesMajority() {
		return "" // no view can be decided
	}
	if c.acceptor.Wedged() {
		if c.now-c.proposer.wedgedSince > wedgedTimeout {
			return reasonWedged
		}
		return ""
	}
	_, nextChain, possible := c.planMembers(c.expectedSource(), c.acceptor.View.Chain)
	if !possible {
		return "" // a prepare would wedge the members for nothing
	}
	if suspected, broken := c.suspectedMembers(); broken {
		return reasonSuspected
	} else if suspected {
		return "" // this member's view would leave out one that the chain can still use
	}
	for _, m := range c.acceptor.View.Chain {
		if c.isLeaving(m) && view.Index(nextChain, m) < 0 {
			return reasonLeaving
		}
	}
	voters := c.planVoters()
	if !view.SameMembers(voters, c.acceptor.View.Voters) {
		return reasonVoters
	}
	for _, m := range voters {
		if !c.acceptor.View.InChain(m) && c.mayJoinChain(m) {
			return reasonReturned
		}
	}
	return ""
}

// reachesMajority reports whether a majority of the voters is alive and reachable, this member included.
func (c *core) reachesMajority() bool {
	count := 0
	for _, m := range c.acceptor.View.Voters {
		if m.Same(c.self) || c.contact(m) != nil {
			count++
		}
	}
	return count >= c.acceptor.View.Majority()
}

// suspectedMembers reports whether this member suspects members of the chain, and whether that breaks the
// chain: a suspected neighbour does, and so does a member that no other member of the chain reaches.
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

// reachableFromChain reports whether another member of the chain reaches m. Then only the link between m and
// this member is broken, which the chain doesn't use.
func (c *core) reachableFromChain(m view.Member) bool {
	for _, other := range c.acceptor.View.Chain {
		if other.Same(c.self) || other.Same(m) {
			continue
		}
		if p := c.contact(other); p != nil && p.reaches[m.ID()] {
			return true
		}
	}
	return false
}

// mayJoinChain reports whether m is reachable from this member and, as far as heartbeats tell, from the whole
// chain.
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

// candidates returns the machines with a disk that ask to become voters, ordered by ID.
func (c *core) candidates() []view.Member {
	var members []view.Member
	for _, p := range c.peers {
		if p.candidate && !c.acceptor.View.IsVoter(p.member) && !p.leaving && c.reachable(p.member) {
			members = append(members, p.member)
		}
	}
	slices.SortFunc(members, func(a, b view.Member) int { return strings.Compare(a.ID(), b.ID()) })
	return members
}

// planner returns a planner of the next view with what this member knows of the machines.
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

// planVoters returns the voters that the next view should have. Voters are replaced only while enough members
// are known to have the complete prefix: the disk of an absent voter may be the one that the next loss makes
// necessary.
func (c *core) planVoters() []view.Member {
	planner := c.planner()
	return planner.Voters(c.knownComplete() > c.tolerance)
}

// knownComplete returns the number of chain members that this one knows to have the complete prefix: its
// predecessors and itself, and the successor if it said so.
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

// withKnownName returns m with the node's name, if a heartbeat has brought it.
func (c *core) withKnownName(m view.Member) view.Member {
	if p := c.peers[m.ID()]; p != nil {
		return p.member
	}
	return m
}

// expectedSource returns the source that the prepare responses would give, as far as this member can tell.
func (c *core) expectedSource() view.Member {
	for _, m := range c.acceptor.View.Chain {
		if c.alive(m) && !c.isLeaving(m) {
			return m
		}
	}
	return c.self
}

// isStaying reports whether m is preferred as a source.
func (c *core) isStaying(m view.Member) bool { return !c.isLeaving(m) }

// planMembers returns the voters and the chain of the next view for the source that the prepare responses
// gave.
func (c *core) planMembers(source view.Member, holders []view.Member) (voters, members []view.Member, ok bool) {
	planner := c.planner()
	voters, members, ok = planner.Plan(source, holders)
	return c.withNames(voters), c.withNames(members), ok
}

// withNames fills in the names of nodes that heartbeats have brought, in place.
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
