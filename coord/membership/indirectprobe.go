package membership

import (
	"slices"
	"time"
)

// maxIndirectProbes bounds the probes on others' behalf whose answers are awaited.
const maxIndirectProbes = 64

// indirectProbe is a probe on behalf of another machine, whose answer is awaited.
type indirectProbe struct {
	target, requester string // names
	address           string // of the requester
	sequence          uint64 // of the requester's message
	expires           time.Time
}

// onIndirectProbe replies when this machine had contact with the target last. Unless that was lately, or if
// it doesn't watch the target, it also probes it, and replies once more when the target answers.
//
// A watch that began lately without any contact proves nothing either way, and gets no reply of its own.
func (n *Node) onIndirectProbe(now time.Time, address string, message Message) {
	reply := Message{
		Kind:              IndirectProbeReply,
		Sequence:          message.Sequence,
		Target:            message.Target,
		LastContactMillis: -1,
	}
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

// probeFor probes the target of another machine's IndirectProbe. It keeps one such probe for each target and
// requester.
func (n *Node) probeFor(now time.Time, address string, message Message) {
	isObsolete := func(p indirectProbe) bool {
		return p.expires.Before(now) || p.target == message.Target && p.requester == message.From
	}
	n.indirectProbes = slices.DeleteFunc(n.indirectProbes, isObsolete)
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

// answerIndirectProbes tells those on whose behalf a machine was probed that it has just sent something. Any
// message will do.
func (n *Node) answerIndirectProbes(name string, now time.Time) {
	if len(n.indirectProbes) == 0 {
		return
	}
	isDone := func(p indirectProbe) bool {
		if p.target != name {
			return p.expires.Before(now)
		}
		n.sendTo(p.requester, p.address, Message{Kind: IndirectProbeReply, Sequence: p.sequence, Target: name})
		return true
	}
	n.indirectProbes = slices.DeleteFunc(n.indirectProbes, isDone)
}
