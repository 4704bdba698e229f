package control

import (
	"sprucelane.example/sprucelane/internal/protocol"
)

// member returns the control process at an IP. Node and zone of another control process are known only if this
// process has connected to it.
func (p *peers) member(ip string) protocol.ControlMember {
	s := p.control.settings
	if ip == s.IP {
		return protocol.ControlMember{Node: s.NodeName, Zone: s.Zone, IP: ip}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := protocol.ControlMember{IP: ip}
	if known := p.byIP[ip]; known != nil {
		remote := known.client.Remote()
		found.Node, found.Zone = remote.Node, remote.Zone
	}
	return found
}

// refreshMembers updates the member list.
func (c *Control) refreshMembers() {
	next := protocol.MemberList{Control: c.controlMembers(), QuotaAddress: c.quotaAddress()}
	_, confirms := c.staleness()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	next.Stores = c.state.Stores()
	c.members.noteConfirmation(c.now(), confirms)
	c.members.update(next, c.now(), c.liveness.Gateways)
}

// controlMembers returns all known control processes.
func (c *Control) controlMembers() []protocol.ControlMember {
	var list []protocol.ControlMember
	for _, ip := range c.controlIPs() {
		list = append(list, c.peers.member(ip))
	}
	return list
}

// membersFor returns the member list for a subscriber, or nil if the subscriber is up to date. The store
// membership and the quota address are sent only if this process confirms its state (fresh): a process that
// has just started or is partitioned may hold them from an epoch that ended long ago. Otherwise only the
// control processes are sent. It is called with the mutex held.
func (c *Control) membersFor(sub *subscriber, fresh bool) *protocol.MemberList {
	if !fresh {
		return c.members.controlMembersFor(sub)
	}
	// The list may be older than the proof of freshness that fresh is based on.
	c.members.updateStores(c.state.Stores(), c.quotaAddress())
	return c.members.confirmedFor(sub)
}

// noteMembersSent records that a member list was pushed to a subscriber.
func (c *Control) noteMembersSent(sub *subscriber, list *protocol.MemberList) {
	sub.controlMembers = list.Version
	if !list.Vouched {
		return
	}
	sub.members = list.Version
	if sub.process.Role == protocol.RoleBatch {
		c.log.Info().
			Str("to", sub.process.Node).
			Uint64("epoch", list.Stores.Epoch).
			Bool("reconciled", list.Stores.Settled).
			Int("departed", len(list.Stores.Departed)).
			Msg("store_view_sent")
	}
}
