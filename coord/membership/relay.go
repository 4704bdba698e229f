package membership

import (
	"slices"
	"time"
)

// maxRelays bounds the questions that wait for a sign of their targets.
const maxRelays = 64

// relay is a question about a machine that this one hasn't heard lately either.
type relay struct {
	target, name, address string
	sequence              uint64
	expires               time.Time
}

// answerQuery says when a machine was last heard here. If that was long ago, or it isn't watched here, it is probed,
// and its answer is reported.
func (n *Node) answerQuery(now time.Time, address string, message Message) {
	reply := Message{Kind: QueryReply, Sequence: message.Sequence, Target: message.Target, HeardAgo: -1}
	if watched, ok := n.watches[message.Target]; ok {
		ago := now.Sub(watched.heard)
		if watched.real || ago > n.config.MissAfter {
			reply.HeardAgo = ago.Milliseconds()
		}
		if watched.real && ago <= n.config.MissAfter {
			n.sendTo(message.From, address, reply)
			return
		}
	}
	if reply.HeardAgo >= 0 {
		n.sendTo(message.From, address, reply)
	}
	n.addRelay(now, address, message)
}

// addRelay probes a machine for another one.
func (n *Node) addRelay(now time.Time, address string, message Message) {
	isSame := func(r relay) bool {
		return r.expires.Before(now) || r.target == message.Target && r.name == message.From
	}
	n.relays = slices.DeleteFunc(n.relays, isSame)
	if len(n.relays) >= maxRelays {
		return
	}
	n.relays = append(n.relays, relay{
		target:   message.Target,
		name:     message.From,
		address:  address,
		sequence: message.Sequence,
		expires:  now.Add(n.config.AloneAfter),
	})
	n.sequence++
	n.send(message.Target, Message{Kind: Probe, Sequence: n.sequence, Digest: n.table.digest()})
}

// answerRelays tells those who asked that a machine has been heard.
func (n *Node) answerRelays(name string, now time.Time) {
	if len(n.relays) == 0 {
		return
	}
	answer := func(r relay) bool {
		if r.target != name {
			return r.expires.Before(now)
		}
		n.sendTo(r.name, r.address, Message{Kind: QueryReply, Sequence: r.sequence, Target: name})
		return true
	}
	n.relays = slices.DeleteFunc(n.relays, answer)
}
