package view

import "fmt"

// agreementMessage is a message in flight. A message that is never delivered represents a lost message.
type agreementMessage struct {
	to   Member
	body any
	key  string
}

// appendMessage transfers the log along the chain, as coord/replica does.
type appendMessage struct {
	from  Member
	epoch uint64
	log   []modelCommand
}

// copyMessage transfers the source's prefix to a member that isn't synced.
type copyMessage struct {
	from   Member
	epoch  uint64
	prefix []modelCommand
}

// send adds a message, unless the same message is already in flight. Repeated delivery is covered by other
// states.
func (s *agreementState) send(to Member, body any) {
	key := string(appendMember(messageKey(body), to))
	for i := range s.messages {
		if s.messages[i].key == key {
			return
		}
	}
	s.messages = append(s.messages, agreementMessage{to: to, body: body, key: key})
}

// deliver removes the i-th message from the messages in flight and handles it, if its addressee still exists.
func (s *agreementState) deliver(i int) {
	m := s.messages[i]
	s.messages = append(s.messages[:i:i], s.messages[i+1:]...)
	if n := s.at(m.to); n != nil {
		s.handle(n, Member{}, m.body)
	}
}

// handle processes a message that a machine receives, with the real Acceptor and Proposal.
func (s *agreementState) handle(n *agreementNode, _ Member, body any) {
	switch m := body.(type) {
	case Prepare:
		s.adopt(n, m.View)
		answer, _ := n.acceptor.OnPrepare(m, LogState{Synced: n.synced, End: uint64(len(n.log))})
		s.reply(n, m.Ballot, answer)
	case Accept:
		s.adopt(n, m.View)
		answer, _ := n.acceptor.OnAccept(m)
		s.reply(n, m.Ballot, answer)
	case PrepareResponse:
		if n.proposal != nil && n.proposal.Value == nil {
			n.proposal.OnPrepareResponse(m)
		}
	case Reject:
	case AcceptResponse:
		s.onAcceptResponse(n, m)
	case Decided:
		s.adopt(n, m.View)
	case appendMessage:
		predecessor, _ := n.acceptor.View.Adjacent(n.acceptor.Self)
		if m.epoch == n.acceptor.View.Epoch && n.serving() && predecessor.Same(m.from) {
			n.prefixComplete = true
			if len(m.log) > len(n.log) {
				n.log = m.log[:len(m.log):len(m.log)]
			}
		}
	case copyMessage:
		if m.epoch == n.acceptor.View.Epoch && !n.acceptor.Wedged() && n.synced != m.epoch &&
			n.acceptor.View.InChain(n.acceptor.Self) {
			n.log, n.synced = m.prefix, m.epoch
			n.prefixComplete = n.acceptor.View.Head().Same(n.acceptor.Self)
		}
	}
}

// reply sends an acceptor's answer to the proposer. An answer to the machine's own proposal is handled at once.
func (s *agreementState) reply(n *agreementNode, ballot ProposalNumber, answer any) {
	if answer == nil {
		return
	}
	if ballot.Member == n.acceptor.Self.ID() {
		s.handle(n, n.acceptor.Self, answer)
		return
	}
	if _, rejected := answer.(Reject); rejected {
		return
	}
	for _, other := range s.nodes {
		if other.acceptor.Self.ID() == ballot.Member {
			s.send(other.acceptor.Self, answer)
		}
	}
}

// onAcceptResponse counts a vote, and announces the view once it is decided.
func (s *agreementState) onAcceptResponse(n *agreementNode, m AcceptResponse) {
	if n.proposal == nil {
		return
	}
	decided := n.proposal.OnAcceptResponse(m)
	if decided == nil {
		return
	}
	value := *decided
	s.adopt(n, value)
	for _, other := range value.Voters {
		if !other.Same(n.acceptor.Self) {
			s.send(other, Decided{View: value})
		}
	}
}

// messageKey returns a key that identifies a message apart from its addressee.
func messageKey(body any) []byte {
	switch m := body.(type) {
	case Prepare:
		return appendNumber([]byte{1, byte(m.View.Epoch)}, m.Ballot)
	case PrepareResponse:
		text := appendMember([]byte{2, byte(m.Epoch), byte(m.Log.Synced), byte(m.Log.End)}, m.From)
		return appendView(appendNumber(appendNumber(text, m.Ballot), m.AcceptedBallot), m.Accepted)
	case Accept:
		return appendView(appendNumber([]byte{3}, m.Ballot), &m.Value)
	case AcceptResponse:
		return appendNumber(appendMember([]byte{4, byte(m.Epoch)}, m.From), m.Ballot)
	case Decided:
		return appendView([]byte{5}, &m.View)
	case appendMessage:
		return appendCommands(appendMember([]byte{6, byte(m.epoch)}, m.from), m.log)
	case copyMessage:
		return appendCommands(appendMember([]byte{7, byte(m.epoch)}, m.from), m.prefix)
	}
	panic(fmt.Sprintf("model: unexpected message type %T", body))
}

// messageText returns the text that describes a message in traces. Scenarios select deliveries by the beginnings
// of these texts.
func messageText(m agreementMessage) string {
	switch body := m.body.(type) {
	case Prepare:
		return fmt.Sprintf("%s prepare %d %v", m.to.ID(), body.View.Epoch, body.Ballot)
	case PrepareResponse:
		return fmt.Sprintf("%s response to prepare %s %d %v %v %v %s", m.to.ID(), body.From.ID(), body.Epoch,
			body.Ballot, body.Log, body.AcceptedBallot, viewText(body.Accepted))
	case Accept:
		return fmt.Sprintf("%s accept %v %s", m.to.ID(), body.Ballot, viewText(&body.Value))
	case AcceptResponse:
		return fmt.Sprintf("%s response to accept %v", m.to.ID(), body)
	case Decided:
		return fmt.Sprintf("%s decided %s", m.to.ID(), viewText(&body.View))
	case appendMessage:
		return fmt.Sprintf("%s append %v", m.to.ID(), body)
	case copyMessage:
		return fmt.Sprintf("%s copy %v", m.to.ID(), body)
	default:
		return fmt.Sprintf("%s %T %v", m.to.ID(), body, body)
	}
}
