package view

import "fmt"

// toleratesLoss reports whether the system must tolerate the loss of Tolerance disks together with a loss of
// power of all machines. That is so if the newest view is decided and none of its voters is wedged in it, it has
// TargetVoters voters, each with the disk that it votes with, and Tolerance+1 members of its chain are synced in
// its epoch.
func (s *membershipState) toleratesLoss() bool {
	v := s.newest()
	if len(v.Voters) < TargetVoters(s.config.tolerance) {
		return false
	}
	syncedMembers := 0
	for _, m := range v.Voters {
		n := s.at(m)
		if n == nil || n.epoch() == v.Epoch && n.acceptor.Wedged() {
			return false
		}
		if v.InChain(m) && n.epoch() == v.Epoch && n.synced == v.Epoch {
			syncedMembers++
		}
	}
	return syncedMembers > s.config.tolerance
}

// permitLossesAfterRepair permits new losses once the earlier losses are repaired.
func (s *membershipState) permitLossesAfterRepair() {
	if s.toleratesLoss() {
		s.lossesPermitted, s.lossesUnrepaired = s.config.tolerance, 0
	}
}

// addFaults adds the faults that may happen to machine i, n.
func (s *membershipState) addFaults(actions []membershipAction, i int, n *membershipNode) []membershipAction {
	name := n.self().ID()
	if s.restarts < s.config.restarts && (n.prefixComplete || n.partialCopy || n.leaving) {
		run := func(s *membershipState) { s.restarts++; s.restart(s.nodes[i]) }
		actions = append(actions, named(run, "%s restarts", name))
	}
	if s.leaves < s.config.leaves && !n.leaving && s.newest().InChain(n.self()) {
		run := func(s *membershipState) { s.leaves++; s.nodes[i].leaving = true }
		actions = append(actions, named(run, "%s is leaving", name))
	}
	if n.epoch() == 0 || s.losses == s.config.losses {
		return actions // an empty machine has nothing to lose
	}
	if s.lossesPermitted > 0 || s.mayRemoveDiskEarly(n) {
		actions = append(actions, named(func(s *membershipState) { s.loseDisk(i, false) }, "%s loses its disk", name))
		if s.config.newAddresses {
			run := func(s *membershipState) { s.loseDisk(i, true) }
			actions = append(actions, named(run, "%s is replaced elsewhere", name))
		}
	}
	return actions
}

// mayRemoveDiskEarly reports whether the disk of a leaving machine may be removed although no loss is permitted,
// which is the injected bug removesDiskEarly.
func (s *membershipState) mayRemoveDiskEarly(n *membershipNode) bool {
	return s.config.removesDiskEarly && n.leaving && n.acceptor.Accepted != nil && !n.acceptor.Accepted.InChain(n.self())
}

// restart restarts a machine, which loses its volatile state.
func (s *membershipState) restart(n *membershipNode) {
	n.partialCopy, n.leaving = false, false
	n.prefixComplete = n.serving() && n.acceptor.View.Head().Same(n.self())
}

// cutPower restarts all machines and loses all messages.
func (s *membershipState) cutPower() {
	s.powerCuts++
	s.messages = nil
	for _, n := range s.nodes {
		s.restart(n)
	}
}

// loseDisk replaces machine i by an empty machine at the same address or, if elsewhere is set, at another
// address.
func (s *membershipState) loseDisk(i int, elsewhere bool) {
	n := s.nodes[i]
	s.losses++
	s.lossesUnrepaired++
	if s.lossesPermitted > 0 && !s.mayRemoveDiskEarly(n) {
		s.lossesPermitted--
	}
	self := n.self()
	next := &membershipNode{incarnations: n.incarnations + 1}
	next.acceptor.Self = Member{Node: self.Node, Address: self.Address, Incarnation: fmt.Sprint(n.incarnations + 1)}
	if elsewhere {
		next.acceptor.Self.Address = string(rune(self.Node[0]) - 32)
	}
	if s.config.wipedVotes {
		next.acceptor.Self = self
		next.acceptor.DurableState = DurableState{View: Genesis(modelSeeds)}
		next.synced = GenesisEpoch
	}
	s.nodes[i] = next
}
