package replica

import (
	"slices"
	"strings"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// Reasons to propose another view, also logged as the reason of the event view_proposed.
const (
	reasonWedged    = "wedged"           // the proposer that wedged this member may have failed
	reasonSuspected = "suspected member" // a suspected member breaks the chain
	reasonLeaving   = "leaving member"   // a chain member is in a planned departure
	reasonVoters    = "voters"           // the set of voters should change
	reasonReturned  = "returned member"  // a voter outside of the chain may join it
)

// reconfigurationReason returns the reason for which the view should change, or "" if there is none.
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
		return "" // a view proposed by this member would exclude a member that the chain can still use
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

// suspectedMembers reports whether this member suspects members of the chain, and whether the chain is broken by
// them: it is broken by a suspected neighbour of this member, and by a suspected member that no other member of
// the chain reaches.
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

// reachableFromChain reports whether another member of the chain reaches m. If so, only the link between m and
// this member has failed, which the chain doesn't use unless the two are neighbours.
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

// mayJoinChain reports whether m isn't leaving and is reachable from this member and, according to the heartbeats,
// from all other members of the chain that are alive. Heartbeats list voters only, so if m isn't a voter, only
// this member's own link counts.
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

// planner returns a planner of the next view, based on this member's knowledge of the machines.
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

// planVoters returns the voters that the next view should have. Voters are replaced only while more than tolerance
// members are known to have the complete prefix, because otherwise the disk of an absent voter may be needed after
// the next loss.
func (c *core) planVoters() []view.Member {
	planner := c.planner()
	return planner.Voters(c.knownComplete() > c.tolerance)
}

// knownComplete returns the number of chain members that this member knows to have the complete prefix: its
// predecessors and itself, and the successor if it has reported so.
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

// withKnownName returns m with the name of its node, if this member knows it.
func (c *core) withKnownName(m view.Member) view.Member {
	if p := c.peers[m.ID()]; p != nil {
		return p.member
	}
	return m
}

// expectedSource returns this member's estimate of the source that prepare responses would determine: the first
// chain member that is alive and isn't leaving, or this member if there is none.
func (c *core) expectedSource() view.Member {
	for _, m := range c.acceptor.View.Chain {
		if c.alive(m) && !c.isLeaving(m) {
			return m
		}
	}
	return c.self
}

// isStaying reports whether m isn't leaving. Members that stay are preferred as the source of a view.
func (c *core) isStaying(m view.Member) bool { return !c.isLeaving(m) }

// planMembers returns the voters and the chain of the next view. The source and the holders of its log were
// determined from the prepare responses.
func (c *core) planMembers(source view.Member, holders []view.Member) (voters, members []view.Member, ok bool) {
	planner := c.planner()
	voters, members, ok = planner.Plan(source, holders)
	return c.withNames(voters), c.withNames(members), ok
}

// withNames fills in the known names of the members' nodes, in place.
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
