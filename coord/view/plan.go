package view

import (
	"slices"
	"time"
)

// MinimumVoters is the smallest set of voters that is worth a majority.
const MinimumVoters = 3

// TargetVoters is the number of voters that the losses to be borne ask for.
func TargetVoters(tolerance int) int { return max(2*tolerance+1, MinimumVoters) }

// Planner makes the members of the next view from what its proposer sees of the machines. It decides
// nothing: whatever it proposes is agreed on, or not, by the voters of the present view.
type Planner struct {
	Current    View
	Tolerance  int
	Candidates []Member // machines with a disk that ask to become voters, the same order at each call

	ResolveNode    func(Member) Member        // with the name of its machine, where it was heard of
	Alive          func(Member) bool          // not silent long enough to be suspected
	Leaving        func(Member) bool          // about to end as planned
	MayJoin        func(Member) bool          // in touch with the proposer and with the whole chain
	UnreachableFor func(Member) time.Duration // how long a voter is silent beyond what is put up with; zero: not so long
}

// Voters returns the voters that the next view should have. Earlier lives of the candidates' disks are
// always replaced; voters that are only absent, or about to leave, where their disks aren't needed.
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
		voters = append(voters[:position], voters[position+1:]...)
	}
	return voters
}

// earlierLife returns the voter that was an earlier life of a candidate's disk or machine.
func (p *Planner) previousIncarnation(voters []Member, candidate Member) int {
	for i, m := range voters {
		known := p.ResolveNode(m)
		if m.Address == candidate.Address || known.Node != "" && known.Node == candidate.Node && !p.Alive(m) {
			return i
		}
	}
	return -1
}

func (p *Planner) longestUnreachable(voters []Member) int {
	position, longest := -1, time.Duration(0)
	for i, m := range voters {
		if !p.Current.IsVoter(m) {
			continue
		}
		if absent := p.UnreachableFor(m); absent > longest {
			position, longest = i, absent
		}
	}
	return position
}

// Plan returns the voters and the chain of the next view for the source that the promises gave.
//
// A voter that is absent keeps its vote until more members than may be lost hold everything without it:
// its disk may be the one that the next loss asks for. So does one that leaves, and the source. And a chain that the losses to be borne can take
// away whole would leave nobody who can tell what it committed: there is no plan with one while there are
// voters enough to ask for more.
func (p *Planner) Plan(source Member, holders []Member) (voters, chain []Member, ok bool) {
	voters = p.Voters(true)
	if countCommon(voters, holders) <= p.Tolerance || Index(voters, source) < 0 {
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

func countCommon(a, b []Member) int {
	count := 0
	for _, m := range a {
		if Index(b, m) >= 0 {
			count++
		}
	}
	return count
}

// chain puts those that stay before those that return.
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

// lengthened adds voters to a chain that is too short: those that are heard, and then those about to
// leave, which have to wait until others can do without them.
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
