package view

import (
	"slices"
	"time"
)

// MinimumVoters is the smallest number of voters that tolerates the failure of one. With two voters, a majority
// needs both.
const MinimumVoters = 3

// TargetVoters returns the number of voters needed so that a majority remains after the loss of tolerance
// disks.
func TargetVoters(tolerance int) int { return max(2*tolerance+1, MinimumVoters) }

// Planner computes the members of the next view from what the proposer observes of the machines. Its choice
// affects availability only: the voters of the current view agree on what is proposed, and ChooseSource ensures
// that it is safe.
type Planner struct {
	Current    View
	Tolerance  int      // number of disks whose loss the system must tolerate
	Candidates []Member // machines with a disk that ask to become voters, in the same order at each call

	// ResolveNode returns the member with Node set to the name of its machine, if the name is known.
	ResolveNode func(Member) Member
	// Alive reports whether the proposer considers the member alive, that is, doesn't suspect it of failure.
	Alive func(Member) bool
	// Leaving reports whether the member is about to shut down as planned.
	Leaving func(Member) bool
	// MayJoin reports whether the member is in contact with the proposer and with the whole chain.
	MayJoin func(Member) bool
	// UnreachableFor returns by how much the time since the last contact with a voter exceeds the tolerated
	// time, or zero if it doesn't.
	UnreachableFor func(Member) time.Duration
}

// Voters returns the voters that the next view should have. A candidate replaces an earlier incarnation of its
// disk, whose vote is lost in any case. It replaces a voter that is only unreachable or leaving if replace is
// set, that is, if the disks of those voters aren't needed. A candidate that replaces no voter is added as long
// as there are fewer voters than TargetVoters.
func (p *Planner) Voters(replace bool) []Member {
	voters := append([]Member(nil), p.Current.Voters...)
	target := TargetVoters(p.Tolerance)
	for _, candidate := range p.Candidates {
		position := p.previousIncarnation(voters, candidate)
		if position < 0 && replace {
			position = p.longestUnreachable(voters)
		}
		if position < 0 && replace {
			position = slices.IndexFunc(voters, p.Leaving)
		}
		if position >= 0 {
			voters[position] = candidate
		} else if len(voters) < target {
			voters = append(voters, candidate)
		}
	}
	for replace && len(voters) > target {
		position := p.longestUnreachable(voters)
		if position < 0 {
			break
		}
		voters = slices.Delete(voters, position, position+1)
	}
	return voters
}

// previousIncarnation returns the position of the voter that was an earlier incarnation of a candidate's disk
// or machine, or -1. A machine that came back at another address is recognised by its name, once the member at
// the old address is no longer alive.
func (p *Planner) previousIncarnation(voters []Member, candidate Member) int {
	for i, m := range voters {
		known := p.ResolveNode(m)
		if m.Address == candidate.Address || known.Node != "" && known.Node == candidate.Node && !p.Alive(m) {
			return i
		}
	}
	return -1
}

// longestUnreachable returns the position of the voter of the current view with the highest positive
// UnreachableFor, or -1 if there is none.
func (p *Planner) longestUnreachable(voters []Member) int {
	position, longest := -1, time.Duration(0)
	for i, m := range voters {
		if !p.Current.IsVoter(m) {
			continue
		}
		if unreachable := p.UnreachableFor(m); unreachable > longest {
			position, longest = i, unreachable
		}
	}
	return position
}

// Plan returns the voters and the chain of the next view for the source that ChooseSource selected; synced
// lists the responders whose logs hold every command that may have been committed. It is a PlanFunc.
//
// An unreachable or leaving voter keeps its vote until more members than disks may be lost hold everything
// without it, because its disk may be needed after the next loss. The source keeps its vote as well. The loss
// of a whole chain would leave no log that shows what the chain committed. So Plan returns no plan with a chain
// of only Tolerance members if there are TargetVoters voters or more.
func (p *Planner) Plan(source Member, synced []Member) (voters, chain []Member, ok bool) {
	voters = p.Voters(true)
	if countCommon(voters, synced) <= p.Tolerance || Index(voters, source) < 0 {
		voters = p.Voters(false)
	}
	if Index(voters, source) < 0 {
		return nil, nil, false
	}
	chain = p.nextChain(voters, source)
	if len(chain) <= p.Tolerance {
		chain = p.lengthenChain(chain, voters)
	}
	return voters, chain, len(chain) > p.Tolerance || len(voters) < TargetVoters(p.Tolerance)
}

// nextChain returns the chain of the next view: the members that stay, in their present order, followed by the
// members that join, which have the most to copy.
func (p *Planner) nextChain(voters []Member, source Member) []Member {
	var chain []Member
	for _, m := range p.Current.Chain {
		if m.Same(source) || Index(voters, m) >= 0 && p.Alive(m) && !p.Leaving(m) {
			chain = append(chain, m)
		}
	}
	if Index(chain, source) < 0 {
		chain = append(chain, source)
	}
	for _, m := range voters {
		if Index(chain, m) < 0 && p.MayJoin(m) {
			chain = append(chain, m)
		}
	}
	return chain
}

// lengthenChain adds voters to a chain that is too short: first live voters that stay, then live voters that
// are about to leave, which must wait until the others no longer need them.
func (p *Planner) lengthenChain(chain, voters []Member) []Member {
	for _, leaving := range []bool{false, true} {
		for _, m := range voters {
			if len(chain) <= p.Tolerance && Index(chain, m) < 0 && p.Alive(m) && p.Leaving(m) == leaving {
				chain = append(chain, m)
			}
		}
	}
	return chain
}
