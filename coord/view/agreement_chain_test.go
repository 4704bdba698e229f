package view

import "fmt"

// serving reports whether the node takes part in the chain of its view, by the same rule as coord/replica.
func (n *agreementNode) serving() bool {
	return n.acceptor.View.InChain(n.acceptor.Self) && n.synced == n.acceptor.View.Epoch && !n.acceptor.Wedged()
}

// prefix returns the log without the commands of the node's current epoch.
func (n *agreementNode) prefix() []modelCommand {
	end := len(n.log)
	for end > 0 && n.log[end-1].epoch == n.acceptor.View.Epoch {
		end--
	}
	return n.log[:end:end]
}

// appendCommand appends a new command to the log of n, the head.
func (s *agreementState) appendCommand(n *agreementNode) {
	s.commands++
	command := modelCommand{epoch: n.acceptor.View.Epoch, name: byte('0' + s.commands)}
	n.log = append(n.log[:len(n.log):len(n.log)], command) // other states share the backing array
}

// uncommitted reports whether a node's log has commands that haven't been acknowledged.
func (s *agreementState) uncommitted(n *agreementNode) bool { return len(n.log) > len(s.commits) }

// commit acknowledges all commands in the log of n, the tail, and checks that they agree with the commands that
// were acknowledged before.
func (s *agreementState) commit(n *agreementNode) {
	for i, command := range n.log {
		if i < len(s.commits) {
			if s.commits[i].command != command {
				s.violation = fmt.Sprintf("two different commands committed at index %d", i)
			}
			continue
		}
		s.commits = append(s.commits, modelCommit{command: command, epoch: n.acceptor.View.Epoch})
	}
}
