package view

import (
	"fmt"
	"hash/maphash"
)

// key returns a hash that identifies the state.
func (s *membershipState) key() uint64 {
	text := s.appendDurable(make([]byte, 0, 512))
	for _, n := range s.nodes {
		text = append(text, boolByte(n.leaving)|boolByte(n.prefixComplete)<<1|boolByte(n.partialCopy)<<2)
	}
	sum := uint64(0) // the order of messages doesn't matter
	for _, m := range s.messages {
		key := appendMember(appendMember([]byte{byte(m.epoch), boolByte(m.isCopy)}, m.from), m.to)
		sum += maphash.Bytes(modelHash, appendCommands(key, m.log))
	}
	text = fmt.Appendf(text, "%x", sum)
	text = append(text, byte(s.lossesPermitted), byte(s.lossesUnrepaired), byte(s.commands), byte(s.losses))
	text = append(text, byte(s.undecided), byte(s.restarts), byte(s.powerCuts), byte(s.leaves))
	return maphash.Bytes(modelHash, text)
}

// appendDurable appends to text the contents of the disks, the acknowledged commands and the decided views.
func (s *membershipState) appendDurable(text []byte) []byte {
	for _, n := range s.nodes {
		d := &n.acceptor.DurableState
		text = append(appendMember(text, n.self()), byte(n.epoch()), byte(n.synced), byte(d.Promised.Round),
			byte(d.AcceptedBallot.Round))
		text = appendCommands(appendView(text, d.Accepted), n.log)
	}
	for _, v := range s.decided {
		text = appendView(text, v)
	}
	for _, epoch := range s.commitEpochs {
		text = append(text, byte(epoch))
	}
	return appendCommands(text, s.commits)
}
