package replica

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// catchUpTime is the time from the end of a fault to the next fault, whether the chain is complete by then or not.
const catchUpTime = 4800 * time.Millisecond

const (
	// thinkTime is the maximum pause of a client between two commands.
	thinkTime = 150 * time.Millisecond
	// busyThinkTime is the maximum pause during a burst of commands.
	busyThinkTime = 4 * time.Millisecond
)

// campaign is a simulated cluster under random load and faults.
type campaign struct {
	*simulatedCluster
	draws        *rand.Rand // draws the configuration of the run; simulatedCluster.random draws its events
	commands     int        // number of commands that clients have proposed
	probes       int
	end          time.Duration // no faults and no new commands after this
	maxThinkTime time.Duration

	faults          int    // number of faults injected so far
	duels           bool   // members propose competing views throughout the run
	noClients       bool   // the usual clients don't run
	backToBack      bool   // the next fault follows as soon as the chain is complete
	oldestDiskFirst bool   // faults prefer the machines with the oldest disks
	onlyFault       string // name of the only kind of fault; empty: all kinds

	lastAck   time.Duration
	onNextAck func() // called once at the next acknowledgement
}

// runCampaign runs a seed. It panics with a failure if an invariant is violated.

func runCampaign(seed uint64, duration time.Duration, bug injectedBug) *campaign {
	c := prepareCampaign(seed, duration, bug)
	c.run()
	return c
}

// prepareCampaign returns the campaign of a seed without running it.
func prepareCampaign(seed uint64, duration time.Duration, bug injectedBug) *campaign {
	draws := rand.New(rand.NewPCG(seed, 5))
	tolerance, machines := 1, 3+draws.IntN(4)
	if seed/4%4 == 3 {
		tolerance, machines = 2, 5+draws.IntN(4)
	}
	c := &campaign{
		simulatedCluster: startSimulatedCluster(seed, machines, tolerance),
		draws:            draws,
		end:              duration,
		maxThinkTime:     thinkTime,
	}
	c.bug = bug
	c.unordered = seed%3 == 2
	c.duels = seed%4 == 1
	c.bufferPartitioned = draws.IntN(2) == 0
	c.backToBack = draws.IntN(2) == 0
	c.oldestDiskFirst = draws.IntN(4) == 0
	c.drawLimits()
	for i := 0; i < int(seed%3); i++ {
		learner := c.addNode(false)
		c.after(100*time.Millisecond, func() { learner.start(true) })
	}
	c.onAck = func(_ *simulatedNode, id string) {
		c.lastAck = c.now
		if callback := c.onNextAck; callback != nil {
			c.onNextAck = nil
			c.after(0, callback)
		}
		c.retryLater(id)
	}
	return c
}

// drawLimits draws the limits of logs, messages and kept outcomes. With small limits, logs are compacted and snapshots
// are sent frequently.
func (c *campaign) drawLimits() {
	c.limits.retainedLogBytes = pick(c.draws, 64, 1<<10, defaultRetainedLogBytes)
	c.limits.batchBytes = pick(c.draws, 100, 1<<10, defaultBatchBytes)
	c.checkpointAt = int64(pick(c.draws, 512, 2<<10, 16<<10))
	if c.draws.IntN(4) == 0 {
		c.noRetries = true
		c.limits.deduplicationWindow = 32
	}
}

// pick returns one of the values at random.
func pick(draws *rand.Rand, values ...int) int { return values[draws.IntN(len(values))] }

// run runs the campaign and checks that the cluster recovers in the end.
func (c *campaign) run() {
	defer func() {
		if caught := recover(); caught != nil {
			if os.Getenv("TRACE") != "" {
				fmt.Println(string(debug.Stack()))
			}
			c.failf("%v", caught)
		}
	}()
	if !c.noClients {
		for i := 0; i < 3; i++ {
			c.client(i)
		}
	}
	c.monitor()
	if c.duels {
		c.after(2*time.Second, c.duel)
	}
	c.after(2*time.Second+c.randomDuration(time.Second), c.injectFault)
	c.runUntil(c.end)
	c.heal()
}

// randomDuration returns a random duration below a limit.
func (c *campaign) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// client starts a client, which proposes one command after another.
func (c *campaign) client(number int) {
	var next func()
	next = func() {
		if c.now > c.end {
			return
		}
		c.commands++
		id := fmt.Sprintf("c%d-%d", number, c.commands)
		c.attempt(id, nil, func() { c.after(c.randomDuration(c.maxThinkTime), next) })
	}
	c.after(c.randomDuration(time.Second), next)
}

// maxAttempts is the number of times that a client proposes a command before it gives up.
const maxAttempts = 6

// attempt proposes a command through one of the nodes that were attempted least often. After a second without an
// answer it proposes the command through another node.
func (c *campaign) attempt(id string, attempted []*simulatedNode, done func()) {
	if c.now > c.end {
		return
	}
	n := c.nextNode(attempted)
	if n == nil {
		c.after(50*time.Millisecond, func() { c.attempt(id, attempted, done) })
		return
	}
	finished := false
	withdraw := n.propose(id, func(chain.Outcome) {
		if !finished {
			finished = true
			done()
		}
	})
	if c.random.IntN(4) == 0 {
		n.read()
	}
	c.after(time.Second, func() {
		if finished {
			return
		}
		finished = true
		withdraw()
		attempted = append(attempted, n)
		if len(attempted) >= maxAttempts || c.noRetries {
			done()
			return
		}
		c.attempt(id, attempted, done)
	})
}

// nextNode returns a random serving node out of those attempted least often, or nil if no node serves.
func (c *campaign) nextNode(attempted []*simulatedNode) *simulatedNode {
	least := maxAttempts
	var nodes []*simulatedNode
	for _, n := range c.servingNodes() {
		times := 0
		for _, other := range attempted {
			if other == n {
				times++
			}
		}
		if times < least {
			least, nodes = times, nil
		}
		if times == least {
			nodes = append(nodes, n)
		}
	}
	if len(nodes) == 0 {
		return nil
	}
	return nodes[c.random.IntN(len(nodes))]
}

// retryLater sometimes proposes an acknowledged command again, at once or up to hundreds of commands later. The
// repetition must get the same outcome or none.
func (c *campaign) retryLater(id string) {
	if c.noRetries || c.random.IntN(16) != 0 {
		return
	}
	c.after(c.randomDuration(10*time.Second), func() {
		if nodes := c.servingNodes(); len(nodes) > 0 && c.now < c.end {
			nodes[c.random.IntN(len(nodes))].propose(id, nil)
		}
	})
}

// monitor checks the staleness bounds of all nodes every 20 ms.
func (c *campaign) monitor() {
	c.checkStaleness()
	if c.now < c.end {
		c.after(20*time.Millisecond, c.monitor)
	}
}

// duel makes several members propose views within milliseconds of each other, with or without a reason, and sometimes
// kills a member at that time.
func (c *campaign) duel() {
	if c.now > c.end {
		return
	}
	for _, n := range c.members() {
		if c.random.IntN(3) == 0 {
			continue
		}
		c.after(c.randomDuration(8*time.Millisecond), func() {
			n.handle(func() {
				if n.core.isVoter() {
					n.core.proposer.abandon(c.now, 0)
					n.core.proposeView("duel")
				}
			})
		})
	}
	if nodes := c.members(); c.random.IntN(3) == 0 && c.noFaultActive() {
		n := nodes[c.random.IntN(len(nodes))]
		c.after(c.randomDuration(16*time.Millisecond), n.kill)
		c.restart(n, 20*time.Millisecond+c.randomDuration(100*time.Millisecond))
	}
	pause := 600 * time.Millisecond
	if c.bug == bugAcceptedValueIgnored || c.bug == onlyDuels {
		pause = 60 * time.Millisecond // many duels are needed to find the bug
	}
	c.after(c.randomDuration(pause), c.duel)
}

// chainComplete reports whether the chain of the newest view has its full length and all its members run and
// have the complete prefix.
func (c *campaign) chainComplete() bool {
	newest := c.newestView()
	if newest == nil || len(newest.core.view().Chain) < 2*c.tolerance+1 {
		return false
	}
	for _, m := range newest.core.view().Chain {
		if !c.completeIn(m, newest.core.epoch()) {
			return false
		}
	}
	return true
}

// completeIn reports whether a member runs and has the complete prefix of an epoch on its disk.
func (c *campaign) completeIn(m view.Member, epoch uint64) bool {
	n := c.ownerOf(m)
	return n != nil && n.up && !n.removed && n.core.self.Same(m) && n.disk.shadow.synced == epoch
}

// noFaultActive reports whether no fault is in progress.
func (c *campaign) noFaultActive() bool {
	for _, n := range c.members() {
		if !n.up || n.paused || n.diskStalled || n.diskUnhealthy || n.diskFull {
			return false
		}
	}
	return len(c.partitions) == 0
}

// restart schedules a start of a machine's process, which is skipped if the process was started in the meantime.
func (c *campaign) restart(n *simulatedNode, after time.Duration) {
	incarnation := n.incarnation
	c.after(after, func() {
		if !n.up && !n.removed && n.incarnation <= incarnation+1 {
			n.start(false)
		}
	})
}

// heal ends all faults and checks that the cluster recovers.
func (c *campaign) heal() {
	c.healAll()
	c.unordered = false
	c.onTransfer = nil
	for _, n := range c.nodes {
		n.resume()
		n.diskStalled, n.diskSlowdown, n.partitioned = false, 1, false
		if !n.up && !n.removed && n.incarnation > 0 {
			n.start(false)
		}
	}
	c.runUntil(c.now + 5*time.Second)
	done := false
	last := c.members()[0]
	last.propose("last", func(chain.Outcome) { done = true })
	if !c.runWhile(2*time.Second, func() bool { return !done }) {
		c.failf("a command proposed after the end of all faults isn't acknowledged within 2 s")
	}
	c.runUntil(c.now + 2*time.Second)
	c.checkStaleness()
	c.checkCommands(last.stateMachine.commands)
	c.checkReplicasEqual(last)
	voters := len(last.core.view().Voters)
	enough := min(2*c.tolerance+1, len(c.members()))
	if chainLength := len(last.core.view().Chain); chainLength != voters || voters < enough {
		c.failf("after all faults the chain has %d members and the view %d voters: too few", chainLength, voters)
	}
}

// checkCommands checks that all acknowledged commands were applied, that no command was applied twice, and that no
// command was applied for which all calls reported that it never left its node.
func (c *campaign) checkCommands(commands []string) {
	positions := make(map[string]int)
	for i, command := range commands {
		if _, twice := positions[command]; twice {
			c.failf("command %s applied twice", command)
		}
		positions[command] = i
		if record := c.callers[command]; record != nil && record.calls == record.unsent {
			c.failf("command %s was applied, but all its calls reported that it never left its node", command)
		}
	}
	for id := range c.acked {
		if _, applied := positions[id]; !applied {
			c.failf("acknowledged command %s is lost", id)
		}
	}
}

// checkReplicasEqual checks that all nodes applied the same commands.
func (c *campaign) checkReplicasEqual(reference *simulatedNode) {
	for _, n := range c.nodes {
		if n.removed || n.incarnation == 0 {
			continue
		}
		if len(n.stateMachine.commands) != len(reference.stateMachine.commands) {
			c.failf("%s applied %d commands, %s %d",
				n.name, len(n.stateMachine.commands), reference.name, len(reference.stateMachine.commands))
		}
		for i, command := range reference.stateMachine.commands {
			if n.stateMachine.commands[i] != command {
				c.failf("%s and %s differ at command %d", n.name, reference.name, i)
			}
		}
	}
}
