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
type injectedBug string

const (
	bugForgottenPromises       injectedBug = "votes are forgotten at a restart"
	bugAcceptedValueIgnored    injectedBug = "a proposer doesn't repair the accepted value"
	bugServeBeforePrefix       injectedBug = "a view serves before the prefix is copied"
	bugWipedMemberVotes        injectedBug = "a wiped machine keeps its vote"
	bugShortChain              injectedBug = "a chain acknowledges with too few disks"
	onlyDuels                  injectedBug = "no bug, but frequent duels"
	bugUnconfirmedRead         injectedBug = "reads are answered without proof of the epoch"
	bugSentForgotten           injectedBug = "a caller is told that its order never left, though it did"
	bugSendBeforeSync          injectedBug = "messages leave before the sync"
	bugNoRelay                 injectedBug = "orders aren't passed on by a member between"
	bugOldCommands             injectedBug = "the head takes orders from before its view"
	bugAcknowledgeAlone        injectedBug = "a member that is cut off confirms orders"
	bugAnySource               injectedBug = "a view starts from any log"
	bugHalfPrefix              injectedBug = "half of a copy counts as whole"
	bugSnapshotWithoutOutcomes injectedBug = "an image comes without the outcomes of orders"
	bugTransferStorm           injectedBug = "a copy is sent again and again"
	bugLostTransfers           injectedBug = "copies never arrive"
	bugStalenessUnproven       injectedBug = "a member claims to be fresh when it hears nobody"
	bugEndlessLease            injectedBug = "a head leads on without proof"
	bugDepartEarly             injectedBug = "a member ends before it may leave"
)

// plantRecovery spoils what a start finds on its disk.
func (n *simulatedNode) injectIntoRecovery(found *recoveredState) {
	if found != nil && n.sim.bug == bugForgottenPromises {
		found.durable = view.DurableState{View: found.durable.View}
	}
}

// plantBefore spoils what a node does next.
func (n *simulatedNode) injectIntoCore() {
	c, now := n.core, n.sim.now
	switch n.sim.bug {
	case bugServeBeforePrefix:
		if c.inChain() && !c.acceptor.Wedged() {
			c.syncedEpoch = c.epoch()
		}
	case bugShortChain:
		c.tolerance = 0
	case bugUnconfirmedRead:
		c.epochConfirmedAt = now
	case bugStalenessUnproven:
		if n.partitioned && c.staleness.proven {
			c.staleness.currentAsOf = now
		}
	case bugAcknowledgeAlone:
		n.acknowledgeAlone()
	case bugEndlessLease:
		if c.acceptor.View.Head().Same(c.self) && c.epochConfirmedAt != never {
			c.epochConfirmedAt = max(c.epochConfirmedAt, now-leaderLeaseDuration/2)
		}
	}
}

// confirmAlone settles, where the node is cut off, the orders that wait there.
func (n *simulatedNode) acknowledgeAlone() {
	if !n.partitioned {
		return
	}
	applied, _ := n.core.state.Applied()
	for _, id := range sortedKeys(n.core.requests.proposals) {
		n.core.requests.complete(id, chain.Outcome{ID: id, Index: applied + 1})
	}
}

// plantMessage spoils a message on its way, and tells whether it goes at all.
func (sim *simulatedCluster) injectIntoMessage(from, to *simulatedNode, m envelope) (envelope, bool) {
	switch body := m.body.(type) {
	case view.PrepareResponse:
		m.body = sim.injectIntoPromise(body)
	case Forward:
		return sim.injectIntoForward(to, m, body)
	case PrefixTransfer:
		return sim.injectIntoTransfer(from, to, m, body)
	}
	return m, true
}

func (sim *simulatedCluster) injectIntoPromise(body view.PrepareResponse) view.PrepareResponse {
	switch sim.bug {
	case bugAcceptedValueIgnored:
		body.Accepted = nil
	case bugAnySource:
		body.Log.Synced = body.Epoch
		body.Log.End = sim.random.Uint64N(1 << 40)
	}
	return body
}

func (sim *simulatedCluster) injectIntoForward(to *simulatedNode, m envelope, body Forward) (envelope, bool) {
	switch sim.bug {
	case bugNoRelay:
		return m, to.core.view().Head().Same(to.core.self)
	case bugOldCommands:
		body.Epoch, body.Since = to.core.epoch(), math.MaxUint64
		m.body = body
	}
	return m, true
}

func (sim *simulatedCluster) injectIntoTransfer(from, to *simulatedNode, m envelope, body PrefixTransfer) (envelope, bool) {
	switch sim.bug {
	case bugHalfPrefix:
		body.Entries = body.Entries[:len(body.Entries)/2]
		m.body = body
	case bugSnapshotWithoutOutcomes:
		if body.Image != nil {
			image := *body.Image
			image.Outcomes = nil
			body.Image = &image
			m.body = body
		}
	case bugTransferStorm:
		for range maxTransfers {
			sim.countTransfer(from, to, m)
		}
	case bugLostTransfers:
		return m, false
	}
	return m, true
}

// plantedBugs are found by the worlds, from a seed on that saves those that are known not to find them.
var injectedBugs = []struct {
	plant injectedBug
	first uint64
	step  uint64
}{
	{bugForgottenPromises, 1, 4}, // those with duels
	{bugAcceptedValueIgnored, 65, 4},
	{bugServeBeforePrefix, 1, 4},
	{bugWipedMemberVotes, 121, 4},
	{bugShortChain, 13, 4},
	{bugUnconfirmedRead, 1, 1},
	{bugSentForgotten, 26, 1},
	{bugSendBeforeSync, 0, 1},
	{bugNoRelay, 16, 1},
	{bugOldCommands, 0, 1},
	{bugAcknowledgeAlone, 0, 1},
	{bugAnySource, 0, 1},
	{bugHalfPrefix, 0, 1},
	{bugSnapshotWithoutOutcomes, 122, 1},
	{bugTransferStorm, 0, 1},
	{bugLostTransfers, 0, 1},
	{bugStalenessUnproven, 0, 1},
	{bugEndlessLease, 4, 1},
	{bugDepartEarly, 0, 1},
}

// TestPlantedBugs checks that the worlds find what they are for: each bug stands in the harness.
func TestInjectedBugs(t *testing.T) {
	for _, bug := range injectedBugs {
		t.Run(string(bug.plant), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			for seed := bug.first; seed < bug.first+400*bug.step; seed += bug.step {
				if _, broken := runSeed(seed, bug.plant); broken != "" {
					line, _, _ := strings.Cut(broken, "\n")
					t.Logf("found after %v: %s", time.Since(began), line)
					return
				}
			}
			t.Errorf("not found")
		})
	}
}
