package control

import (
	"reflect"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// member returns what is known of the control process at an IP. The zone is known only of those that are connected.
func (p *peers) member(ip string) protocol.ControlMember {
	s := p.control.settings
	if ip == s.IP {
		return protocol.ControlMember{Node: s.NodeName, Zone: s.Zone, IP: ip}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	one := protocol.ControlMember{IP: ip}
	if known := p.byIP[ip]; known != nil {
		remote := known.client.Remote()
		one.Node, one.Zone = remote.Node, remote.Zone
	}
	return one
}

// minGatewayListInterval is the least time between two member lists that differ in gateways only. Gateways often
// start at the same time, and every list goes to every subscriber.
const minGatewayListInterval = time.Second

// refreshMembers builds the member list anew, and gives it the next version if it has changed.
func (c *Control) refreshMembers() {
	next := protocol.MemberList{Control: c.controlMembers(), QuotaAddress: c.quotaAddress()}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	next.Stores = c.state.Stores()
	next.Gateways = c.memberList.Gateways
	if now := c.now(); c.memberList.Version == 0 || now-c.gatewaysListedAt >= minGatewayListInterval {
		next.Gateways = c.liveness.Gateways(now)
		c.gatewaysListedAt = now
	}
	next.Version = c.memberList.Version
	if next.Version > 0 && reflect.DeepEqual(next, c.memberList) {
		return
	}
	next.Version++
	c.memberList = next
}

// controlMembers returns all known control processes.
func (c *Control) controlMembers() []protocol.ControlMember {
	var list []protocol.ControlMember
	for _, ip := range c.controlIPs() {
		list = append(list, c.peers.member(ip))
	}
	return list
}

// membersFor returns the member list if a subscriber lacks it, else nil. The store membership and the quota address
// are sent only if this process vouches for its state: those of a process that has just started, or is partitioned,
// may be of an epoch that ended long ago. Without that only the control processes are sent. It is called with the
// mutex held.
func (c *Control) membersFor(one *subscriber, fresh bool) *protocol.MemberList {
	if !fresh {
		if c.memberList.Version <= max(one.members, one.controlMembers) {
			return nil
		}
		return &protocol.MemberList{Version: c.memberList.Version, Control: c.memberList.Control}
	}
	c.refreshStores() // the list may have been built before the proof that fresh relies on
	if c.memberList.Version <= one.members {
		return nil
	}
	list := c.memberList
	list.Vouched = true
	return &list
}

// refreshStores brings the store membership and the quota address in the member list up to date with the chain's
// state.
func (c *Control) refreshStores() {
	stores, address := c.state.Stores(), c.quotaAddress()
	if !stores.Newer(c.memberList.Stores) && address == c.memberList.QuotaAddress {
		return
	}
	c.memberList.Stores, c.memberList.QuotaAddress = stores, address
	c.memberList.Version++
}

// noteMembersSent records that a member list was pushed to a subscriber.
func (c *Control) noteMembersSent(one *subscriber, list *protocol.MemberList) {
	one.controlMembers = list.Version
	if !list.Vouched {
		return
	}
	one.members = list.Version
	if one.process.Role == protocol.RoleBatch {
		c.log.Info().
			Str("to", one.process.Node).
			Uint64("epoch", list.Stores.Epoch).
			Bool("settled", list.Stores.Settled).
			Int("departed", len(list.Stores.Departed)).
			Msg("store-view-told")
	}
}
