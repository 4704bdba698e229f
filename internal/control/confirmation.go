package control

import (
	"time"

	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/protocol"
)

// maxStaleness is the maximum age of this process's proof of freshness at which it confirms its state to
// subscribers. A process that is partitioned from the others exceeds it within that time, and its subscribers
// switch to another control process. Otherwise the heartbeats of the chain keep the age at a third of it.
const maxStaleness = 800 * time.Millisecond

// staleness returns the staleness bound of this process's state: everything that was acknowledged longer ago is
// applied. It reports false if there is no bound or it is too high to confirm the state.
func (c *Control) staleness() (time.Duration, bool) {
	age, proven := c.replica.Staleness()
	return age, proven && age <= maxStaleness
}

// mayGrantLeases reports whether this process may grant leases to batch processes. Only members of the chain
// may: the head evicts a batch process only while it receives the reports of all other members, so it knows of
// the leases that members grant. A process outside the chain obtains its proof of freshness from a member, and
// the head doesn't wait for its reports.
func (c *Control) mayGrantLeases() bool { return c.replica.View().InChain(c.replica.Self()) }

// storeGrant returns a batch process's membership and lease. A lease is granted only if this process can confirm
// the membership (fresh). It is shortened by age, the staleness bound of this process's state: a suspicion that isn't
// applied here yet was acknowledged at most age ago, so a lease granted without knowing it also ends within StoreLease
// after its acknowledgement.
func (c *Control) storeGrant(process protocol.Process, fresh bool, age time.Duration) *protocol.StoreGrant {
	view := c.state.Stores()
	grant := &protocol.StoreGrant{Epoch: view.Epoch}
	for i := range view.Members {
		if fresh && view.Members[i].Process == process {
			grant.Member = true
			if c.environment.leaseSuspected || c.state.Suspicion(process.Node, process.Incarnation) == 0 {
				grant.Lease = liveness.StoreLease - age
			}
		}
	}
	return grant
}
