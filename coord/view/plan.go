package view

import "time"

// MinimumVoters is the smallest set of voters that is worth a majority.
const MinimumVoters = 3

// TargetVoters is the number of voters that the losses to be borne ask for.
func TargetVoters(tolerance int) int { return max(2*tolerance+1, MinimumVoters) }

// Planner makes the members of the next view from what its proposer sees of the machines. It decides
// nothing: whatever it proposes is agreed on, or not, by the voters of the present view.
type Planner struct {
	Present    View
	Tolerance  int
	Candidates []Member // machines with a disk that ask to become voters, the same order at each call

	Known   func(Member) Member        // with the name of its machine, where it was heard of
	Heard   func(Member) bool          // not silent long enough to be suspected
	Leaving func(Member) bool          // about to end as planned
	MayJoin func(Member) bool          // in touch with the proposer and with the whole chain
	Absent  func(Member) time.Duration // how long a voter is silent beyond what is put up with; zero: not so long
}

// Voters returns the voters that the next view should have.
func (p *Planner) Voters() []Member {
	voters := append([]Member(nil), p.Present.Voters...)
	target := TargetVoters(p.Tolerance)
	for _, candidate := range p.Candidates {
		if position := p.replaceable(voters, candidate); position >= 0 {
			voters[position] = candidate
		} else if len(voters) < target {
			voters = append(voters, candidate)
		}
	}
	for len(voters) > target {
		position := p.longestAbsent(voters)
		if position < 0 {
			break
		}
		voters = append(voters[:position], voters[position+1:]...)
	}
	return voters
}

// replaceable returns the voter whose place a candidate takes: an earlier life of its disk or its
// machine, else one that has been silent for long.
func (p *Planner) replaceable(voters []Member, candidate Member) int {
	for i, m := range voters {
		known := p.Known(m)
		if m.Address == candidate.Address || known.Node != "" && known.Node == candidate.Node && !p.Heard(m) {
			return i
		}
	}
	return p.longestAbsent(voters)
}

func (p *Planner) longestAbsent(voters []Member) int {
	position, longest := -1, time.Duration(0)
	for i, m := range voters {
		if !p.Present.IsVoter(m) {
			continue
		}
		if absent := p.Absent(m); absent > longest {
			position, longest = i, absent
		}
	}
	return position
}

// Plan returns the voters and the chain of the next view for the source that the promises gave.
func (p *Planner) Plan(source Member) (voters, chain []Member, ok bool) {
	voters = p.Voters()
	if Index(voters, source) < 0 {
		return nil, nil, false
	}
	for _, m := range p.Present.Chain {
		if m.Same(source) || Index(voters, m) >= 0 && p.Heard(m) && !p.Leaving(m) {
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
	return voters, chain, true
}
