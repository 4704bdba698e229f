package control

import (
	"reflect"
	"time"

	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/protocol"
)

// minGatewayListInterval is the minimum time between two member lists that differ only in gateways. Gateways
// often start at the same time, and every list is sent to every subscriber.
const minGatewayListInterval = time.Second

// memberTable is the member list that is sent to subscribers. list.Version increases with each change, so a
// subscriber needs the list if the version it was sent is lower. memberTable is guarded by Control.mutex.
type memberTable struct {
	list             protocol.MemberList
	gatewaysListedAt time.Duration // when list.Gateways was last read from the liveness table
	confirmedSince   time.Duration // start of the current uninterrupted period of confirming the state
}

// gatewaysKnownAfter is how long this process must have confirmed its state until it knows all gateways. A gateway
// whose control process has ended switches to another control process, and is reported by that one, well within
// this time.
const gatewaysKnownAfter = liveness.GatewayTimeout + time.Second

// noteConfirmation records whether this process could confirm its state at time now.
func (t *memberTable) noteConfirmation(now time.Duration, confirms bool) {
	if !confirms {
		t.confirmedSince = now
	}
}

// update replaces the list with next if they differ. next.Gateways is ignored: the gateways are read from the
// function, at most once per minGatewayListInterval.
func (t *memberTable) update(
	next protocol.MemberList,
	now time.Duration,
	gateways func(time.Duration) []protocol.Process,
) {
	next.Gateways = t.list.Gateways
	if t.list.Version == 0 || now-t.gatewaysListedAt >= minGatewayListInterval {
		next.Gateways = gateways(now)
		t.gatewaysListedAt = now
	}
	next.GatewaysComplete = t.gatewaysListedAt-t.confirmedSince >= gatewaysKnownAfter
	next.Version = t.list.Version
	if next.Version > 0 && reflect.DeepEqual(next, t.list) {
		return
	}
	next.Version++
	t.list = next
}

// updateStores replaces the store membership and the quota address if the membership is newer or the address
// differs.
func (t *memberTable) updateStores(stores protocol.StoreView, quotaAddress string) {
	if !stores.Newer(t.list.Stores) && quotaAddress == t.list.QuotaAddress {
		return
	}
	t.list.Stores, t.list.QuotaAddress = stores, quotaAddress
	t.list.Version++
}

// confirmedFor returns the complete list, marked as confirmed (Vouched), or nil if the subscriber already has
// it. The caller must have checked that this process may confirm its state.
func (t *memberTable) confirmedFor(sub *subscriber) *protocol.MemberList {
	if t.list.Version <= sub.members {
		return nil
	}
	list := t.list
	list.Vouched = true
	return &list
}

// controlMembersFor returns the list with only the control processes, or nil if the subscriber already has
// them.
func (t *memberTable) controlMembersFor(sub *subscriber) *protocol.MemberList {
	if t.list.Version <= max(sub.members, sub.controlMembers) {
		return nil
	}
	return &protocol.MemberList{Version: t.list.Version, Control: t.list.Control}
}
