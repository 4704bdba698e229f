package membership

import (
	"slices"
	"time"
)

// maxRelays bounds the questions that wait for a sign of their targets.
const maxIndirectProbes = 64

// relay is a question about a machine that this one hasn't heard lately either.
type indirectProbe struct {
	target, requester, address string
	sequence                   uint64
	expires                    time.Time
}

// answerQuery says when a machine was last heard here. If that was long ago, or it isn't watched here, it is probed,
// and its answer is reported.
func (n *Node) onIndirectProbe(now time.Time, address string, message Message) {
	reply := Message{Kind: IndirectProbeReply, Sequence: message.Sequence, Target: message.Target, LastContactMillis: -1}
	if watched, ok := n.watches[message.Target]; ok {
		ago := now.Sub(watched.lastContact)
		if watched.observed || ago > n.config.HeartbeatTimeout {
			reply.LastContactMillis = ago.Milliseconds()
		}
		if watched.observed && ago <= n.config.HeartbeatTimeout {
			n.sendTo(message.From, address, reply)
			return
		}
	}
	if reply.LastContactMillis >= 0 {
		n.sendTo(message.From, address, reply)
	}
	n.probeFor(now, address, message)
}

// addRelay probes a machine for another one.
func (n *Node) probeFor(now time.Time, address string, message Message) {
	isSame := func(r indirectProbe) bool {
		return r.expires.Before(now) || r.target == message.Target && r.requester == message.From
	}
	n.indirectProbes = slices.DeleteFunc(n.indirectProbes, isSame)
	if len(n.indirectProbes) >= maxIndirectProbes {
		return
	}
	n.indirectProbes = append(n.indirectProbes, indirectProbe{
		target:    message.Target,
		requester: message.From,
		address:   address,
		sequence:  message.Sequence,
		expires:   now.Add(n.config.UnconfirmedTimeout),
	})
	n.sequence++
	n.send(message.Target, Message{Kind: Probe, Sequence: n.sequence, Digest: n.table.digest()})
}

// answerRelays tells those who asked that a machine has been heard.
func (n *Node) answerIndirectProbes(name string, now time.Time) {
	if len(n.indirectProbes) == 0 {
		return
	}
	answer := func(r indirectProbe) bool {
		if r.target != name {
			return r.expires.Before(now)
		}
		n.sendTo(r.requester, r.address, Message{Kind: IndirectProbeReply, Sequence: r.sequence, Target: name})
		return true
	}
	n.indirectProbes = slices.DeleteFunc(n.indirectProbes, answer)
}
