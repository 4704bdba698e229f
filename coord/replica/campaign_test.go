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
const catchUp = 4800 * time.Millisecond

// thinkTime is the longest pause of a client between two orders, and busyTime that in a burst.
const (
	thinkTime = 150 * time.Millisecond
	busyTime  = 4 * time.Millisecond
)

// campaign is one world under random load and faults.
type campaign struct {
	*world
	draws  *rand.Rand // of the world's kind, apart from what happens in it
	orders int
	probes int
	end    time.Duration // no faults and no new orders after this
	think  time.Duration

	faults int
	duels  bool   // proposers meet all the time
	silent bool   // without the usual clients
	eager  bool   // the next loss comes as soon as the chain is whole
	oldest bool   // the disk that has lasted longest is lost next
	only   string // the only hazard; all, where it is empty

	lastAck time.Duration
	onAcks  func() // called once at the next acknowledgement
}

func runCampaign(seed uint64, duration time.Duration, planted plant) *campaign {
	c := prepareCampaign(seed, duration, planted)
	c.run()
	return c
}

// prepareCampaign makes a world that has yet to be run.
func prepareCampaign(seed uint64, duration time.Duration, planted plant) *campaign {
	draws := rand.New(rand.NewPCG(seed, 5))
	tolerance, machines := 1, 3+draws.IntN(4)
	if seed/4%4 == 3 {
		tolerance, machines = 2, 5+draws.IntN(4)
	}
	c := &campaign{world: startedWorld(seed, machines, tolerance), draws: draws, end: duration, think: thinkTime}
	c.plant = planted
	c.unordered = seed%3 == 2
	c.duels = seed%4 == 1
	c.holding = draws.IntN(2) == 0
	c.eager = draws.IntN(2) == 0
	c.oldest = draws.IntN(4) == 0
	c.drawLimits()
	for i := 0; i < int(seed%3); i++ {
		observer := c.addNode(false)
		c.after(100*time.Millisecond, func() { observer.start(true) })
	}
	c.onAck = func(_ *simulatedNode, id string) {
		c.lastAck = c.now
		if act := c.onAcks; act != nil {
			c.onAcks = nil
			c.after(0, act)
		}
		c.resendLater(id)
	}
	return c
}

// drawLimits draws how soon logs and disks are compacted and how much is remembered. Small bounds have them compacted all the time.
func (c *campaign) drawLimits() {
	c.limits.retainedLogBytes = pick(c.draws, 64, 1<<10, defaultRetainedLogBytes)
	c.limits.batchBytes = pick(c.draws, 100, 1<<10, defaultBatchBytes)
	c.compactAt = int64(pick(c.draws, 512, 2<<10, 16<<10))
	if c.draws.IntN(4) == 0 {
		c.onlyOnce = true
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
	if !c.silent {
		for i := 0; i < 3; i++ {
			c.client(i)
		}
	}
	c.watch()
	if c.duels {
		c.after(2*time.Second, c.duel)
	}
	c.after(2*time.Second+c.span(time.Second), c.fault)
	c.runUntil(c.end)
	c.heal()
}

func (c *campaign) span(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// client proposes orders one after the other, and sends one again elsewhere when it gets no answer.
func (c *campaign) client(number int) {
	var next func()
	next = func() {
		if c.now > c.end {
			return
		}
		c.orders++
		id := fmt.Sprintf("c%d-%d", number, c.orders)
		c.try(id, nil, func() { c.after(c.span(c.think), next) })
	}
	c.after(c.span(time.Second), next)
}

// maxTries is how often a client sends one order before it gives it up.
const maxTries = 6

// try sends an order through a node that hasn't had it yet, and after a second without an answer through another one.
func (c *campaign) try(id string, tried []*simulatedNode, done func()) {
	if c.now > c.end {
		return
	}
	n := c.elsewhere(tried)
	if n == nil {
		c.after(50*time.Millisecond, func() { c.try(id, tried, done) })
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
		tried = append(tried, n)
		if len(tried) >= maxTries || c.onlyOnce {
			done()
			return
		}
		c.try(id, tried, done)
	})
}

// elsewhere draws a node that serves, of those that were tried least often; nil where none serves.
func (c *campaign) elsewhere(tried []*simulatedNode) *simulatedNode {
	least := maxTries
	var nodes []*simulatedNode
	for _, n := range c.serving() {
		times := 0
		for _, other := range tried {
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
func (c *campaign) resendLater(id string) {
	if c.onlyOnce || c.random.IntN(16) != 0 {
		return
	}
	c.after(c.span(10*time.Second), func() {
		if nodes := c.serving(); len(nodes) > 0 && c.now < c.end {
			nodes[c.random.IntN(len(nodes))].propose(id, nil)
		}
	})
}

func (c *campaign) watch() {
	c.checkFresh()
	if c.now < c.end {
		c.after(20*time.Millisecond, c.watch)
	}
}

// duel has several members propose views within milliseconds, whether there is a need or not, and
// ends one of them in the midst of it.
func (c *campaign) duel() {
	if c.now > c.end {
		return
	}
	for _, n := range c.machines() {
		if c.random.IntN(3) == 0 {
			continue
		}
		c.after(c.span(8*time.Millisecond), func() {
			n.handle(func() {
				if n.core.isVoter() {
					n.core.proposer.abandon(c.now, 0)
					n.core.proposeView("duel")
				}
			})
		})
	}
	if nodes := c.machines(); c.random.IntN(3) == 0 && c.allUp() {
		n := nodes[c.random.IntN(len(nodes))]
		c.after(c.span(16*time.Millisecond), n.kill)
		c.restart(n, 20*time.Millisecond+c.span(100*time.Millisecond))
	}
	pause := 600 * time.Millisecond
	if c.plant == plantSkipRepair || c.plant == plantOnlyDuels {
		pause = 60 * time.Millisecond // it takes many duels
	}
	c.after(c.span(pause), c.duel)
}

// settled reports whether the newest view has its voters among the machines that run, and its whole
// chain holds the prefix.
func (c *campaign) settled() bool {
	newest := c.newest()
	if newest == nil || len(newest.core.view().Chain) < 2*c.tolerance+1 {
		return false
	}
	for _, m := range newest.core.view().Chain {
		if !c.wholeIn(m, newest.core.epoch()) {
			return false
		}
	}
	return true
}

// wholeIn reports whether a member runs and holds, on its disk, the prefix of an epoch.
func (c *campaign) wholeIn(m view.Member, epoch uint64) bool {
	n := c.holder(m)
	return n != nil && n.up && !n.gone && n.core.self.Same(m) && n.disk.shadow.synced == epoch
}

// allUp reports whether no fault is under way.
func (c *campaign) allUp() bool {
	for _, n := range c.machines() {
		if !n.up || n.frozen || n.stalled || n.ailing || n.full {
			return false
		}
	}
	return len(c.cuts) == 0
}

func (c *campaign) restart(n *simulatedNode, after time.Duration) {
	life := n.life
	c.after(after, func() {
		if !n.up && !n.gone && n.life <= life+1 {
			n.start(false)
		}
	})
}

// heal ends all troubles and checks that the world comes together.
func (c *campaign) heal() {
	c.mendAll()
	c.unordered = false
	c.onCopy = nil
	for _, n := range c.nodes {
		n.thaw()
		n.stalled, n.slow, n.cutOff = false, 1, false
		if !n.up && !n.gone && n.life > 0 {
			n.start(false)
		}
	}
	c.runUntil(c.now + 5*time.Second)
	done := false
	last := c.machines()[0]
	last.propose("last", func(chain.Outcome) { done = true })
	if !c.runWhile(2*time.Second, func() bool { return !done }) {
		c.failf("no order is acknowledged after all troubles")
	}
	c.runUntil(c.now + 2*time.Second)
	c.checkFresh()
	c.checkOrders(last.machine.orders)
	c.checkAlike(last)
	voters := len(last.core.view().Voters)
	if chainLength := len(last.core.view().Chain); chainLength != voters || voters < min(2*c.tolerance+1, len(c.machines())) {
		c.failf("after all troubles the chain has %d members, %d voters", chainLength, voters)
	}
}

// checkOrders checks that what was acknowledged is there, each order once, and none that was surely not taken.
func (c *campaign) checkOrders(orders []string) {
	positions := make(map[string]int)
	for i, command := range orders {
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
func (c *campaign) checkAlike(reference *simulatedNode) {
	for _, n := range c.nodes {
		if n.gone || n.life == 0 {
			continue
		}
		if len(n.machine.orders) != len(reference.machine.orders) {
			c.failf("%s applied %d orders, %s %d", n.name, len(n.machine.orders), reference.name, len(reference.machine.orders))
		}
		for i, command := range reference.machine.orders {
			if n.machine.orders[i] != command {
				c.failf("%s and %s differ at %d", n.name, reference.name, i)
			}
		}
	}
}
