package replica

import (
	"math"
	"strings"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// injectedBug is a bug that the simulation can inject into the protocol, to show that the simulation's checks detect
// it.
type injectedBug string

const (
	bugPromisesNotRecovered    injectedBug = "promises are forgotten at a restart"
	bugAcceptedValueIgnored    injectedBug = "a proposer ignores the accepted value"
	bugServeBeforePrefix       injectedBug = "a view serves before the prefix is complete"
	bugWipedMemberVotes        injectedBug = "a wiped machine keeps its vote"
	bugShortChain              injectedBug = "a chain acknowledges with too few disks"
	onlyDuels                  injectedBug = "no bug, but frequent duels"
	bugUnconfirmedRead         injectedBug = "reads are answered without proof of the epoch"
	bugSentReportedUnsent      injectedBug = "a caller is told that its command never left, though it did"
	bugSendBeforeSync          injectedBug = "messages leave before the sync"
	bugNoRelay                 injectedBug = "commands aren't relayed by another member"
	bugOldCommands             injectedBug = "the head admits commands from before its view"
	bugAcknowledgePartitioned  injectedBug = "a partitioned member acknowledges commands"
	bugAnySource               injectedBug = "a view starts from any log"
	bugHalfPrefix              injectedBug = "half of a prefix counts as complete"
	bugSnapshotWithoutOutcomes injectedBug = "a snapshot comes without the outcomes of commands"
	bugRepeatedTransfers       injectedBug = "a prefix is sent again and again"
	bugLostTransfers           injectedBug = "prefixes never arrive"
	bugStalenessUnproven       injectedBug = "a member without contact claims not to be stale"
	bugEndlessLease            injectedBug = "a head keeps its lease without proof"
	bugDepartEarly             injectedBug = "a member ends before it may depart"
)

// injectIntoRecovery applies the injected bug to the state recovered from a disk.
func (n *simulatedNode) injectIntoRecovery(recovered *recoveredState) {
	if recovered != nil && n.sim.bug == bugPromisesNotRecovered {
		recovered.durable = view.DurableState{View: recovered.durable.View}
	}
}

// injectIntoCore applies the injected bug to a core before its records are taken.
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
	case bugAcknowledgePartitioned:
		n.acknowledgePartitioned()
	case bugEndlessLease:
		if c.acceptor.View.Head().Same(c.self) && c.epochConfirmedAt != never {
			c.epochConfirmedAt = max(c.epochConfirmedAt, now-leaderLeaseDuration/2)
		}
	}
}

// acknowledgePartitioned implements bugAcknowledgePartitioned: it completes the pending proposals of a partitioned
// node.
func (n *simulatedNode) acknowledgePartitioned() {
	if !n.partitioned {
		return
	}
	applied, _ := n.core.state.Applied()
	for _, id := range sortedKeys(n.core.requests.proposals) {
		n.core.requests.complete(id, chain.Outcome{ID: id, Index: applied + 1})
	}
}

// injectIntoMessage applies the injected bug to a message, and reports whether the message is sent.
func (sim *simulatedCluster) injectIntoMessage(from, to *simulatedNode, m envelope) (envelope, bool) {
	switch body := m.body.(type) {
	case view.PrepareResponse:
		m.body = sim.injectIntoPrepareResponse(body)
	case Forward:
		return sim.injectIntoForward(to, m, body)
	case PrefixTransfer:
		return sim.injectIntoTransfer(from, to, m, body)
	}
	return m, true
}

func (sim *simulatedCluster) injectIntoPrepareResponse(body view.PrepareResponse) view.PrepareResponse {
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

func (sim *simulatedCluster) injectIntoTransfer(
	from, to *simulatedNode, m envelope, body PrefixTransfer,
) (envelope, bool) {
	switch sim.bug {
	case bugHalfPrefix:
		body.Entries = body.Entries[:len(body.Entries)/2]
		m.body = body
	case bugSnapshotWithoutOutcomes:
		if body.Image != nil {
			snapshot := *body.Image
			snapshot.Outcomes = nil
			body.Image = &snapshot
			m.body = body
		}
	case bugRepeatedTransfers:
		for range maxTransfers {
			sim.countTransfer(from, to, m)
		}
	case bugLostTransfers:
		return m, false
	}
	return m, true
}

// injectedBugs are the bugs that random runs must find. The search for a bug starts at the seed first, which skips
// seeds that are known not to find it, and continues in steps of step.
var injectedBugs = []struct {
	bug   injectedBug
	first uint64
	step  uint64
}{
	{bugPromisesNotRecovered, 1, 4}, // seeds with duels: seed%4 == 1
	{bugAcceptedValueIgnored, 173, 4},
	{bugServeBeforePrefix, 1, 4},
	{bugWipedMemberVotes, 121, 4},
	{bugShortChain, 13, 4},
	{bugUnconfirmedRead, 1, 1},
	{bugSentReportedUnsent, 26, 1},
	{bugSendBeforeSync, 0, 1},
	{bugNoRelay, 16, 1},
	{bugOldCommands, 0, 1},
	{bugAcknowledgePartitioned, 0, 1},
	{bugAnySource, 0, 1},
	{bugHalfPrefix, 0, 1},
	{bugSnapshotWithoutOutcomes, 164, 1},
	{bugRepeatedTransfers, 0, 1},
	{bugLostTransfers, 0, 1},
	{bugStalenessUnproven, 0, 1},
	{bugEndlessLease, 4, 1},
	{bugDepartEarly, 0, 1},
}

// TestInjectedBugs checks that random runs find each bug.
func TestInjectedBugs(t *testing.T) {
	for _, injected := range injectedBugs {
		t.Run(string(injected.bug), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			for seed := injected.first; seed < injected.first+400*injected.step; seed += injected.step {
				if _, violation := runSeed(seed, injected.bug); violation != "" {
					line, _, _ := strings.Cut(violation, "\n")
					t.Logf("found after %v: %s", time.Since(began), line)
					return
				}
			}
			t.Errorf("not found in 400 runs")
		})
	}
}
