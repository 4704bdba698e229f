package view

import "fmt"

// serving reports whether a member takes part in the chain: coord/replica has the same rule.
func (n *agreementNode) serving() bool {
	return n.acceptor.View.InChain(n.acceptor.Self) && n.synced == n.acceptor.View.Epoch && !n.acceptor.Wedged()
}

// prefix returns the log without the commands of the node's own epoch.
func (n *agreementNode) prefix() []modelCommand {
	end := len(n.log)
	for end > 0 && n.log[end-1].epoch == n.acceptor.View.Epoch {
		end--
	}
	return n.log[:end:end]
}

// appendCommand lets the head take a command.
func (s *agreementState) appendCommand(n *agreementNode) {
	s.commands++
	command := modelCommand{epoch: n.acceptor.View.Epoch, name: byte('0' + s.commands)}
	n.log = append(n.log[:len(n.log):len(n.log)], command) // other states share the backing array
}

// uncommitted reports whether a node's log has commands that weren't acknowledged.
func (s *agreementState) uncommitted(n *agreementNode) bool { return len(n.log) > len(s.commits) }

// commit lets the tail acknowledge all of its log.
func (s *agreementState) commit(n *agreementNode) {
	for i, command := range n.log {
		if i < len(s.commits) {
			if s.commits[i].command != command {
				s.violation = fmt.Sprintf("two commands committed at %d", i)
			}
			continue
		}
		s.commits = append(s.commits, modelCommit{command: command, epoch: n.acceptor.View.Epoch})
	}
}
