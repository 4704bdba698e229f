package view

import (
	"fmt"
	"math/bits"
)

// unrecoverableLoss describes permitted losses from which the state can't recover. It returns an empty string if
// there are none.
func (s *membershipState) unrecoverableLoss() string {
	if problem := s.recoveryProblem(0); problem != "" {
		return "with all machines up: " + problem
	}
	for without := 1; without < 1<<len(s.nodes); without++ {
		if bits.OnesCount(uint(without)) != s.lossesPermitted {
			continue
		}
		if problem := s.recoveryProblem(without); problem != "" {
			return fmt.Sprintf("without %s: %s", s.machineNames(without), problem)
		}
	}
	return ""
}

func (s *membershipState) machineNames(set int) string {
	var members []Member
	for i, n := range s.nodes {
		if set>>i&1 == 1 {
			members = append(members, n.self())
		}
	}
	return memberNames(members)
}

// recoveryProblem simulates recovery without the machines of a set, with all others up and in contact. It
// returns the reason why no view serves with all acknowledged commands, or an empty string if one does. The
// excluded machines aren't used at all, so the result is the same as if their disks were lost.
func (s *membershipState) recoveryProblem(without int) string {
	c := s.clone()
	c.messages = nil
	var up []*membershipNode
	for i, n := range c.nodes {
		if without>>i&1 == 0 {
			c.restart(n)
			up = append(up, n)
		}
	}
	for range 8 {
		v := c.shareNewestView(up)
		if v.Epoch == 0 {
			return "no machine knows a view"
		}
		if c.serves(v, up) {
			return c.missingCommit(v)
		}
		if problem := c.advance(v, up); problem != "" {
			return problem
		}
	}
	return "no view serves after eight attempts"
}

// shareNewestView makes all machines that are up adopt the newest view that any of them knows, and returns it.
func (s *membershipState) shareNewestView(up []*membershipNode) View {
	var newest View
	for _, n := range up {
		if n.epoch() > newest.Epoch {
			newest = n.acceptor.View
		}
	}
	for _, n := range up {
		s.adopt(n, newest)
	}
	return newest
}

// serves reports whether a view accepts commands. If so, it lets the members of the chain copy the source's
// prefix.
func (s *membershipState) serves(v View, up []*membershipNode) bool {
	if !s.chainLongEnough(v) {
		return false
	}
	for _, m := range v.Chain {
		if n := s.at(m); n == nil || !isUp(n, up) || n.acceptor.Wedged() {
			return false
		}
	}
	source := s.at(v.Source)
	for _, m := range v.Chain {
		for range 2 {
			s.receive(chainMessage{from: v.Source, to: m, epoch: v.Epoch, isCopy: true, log: source.prefix()})
		}
	}
	return true
}

func isUp(n *membershipNode, up []*membershipNode) bool {
	for _, other := range up {
		if n == other {
			return true
		}
	}
	return false
}

// missingCommit describes a member of the chain that serves without a command acknowledged in an earlier epoch.
// It returns an empty string if there is none.
func (s *membershipState) missingCommit(v View) string {
	for _, m := range v.Chain {
		if n := s.at(m); !holdsAll(n.log, s.commits) && n.serving() && !s.inFlightIn(v) {
			return fmt.Sprintf("%s serves in %s without an acknowledged command", m.ID(), viewText(&v))
		}
	}
	return ""
}

// inFlightIn reports whether commands were acknowledged in the view itself. The chain's messages deliver these
// commands.
func (s *membershipState) inFlightIn(v View) bool {
	return len(s.commits) > 0 && s.commitEpochs[len(s.commits)-1] == v.Epoch
}

// advance makes one attempt with all machines that are up. It returns the reason why the attempt led to no view,
// or an empty string.
func (s *membershipState) advance(v View, up []*membershipNode) string {
	a := &viewAttempt{current: &v, number: s.nextNumber(v.Epoch)}
	observed := observation{mayJoin: true}
	for _, n := range up {
		observed.alive = append(observed.alive, n.self())
		if v.IsVoter(n.self()) {
			a.responders = append(a.responders, n.self())
		} else {
			observed.candidates = append(observed.candidates, n.self())
		}
	}
	for _, m := range v.Voters {
		if Index(observed.alive, m) < 0 {
			observed.unreachable = append(observed.unreachable, m)
		}
	}
	if len(a.responders) < v.Majority() {
		return fmt.Sprintf("no majority left of %v", v.Voters)
	}
	value := s.choose(s.propose(a), observed)
	if value == nil {
		return fmt.Sprintf("the responses of %s give no view after %s", memberNames(a.responders), viewText(&v))
	}
	s.attempt(a, value, a.responders)
	for _, n := range up {
		s.adopt(n, *value)
	}
	return s.violation
}
