package quota

import "sprucelane.example/sprucelane/internal/protocol"

// reconcile ensures that the requester's allocations cover all its leases. It returns false if the requester may
// hold leases that aren't known in this term; the reply then asks for a full report.
func (a *Allocator) reconcile(holder *leaseHolder, request *protocol.QuotaRequest) bool {
	switch {
	case request.Whole:
		a.adoptReported(holder, request)
	case request.Term == 0: // the requester has never accepted a reply, so it holds nothing
	case request.Term != a.term || !holder.reconciled:
		return false
	}
	holder.reconciled = true
	return true
}

// adoptReported adopts the leases of a full report. Larger leases that earlier replies of this term offered stay
// outstanding until the holder acknowledges a later reply. Leases of earlier terms move from unaccounted to
// outstanding.
func (a *Allocator) adoptReported(holder *leaseHolder, request *protocol.QuotaRequest) {
	for _, alloc := range holder.ordered {
		alloc.setOffered(holder, lease{})
	}
	for i := range request.Demands {
		demand := &request.Demands[i]
		q := a.tenants[demand.Tenant]
		held := leaseFromMessage(demand.Held)
		if q == nil || !q.limited || held.isZero() {
			continue
		}
		a.refill(q)
		if !holder.reconciled && request.Term != a.term {
			q.unaccounted = q.unaccounted.minus(held).max(lease{})
		}
		alloc := holder.allocationFor(q)
		alloc.setOutstanding(alloc.outstanding.max(held))
		alloc.setOffered(holder, held)
	}
}

// setOffered sets the lease that the holder will have once it acknowledges the reply to its newest request. The
// caller has raised outstanding to cover this lease.
func (p *allocation) setOffered(holder *leaseHolder, l lease) {
	p.offered = l
	if p.outstanding != l && p.unackedSequence == 0 {
		holder.unacked = append(holder.unacked, p)
	}
	if p.outstanding != l || p.unackedSequence != 0 {
		p.unackedSequence = holder.lastSequence
	}
}

// acknowledge applies the acknowledgement in a request: the holder has accepted the reply to request Acked and
// none after it. An offer that this reply carried is exactly the lease that the holder has. The capacity of a
// decreased lease is therefore freed only here.
func (a *Allocator) acknowledge(holder *leaseHolder, request *protocol.QuotaRequest) {
	if request.Term != a.term {
		return
	}
	kept := holder.unacked[:0]
	for _, alloc := range holder.unacked {
		switch {
		case alloc.unackedSequence == 0:
		case request.Acked >= alloc.unackedSequence:
			a.refill(alloc.quota)
			alloc.unackedSequence = 0
			alloc.setOutstanding(alloc.offered)
		default:
			kept = append(kept, alloc)
		}
	}
	clear(holder.unacked[len(kept):])
	holder.unacked = kept
}

// appendUnacked appends the offers that aren't acknowledged and aren't in this reply yet: the replies that
// carried them may have been lost, and an acknowledgement of this reply must cover them.
func (h *leaseHolder) appendUnacked(grants []protocol.QuotaGrant) []protocol.QuotaGrant {
	for _, alloc := range h.unacked {
		if alloc.unackedSequence == 0 || alloc.sentSequence == h.lastSequence {
			continue
		}
		alloc.unackedSequence, alloc.sentSequence = h.lastSequence, h.lastSequence
		grants = append(grants, protocol.QuotaGrant{Tenant: alloc.quota.name, Change: true, Lease: alloc.offered.toMessage()})
	}
	return grants
}
