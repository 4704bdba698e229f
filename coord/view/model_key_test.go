package view

import (
	"fmt"
	"hash/maphash"
	"sort"
)

// key describes the state; the order of messages doesn't matter.
func (w *agreementState) key() uint64 {
	text := make([]byte, 0, 1024)
	for _, n := range w.nodes {
		text = n.appendKey(text)
	}
	keys := make([]string, len(w.messages))
	for i := range w.messages {
		keys[i] = w.messages[i].key
	}
	sort.Strings(keys)
	for _, key := range keys {
		text = append(text, key...)
		text = append(text, 255)
	}
	for _, commit := range w.commits {
		text = append(text, byte(commit.command.epoch), commit.command.name, byte(commit.epoch))
	}
	text = append(text, byte(len(w.views)), byte(w.commands), byte(w.restarts), byte(w.wipes), byte(w.starts))
	return maphash.Bytes(modelHash, text)
}

func (n *agreementNode) appendKey(text []byte) []byte {
	d := &n.acceptor.DurableState
	text = appendMember(text, n.acceptor.Self)
	text = append(text, byte(d.View.Epoch), byte(n.synced), boolByte(n.prefixComplete), byte(len(n.log)))
	text = appendNumber(appendNumber(text, d.Promised), d.AcceptedBallot)
	text = appendView(text, d.Accepted)
	text = appendCommands(text, n.log)
	p := n.proposal
	if p == nil {
		return append(text, 0)
	}
	text = appendView(appendNumber(text, p.Number), p.Value)
	text = append(text, byte(len(p.prepareResponses)))
	for _, m := range p.prepareResponses {
		text = append(text, messageKey(m)...)
	}
	for _, m := range p.acceptedBy {
		text = appendMember(text, m)
	}
	return append(text, 1)
}

func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

func appendMember(text []byte, m Member) []byte {
	if m.IsZero() {
		return append(text, 0)
	}
	return append(text, m.Address[0], m.Incarnation[0], m.Incarnation[len(m.Incarnation)-1])
}

func appendNumber(text []byte, b ProposalNumber) []byte {
	text = append(text, byte(b.Round))
	if b.Member != "" {
		text = append(text, b.Member[0], b.Member[len(b.Member)-1])
	}
	return text
}

func appendView(text []byte, v *View) []byte {
	if v == nil {
		return append(text, 0)
	}
	text = append(text, byte(v.Epoch), byte(v.SourceEpoch), byte(len(v.Voters)), byte(len(v.Chain)))
	text = appendMember(text, v.Source)
	for _, m := range v.Voters {
		text = appendMember(text, m)
	}
	for _, m := range v.Chain {
		text = appendMember(text, m)
	}
	for _, term := range v.Terms {
		text = append(text, byte(term.Epoch), byte(len(term.Chain)))
	}
	return text
}

func appendCommands(text []byte, orders []modelCommand) []byte {
	text = append(text, byte(len(orders)))
	for _, order := range orders {
		text = append(text, byte(order.epoch), order.name)
	}
	return text
}

// messageKey describes a message without its addressee.
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
	panic(fmt.Sprintf("model: message %T", body))
}

func viewText(v *View) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%d %v %v %s %d", v.Epoch, v.Voters, v.Chain, v.Source.ID(), v.SourceEpoch)
}

func messageText(m agreementMessage) string {
	switch body := m.body.(type) {
	case Prepare:
		return fmt.Sprintf("%s prepare %d %v", m.to.ID(), body.View.Epoch, body.Ballot)
	case PrepareResponse:
		return fmt.Sprintf("%s response to prepare %s %d %v %v %v %s", m.to.ID(), body.From.ID(), body.Epoch, body.Ballot,
			body.Log, body.AcceptedBallot, viewText(body.Accepted))
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
