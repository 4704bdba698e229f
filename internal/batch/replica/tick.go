package replica

import "time"

// This file contains the periodic work of a store.

// expiryInterval is the time between checks for expired departures and batch jobs.
const expiryInterval = time.Second

// Tick does the work that is due by time. It must be called a few times a second, and more often while NeedsFastTick
// returns true.
func (m *StateMachine) Tick() {
	now := m.env.Now()
	m.expireCalls(now)
	if !m.isMember {
		return
	}
	if !m.reconciled && now-m.inventoriesRequestedAt >= inventoryRetry {
		m.requestInventories()
		m.reconcile()
	}
	m.resendTransfers(now)
	m.tickClaims(now)
	for _, id := range m.acceptanceIDs() {
		m.requestReservations(id, m.acceptances[id])
	}
	for _, j := range m.jobsInOrder {
		if j.owned {
			m.replaceSlowReplicas(j, now)
			m.replicateJob(j)
		}
	}
	if m.reconciled {
		m.queryOwners()
	}
	if m.awaitsAllReconciled() && m.reconciledEpoch == m.view.Epoch && now-m.departures.noticeSentAt >= noticeInterval {
		m.sendReconciledNotice()
	}
	if now-m.lastExpiry >= expiryInterval {
		m.lastExpiry = now
		m.expireDeparted(now)
		m.dropExpired()
		m.checkReconciled() // batch jobs that were not fully replicated may have expired
	}
}
