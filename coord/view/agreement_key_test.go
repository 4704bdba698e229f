package view

import (
	"hash/maphash"
	"sort"
)

// key returns a hash that identifies the state. It doesn't depend on the order of messages.
func (s *agreementState) key() uint64 {
	text := make([]byte, 0, 1024)
	for _, n := range s.nodes {
		text = n.appendKey(text)
	}
	keys := make([]string, len(s.messages))
	for i := range s.messages {
		keys[i] = s.messages[i].key
	}
	sort.Strings(keys)
	for _, key := range keys {
		text = append(text, key...)
		text = append(text, 255)
	}
	for _, commit := range s.commits {
		text = append(text, byte(commit.command.epoch), commit.command.name, byte(commit.epoch))
	}
	text = append(text, byte(len(s.views)), byte(s.commands), byte(s.restarts), byte(s.wipes), byte(s.starts))
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
