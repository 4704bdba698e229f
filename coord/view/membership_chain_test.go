package view

import "fmt"

// chainMessage is a message in flight with a part of the log or a copy of the prefix. It may be delivered any
// number of times, or be lost.
type chainMessage struct {
	from, to Member
	epoch    uint64
	isCopy   bool
	log      []modelCommand
}

// addChain adds the actions that machine i, n, can take as a member of the chain.
func (s *membershipState) addChain(actions []membershipAction, i int, n *membershipNode) []membershipAction {
	if !n.serving() {
		return actions
	}
	v, name := n.acceptor.View, n.self().ID()
	_, successor := v.Adjacent(n.self())
	if v.Head().Same(n.self()) && s.commands < s.config.commands {
		run := func(s *membershipState) { s.appendCommand(s.nodes[i]) }
		actions = append(actions, named(run, "%s appends a command", name))
	}
	if successor.IsZero() && n.prefixComplete && s.chainLongEnough(v) && len(n.log) > len(s.commits) {
		actions = append(actions, named(func(s *membershipState) { s.commit(s.nodes[i]) }, "%s commits", name))
	}
	if !successor.IsZero() && n.prefixComplete && s.lags(successor, n) {
		message := chainMessage{from: n.self(), to: successor, epoch: v.Epoch, log: n.log}
		actions = append(actions, named(func(s *membershipState) { s.send(message) }, "%s forwards", name))
	}
	if !v.Source.Same(n.self()) {
		return actions
	}
	for _, m := range v.Chain {
		if to := s.at(m); to != nil && to.synced != v.Epoch && to.epoch() == v.Epoch && !to.acceptor.Wedged() {
			message := chainMessage{from: n.self(), to: m, epoch: v.Epoch, isCopy: true, log: n.prefix()}
			run := func(s *membershipState) { s.send(message) }
			actions = append(actions, named(run, "%s copies to %s", name, m.ID()))
		}
	}
	return actions
}

// chainLongEnough reports whether a chain has more members than disks may be lost, by the same rule as
// coord/replica.
func (s *membershipState) chainLongEnough(v View) bool {
	if s.config.shortAcks {
		return len(v.Chain) >= s.config.tolerance
	}
	return len(v.Chain) > s.config.tolerance
}

// lags reports whether the successor may need a message from n.
func (s *membershipState) lags(successor Member, n *membershipNode) bool {
	to := s.at(successor)
	return to != nil && to.epoch() == n.epoch() && to.serving() && (len(to.log) < len(n.log) || !to.prefixComplete)
}

// prefix returns the log without the commands of the node's current epoch.
func (n *membershipNode) prefix() []modelCommand {
	end := len(n.log)
	for end > 0 && n.log[end-1].epoch == n.epoch() {
		end--
	}
	return n.log[:end:end]
}

// appendCommand appends a new command to the log of n, the head.
func (s *membershipState) appendCommand(n *membershipNode) {
	s.commands++
	n.log = append(n.log[:len(n.log):len(n.log)], modelCommand{epoch: n.epoch(), name: byte('0' + s.commands)})
}

// commit acknowledges all commands in the log of n, the tail. It checks that they agree with the commands that
// were acknowledged before, and that enough disks hold them.
func (s *membershipState) commit(n *membershipNode) {
	for i, command := range n.log {
		if i < len(s.commits) {
			if s.commits[i] != command {
				s.violation = fmt.Sprintf("two different commands committed at index %d", i)
			}
			continue
		}
		s.commits = append(s.commits, command)
		s.commitEpochs = append(s.commitEpochs, n.epoch())
	}
	copies := 0
	for _, other := range s.nodes {
		if holdsAll(other.log, s.commits) {
			copies++
		}
	}
	if copies <= s.config.tolerance-s.lossesUnrepaired {
		s.violation = fmt.Sprintf("a command is acknowledged on %d disks after %d losses", copies, s.lossesUnrepaired)
	}
}

// holdsAll reports whether a log begins with all acknowledged commands.
func holdsAll(log, commits []modelCommand) bool {
	if len(log) < len(commits) {
		return false
	}
	for i, command := range commits {
		if log[i] != command {
			return false
		}
	}
	return true
}

// send adds a message to the messages in flight, or drops it if the bound is reached. If the bound is 0, the
// message is received at once.
func (s *membershipState) send(m chainMessage) {
	if s.config.inFlight == 0 {
		s.receive(m)
	} else if len(s.messages) < s.config.inFlight {
		s.messages = append(s.messages, m)
	}
}

func (s *membershipState) drop(i int) {
	s.messages = append(s.messages[:i:i], s.messages[i+1:]...)
}

// receive handles a part of the log or a copy of the prefix, as coord/replica does.
func (s *membershipState) receive(m chainMessage) {
	n := s.at(m.to)
	if n == nil || m.epoch != n.epoch() || n.acceptor.Wedged() || !n.acceptor.View.InChain(n.self()) {
		return
	}
	if m.isCopy {
		s.receiveCopy(n, m)
		return
	}
	predecessor, _ := n.acceptor.View.Adjacent(n.self())
	if !n.serving() || !predecessor.Same(m.from) {
		return
	}
	n.prefixComplete = true
	if len(m.log) > len(n.log) {
		n.log = m.log[:len(m.log):len(m.log)]
	}
}

// receiveCopy handles a copy of the prefix, which replaces the log in one durable step.
func (s *membershipState) receiveCopy(n *membershipNode, m chainMessage) {
	if n.synced == m.epoch {
		return
	}
	if s.config.syncedEarly {
		n.synced = m.epoch
	}
	if s.config.copiesInPieces && !n.partialCopy {
		n.partialCopy = true
		return
	}
	n.log, n.synced, n.partialCopy = m.log, m.epoch, false
	n.prefixComplete = n.acceptor.View.Head().Same(n.self())
}
