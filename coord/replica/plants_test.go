package replica

import (
	"math"
	"strings"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// plant is a bug that the harness can plant.
type plant string

const (
	plantForget        plant = "votes are forgotten at a restart"
	plantSkipRepair    plant = "a proposer doesn't repair the accepted value"
	plantServeEarly    plant = "a view serves before the prefix is copied"
	plantWipedVotes    plant = "a wiped machine keeps its vote"
	plantShortChain    plant = "a chain acknowledges with too few disks"
	plantOnlyDuels     plant = "no bug, but frequent duels"
	plantStaleRead     plant = "reads are answered without proof of the epoch"
	plantSentForgotten plant = "a caller is told that its order never left, though it did"
	plantSyncLate      plant = "messages leave before the sync"
	plantNoRelay       plant = "orders aren't passed on by a member between"
	plantOldOrders     plant = "the head takes orders from before its view"
	plantConfirmAlone  plant = "a member that is cut off confirms orders"
	plantOldSource     plant = "a view starts from any log"
	plantHalfCopy      plant = "half of a copy counts as whole"
	plantBareImage     plant = "an image comes without the outcomes of orders"
	plantCopyStorm     plant = "a copy is sent again and again"
	plantLostCopy      plant = "copies never arrive"
	plantStaleFresh    plant = "a member claims to be fresh when it hears nobody"
	plantEndlessLead   plant = "a head leads on without proof"
	plantLeaveEarly    plant = "a member ends before it may leave"
)

// plantRecovery spoils what a start finds on its disk.
func (n *simulatedNode) plantRecovery(found *recoveredState) {
	if found != nil && n.world.plant == plantForget {
		found.durable = view.DurableState{View: found.durable.View}
	}
}

// plantBefore spoils what a node does next.
func (n *simulatedNode) plantBefore() {
	c, now := n.core, n.world.now
	switch n.world.plant {
	case plantServeEarly:
		if c.inChain() && !c.acceptor.Wedged() {
			c.syncedEpoch = c.epoch()
		}
	case plantShortChain:
		c.tolerance = 0
	case plantStaleRead:
		c.staleness.epochConfirmedAt = now
	case plantStaleFresh:
		if n.cutOff && c.staleness.proven {
			c.staleness.currentAsOf = now
		}
	case plantConfirmAlone:
		n.confirmAlone()
	case plantEndlessLead:
		if c.acceptor.View.Head().Same(c.self) && c.staleness.epochConfirmedAt != never {
			c.staleness.epochConfirmedAt = max(c.staleness.epochConfirmedAt, now-leaderLeaseDuration/2)
		}
	}
}

// confirmAlone settles, where the node is cut off, the orders that wait there.
func (n *simulatedNode) confirmAlone() {
	if !n.cutOff {
		return
	}
	applied, _ := n.core.state.Applied()
	for _, id := range sortedKeys(n.core.requests.proposals) {
		n.core.requests.complete(id, chain.Outcome{ID: id, Index: applied + 1})
	}
}

// plantMessage spoils a message on its way, and tells whether it goes at all.
func (w *world) plantMessage(from, to *simulatedNode, m envelope) (envelope, bool) {
	switch body := m.body.(type) {
	case view.PrepareResponse:
		m.body = w.plantPromise(body)
	case Forward:
		return w.plantForward(to, m, body)
	case PrefixTransfer:
		return w.plantCopy(from, to, m, body)
	}
	return m, true
}

func (w *world) plantPromise(body view.PrepareResponse) view.PrepareResponse {
	switch w.plant {
	case plantSkipRepair:
		body.Accepted = nil
	case plantOldSource:
		body.Log.Synced = body.Epoch
		body.Log.End = w.random.Uint64N(1 << 40)
	}
	return body
}

func (w *world) plantForward(to *simulatedNode, m envelope, body Forward) (envelope, bool) {
	switch w.plant {
	case plantNoRelay:
		return m, to.core.view().Head().Same(to.core.self)
	case plantOldOrders:
		body.Epoch, body.Since = to.core.epoch(), math.MaxUint64
		m.body = body
	}
	return m, true
}

func (w *world) plantCopy(from, to *simulatedNode, m envelope, body PrefixTransfer) (envelope, bool) {
	switch w.plant {
	case plantHalfCopy:
		body.Entries = body.Entries[:len(body.Entries)/2]
		m.body = body
	case plantBareImage:
		if body.Image != nil {
			image := *body.Image
			image.Outcomes = nil
			body.Image = &image
			m.body = body
		}
	case plantCopyStorm:
		for range mostCopies {
			w.countCopy(from, to, m)
		}
	case plantLostCopy:
		return m, false
	}
	return m, true
}

// plantedBugs are found by the worlds, from a seed on that saves those that are known not to find them.
var plantedBugs = []struct {
	plant plant
	first uint64
	step  uint64
}{
	{plantForget, 1, 4}, // those with duels
	{plantSkipRepair, 65, 4},
	{plantServeEarly, 1, 4},
	{plantWipedVotes, 121, 4},
	{plantShortChain, 13, 4},
	{plantStaleRead, 1, 1},
	{plantSentForgotten, 26, 1},
	{plantSyncLate, 0, 1},
	{plantNoRelay, 16, 1},
	{plantOldOrders, 0, 1},
	{plantConfirmAlone, 0, 1},
	{plantOldSource, 0, 1},
	{plantHalfCopy, 0, 1},
	{plantBareImage, 122, 1},
	{plantCopyStorm, 0, 1},
	{plantLostCopy, 0, 1},
	{plantStaleFresh, 0, 1},
	{plantEndlessLead, 4, 1},
	{plantLeaveEarly, 0, 1},
}

// TestPlantedBugs checks that the worlds find what they are for: each bug stands in the harness.
func TestPlantedBugs(t *testing.T) {
	for _, bug := range plantedBugs {
		t.Run(string(bug.plant), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			for seed := bug.first; seed < bug.first+400*bug.step; seed += bug.step {
				if _, broken := play(seed, bug.plant); broken != "" {
					line, _, _ := strings.Cut(broken, "\n")
					t.Logf("found after %v: %s", time.Since(began), line)
					return
				}
			}
			t.Errorf("not found")
		})
	}
}
