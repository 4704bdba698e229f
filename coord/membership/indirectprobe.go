package membership

import (
	"slices"
	"time"
)

// maxIndirectProbes bounds the pending probes on behalf of other machines.
const maxIndirectProbes = 64

// indirectProbe is a pending probe on behalf of another machine.
type indirectProbe struct {
	target, requester string // names
	address           string // of the requester
	sequence          uint64 // of the requester's message
	expires           time.Time
}

// onIndirectProbe replies with the time since this machine's last contact with the target. Unless that contact
// was within HeartbeatTimeout, it also probes the target, and replies again when the target answers. If this
// machine doesn't watch the target, it only probes it.
//
// A watch that began within HeartbeatTimeout and has had no contact yet shows neither that the target is alive
// nor that it has failed, so that the first reply is left out.
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

// probeFor probes the target of another machine's IndirectProbe. It keeps one pending probe for each pair of
// target and requester.
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

// answerIndirectProbes reports contact with a machine to the requesters of its indirect probes. Any message of
// the machine counts as contact.
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
