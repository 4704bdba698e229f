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

// catchUp is the time after which a machine that is back counts as whole again.
const catchUpTime = 4800 * time.Millisecond

// thinkTime is the longest pause of a client between two orders, and busyTime that in a burst.
const (
	thinkTime     = 150 * time.Millisecond
	busyThinkTime = 4 * time.Millisecond
)

// campaign is one world under random load and faults.
type campaign struct {
	*simulatedCluster
	draws        *rand.Rand // of the world's kind, apart from what happens in it
	commands     int
	probes       int
	end          time.Duration // no faults and no new orders after this
	maxThinkTime time.Duration

	faults          int
	duels           bool   // proposers meet all the time
	noClients       bool   // without the usual clients
	backToBack      bool   // the next loss comes as soon as the chain is whole
	oldestDiskFirst bool   // the disk that has lasted longest is lost next
	onlyFault       string // the only hazard; all, where it is empty

	lastAck   time.Duration
	onNextAck func() // called once at the next acknowledgement
}

func runCampaign(seed uint64, duration time.Duration, bug injectedBug) *campaign {
	c := prepareCampaign(seed, duration, bug)
	c.run()
	return c
}

// prepareCampaign makes a world that has yet to be run.
func prepareCampaign(seed uint64, duration time.Duration, bug injectedBug) *campaign {
	draws := rand.New(rand.NewPCG(seed, 5))
	tolerance, machines := 1, 3+draws.IntN(4)
	if seed/4%4 == 3 {
		tolerance, machines = 2, 5+draws.IntN(4)
	}
	c := &campaign{simulatedCluster: startSimulatedCluster(seed, machines, tolerance), draws: draws, end: duration, maxThinkTime: thinkTime}
	c.bug = bug
	c.unordered = seed%3 == 2
	c.duels = seed%4 == 1
	c.bufferPartitioned = draws.IntN(2) == 0
	c.backToBack = draws.IntN(2) == 0
	c.oldestDiskFirst = draws.IntN(4) == 0
	c.drawLimits()
	for i := 0; i < int(seed%3); i++ {
		observer := c.addNode(false)
		c.after(100*time.Millisecond, func() { observer.start(true) })
	}
	c.onAck = func(_ *simulatedNode, id string) {
		c.lastAck = c.now
		if act := c.onNextAck; act != nil {
			c.onNextAck = nil
			c.after(0, act)
		}
		c.retryLater(id)
	}
	return c
}

// drawLimits draws how soon logs and disks are compacted and how much is remembered. Small bounds have them compacted all the time.
func (c *campaign) drawLimits() {
	c.limits.retainedLogBytes = pick(c.draws, 64, 1<<10, defaultRetainedLogBytes)
	c.limits.batchBytes = pick(c.draws, 100, 1<<10, defaultBatchBytes)
	c.checkpointAt = int64(pick(c.draws, 512, 2<<10, 16<<10))
	if c.draws.IntN(4) == 0 {
		c.noRetries = true
		c.limits.deduplicationWindow = 32
	}
}

func pick(draws *rand.Rand, values ...int) int { return values[draws.IntN(len(values))] }

// run plays the world and checks that it comes together in the end.
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

func (c *campaign) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// client proposes orders one after the other, and sends one again elsewhere when it gets no answer.
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

// maxTries is how often a client sends one order before it gives it up.
const maxAttempts = 6

// try sends an order through a node that hasn't had it yet, and after a second without an answer through another one.
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

// elsewhere draws a node that serves, of those that were tried least often; nil where none serves.
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

// resendLater now and then sends an acknowledged order again, at once or hundreds of orders later: it gets the same answer or none.
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

func (c *campaign) monitor() {
	c.checkStaleness()
	if c.now < c.end {
		c.after(20*time.Millisecond, c.monitor)
	}
}

// duel has several members propose views within milliseconds, whether there is a need or not, and
// ends one of them in the midst of it.
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
		pause = 60 * time.Millisecond // it takes many duels
	}
	c.after(c.randomDuration(pause), c.duel)
}

// settled reports whether the newest view has its voters among the machines that run, and its whole
// chain holds the prefix.
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

// wholeIn reports whether a member runs and holds, on its disk, the prefix of an epoch.
func (c *campaign) completeIn(m view.Member, epoch uint64) bool {
	n := c.ownerOf(m)
	return n != nil && n.up && !n.removed && n.core.self.Same(m) && n.disk.shadow.synced == epoch
}

// allUp reports whether no fault is under way.
func (c *campaign) noFaultActive() bool {
	for _, n := range c.members() {
		if !n.up || n.paused || n.diskStalled || n.diskUnhealthy || n.diskFull {
			return false
		}
	}
	return len(c.partitions) == 0
}

func (c *campaign) restart(n *simulatedNode, after time.Duration) {
	incarnation := n.incarnation
	c.after(after, func() {
		if !n.up && !n.removed && n.incarnation <= incarnation+1 {
			n.start(false)
		}
	})
}

// heal ends all troubles and checks that the world comes together.
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
		c.failf("no order is acknowledged after all troubles")
	}
	c.runUntil(c.now + 2*time.Second)
	c.checkStaleness()
	c.checkCommands(last.stateMachine.commands)
	c.checkReplicasEqual(last)
	voters := len(last.core.view().Voters)
	if chainLength := len(last.core.view().Chain); chainLength != voters || voters < min(2*c.tolerance+1, len(c.members())) {
		c.failf("after all troubles the chain has %d members, %d voters", chainLength, voters)
	}
}

// checkOrders checks that what was acknowledged is there, each order once, and none that was surely not taken.
func (c *campaign) checkCommands(commands []string) {
	positions := make(map[string]int)
	for i, command := range commands {
		if _, twice := positions[command]; twice {
			c.failf("order %s applied twice", command)
		}
		positions[command] = i
		if of := c.callers[command]; of != nil && of.calls == of.unsent {
			c.failf("order %s was applied, and its caller was told that it was not taken", command)
		}
	}
	for id := range c.acked {
		if _, held := positions[id]; !held {
			c.failf("acknowledged order %s is lost", id)
		}
	}
}

// checkAlike checks that all nodes applied the same.
func (c *campaign) checkReplicasEqual(reference *simulatedNode) {
	for _, n := range c.nodes {
		if n.removed || n.incarnation == 0 {
			continue
		}
		if len(n.stateMachine.commands) != len(reference.stateMachine.commands) {
			c.failf("%s applied %d orders, %s %d", n.name, len(n.stateMachine.commands), reference.name, len(reference.stateMachine.commands))
		}
		for i, command := range reference.stateMachine.commands {
			if n.stateMachine.commands[i] != command {
				c.failf("%s and %s differ at %d", n.name, reference.name, i)
			}
		}
	}
}
