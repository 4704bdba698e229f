package membership

import "time"

// probeLink probes the links in turn, one per call, or the monitors in a system too small for links. The probe
// measures this machine's health, carries updates and compares digests. A missing reply has no effect, as the
// link's own monitors watch it.
func (n *Node) probeLink(now time.Time) {
	links := n.peers().links
	if len(links) == 0 {
		links = n.peers().monitors
	}
	if len(links) == 0 {
		return
	}
	n.sequence++
	n.health.recordProbe(n.sequence, now)
	target := links[n.rounds%len(links)]
	n.send(target, Message{Kind: Probe, Sequence: n.sequence, Digest: n.table.digest(), Updates: n.piggyback()})
}

// onProbe answers a probe.
func (n *Node) onProbe(address string, message Message) {
	reply := Message{Kind: ProbeReply, Sequence: message.Sequence, Digest: n.table.digest(), Updates: n.piggyback()}
	n.sendTo(message.From, address, reply)
	n.compareDigests(address, message)
}

// onProbeReply handles the reply to a probe.
func (n *Node) onProbeReply(now time.Time, address string, message Message) {
	n.health.recordReply(message.Sequence, now, n.config.Interval)
	n.compareDigests(address, message)
}
