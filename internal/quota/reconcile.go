package quota

import "sprucelane.example/sprucelane/internal/protocol"

// reconcile makes sure that all leases of the requester are counted by name. It returns false if the
// requester may hold leases that this term doesn't know; the reply then asks for a full report.
func (a *Allocator) reconcile(holder *leaseHolder, request *protocol.QuotaRequest) bool {
	switch {
	case request.Whole:
		a.adoptReported(holder, request)
	case request.Term == 0: // it has never taken a reply, so it holds nothing
	case request.Term != a.term || !holder.reconciled:
		return false
	}
	holder.reconciled = true
	return true
}

// adoptReported takes over the leases of a full report. What earlier replies of this term offered beyond them
// stays outstanding until the holder acknowledges a later reply. Leases of earlier terms move from
// unaccounted to outstanding.
func (a *Allocator) adoptReported(holder *leaseHolder, request *protocol.QuotaRequest) {
	for _, part := range holder.ordered {
		part.setOffered(holder, lease{})
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
		part := holder.allocationFor(q)
		part.setOutstanding(part.outstanding.max(held))
		part.setOffered(holder, held)
	}
}

// setOffered notes the lease that the holder will have once it acknowledges the reply to its newest request.
// The caller has raised outstanding to cover it.
func (p *allocation) setOffered(holder *leaseHolder, l lease) {
	p.offered = l
	if p.outstanding != l && p.unackedSequence == 0 {
		holder.unacked = append(holder.unacked, p)
	}
	if p.outstanding != l || p.unackedSequence != 0 {
		p.unackedSequence = holder.lastSequence
	}
}

// acknowledge applies the acknowledgement in a request: the holder has taken the reply to request Acked and
// none after it. An offer that this reply carried is exactly what the holder has, so a decrease is freed only
// here.
func (a *Allocator) acknowledge(holder *leaseHolder, request *protocol.QuotaRequest) {
	if request.Term != a.term {
		return
	}
	kept := holder.unacked[:0]
	for _, part := range holder.unacked {
		switch {
		case part.unackedSequence == 0:
		case request.Acked >= part.unackedSequence:
			a.refill(part.quota)
			part.unackedSequence = 0
			part.setOutstanding(part.offered)
		default:
			kept = append(kept, part)
		}
	}
	clear(holder.unacked[len(kept):])
	holder.unacked = kept
}

// appendUnacked adds the offers that aren't acknowledged and aren't in this reply yet: the replies that
// carried them may be lost, and an acknowledgement of this reply must cover them.
func (h *leaseHolder) appendUnacked(grants []protocol.QuotaGrant) []protocol.QuotaGrant {
	for _, part := range h.unacked {
		if part.unackedSequence == 0 || part.sentSequence == h.lastSequence {
			continue
		}
		part.unackedSequence, part.sentSequence = h.lastSequence, h.lastSequence
		grants = append(grants, protocol.QuotaGrant{Tenant: part.quota.name, Change: true, Lease: part.offered.toMessage()})
	}
	return grants
}
