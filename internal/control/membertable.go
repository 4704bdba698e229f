package control

import (
	"reflect"
	"time"

	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/protocol"
)

// minGatewayListInterval is the least time between two member lists that differ in gateways only. Gateways
// often start at the same time, and every list goes to every subscriber.
const minGatewayListInterval = time.Second

// memberTable is the member list as subscribers are sent it. list.Version rises with each change, so that a
// subscriber lacks what is of a higher version than it was sent. It is guarded by Control.mutex.
type memberTable struct {
	list             protocol.MemberList
	gatewaysListedAt time.Duration // when list.Gateways was taken from liveness
	countingSince    time.Duration // since when this process has confirmed its state without a gap
}

// gatewaysKnownAfter is the time of confirming the state after which all gateways are known: one that polled at a
// control process which is gone turns to another, and is reported from there, well within it.
const gatewaysKnownAfter = liveness.GatewayTimeout + time.Second

// noteConfirmation records whether this process could confirm its state at a time.
func (t *memberTable) noteConfirmation(now time.Duration, confirms bool) {
	if !confirms {
		t.countingSince = now
	}
}

// update replaces the list by next if that differs. Its gateways are taken from a function, at most once in
// minGatewayListInterval.
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
	next.GatewaysComplete = t.gatewaysListedAt-t.countingSince >= gatewaysKnownAfter
	next.Version = t.list.Version
	if next.Version > 0 && reflect.DeepEqual(next, t.list) {
		return
	}
	next.Version++
	t.list = next
}

// updateStores replaces the store membership and the quota address if they differ.
func (t *memberTable) updateStores(stores protocol.StoreView, quotaAddress string) {
	if !stores.Newer(t.list.Stores) && quotaAddress == t.list.QuotaAddress {
		return
	}
	t.list.Stores, t.list.QuotaAddress = stores, quotaAddress
	t.list.Version++
}

// confirmedFor returns the whole list, marked as confirmed (Vouched), if a subscriber lacks it, else nil. The
// caller has checked that this process may confirm its state.
func (t *memberTable) confirmedFor(sub *subscriber) *protocol.MemberList {
	if t.list.Version <= sub.members {
		return nil
	}
	list := t.list
	list.Vouched = true
	return &list
}

// controlMembersFor returns the list with nothing but the control processes if a subscriber lacks those, else
// nil.
func (t *memberTable) controlMembersFor(sub *subscriber) *protocol.MemberList {
	if t.list.Version <= max(sub.members, sub.controlMembers) {
		return nil
	}
	return &protocol.MemberList{Version: t.list.Version, Control: t.list.Control}
}
