package membership

import (
	"fmt"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/simulation"
)

// cluster is a simulated system of nodes.
type cluster struct {
	t            testing.TB
	simulation   *simulation.Simulation
	nodes        map[string]*Node
	names        []string
	incarnations map[string]uint64

	// faulty holds machines with an injected fault, so that suspicions of them are not false.
	faulty map[string]bool
	// suspicions and deaths count false suspicions and false deaths by the machine that declared or learnt of them.
	suspicions, deaths map[string]int
	// deathKnown counts, for each machine, the others that know it as Dead.
	deathKnown map[string]int
	// messages and updates count the messages sent and the updates in them.
	messages, updates int
}

// newCluster returns a cluster of machines that start within 0.3 s of each other and know three seeds.
func newCluster(t testing.TB, seed uint64, count int) *cluster {
	c := &cluster{
		t:            t,
		simulation:   simulation.New(seed),
		nodes:        make(map[string]*Node),
		incarnations: make(map[string]uint64),
		faulty:       make(map[string]bool),
		suspicions:   make(map[string]int),
		deaths:       make(map[string]int),
		deathKnown:   make(map[string]int),
	}
	c.simulation.Links.Default = simulation.Link{Delay: time.Millisecond, Jitter: 2 * time.Millisecond, Loss: 0.005}
	for i := range count {
		c.names = append(c.names, fmt.Sprintf("m%d", i))
	}
	for _, name := range c.names {
		c.simulation.After(c.simulation.Random.Between(0, 300*time.Millisecond), func() { c.start(name) })
	}
	return c
}

// start starts a machine's process.
func (c *cluster) start(name string) {
	c.incarnations[name]++
	c.simulation.Start(name)
	config := Config{
		Self:        Member{Name: name, Address: name, Role: "gateway", Zone: "z"},
		Incarnation: uint64(c.simulation.Elapsed().Milliseconds()+1)<<8 + 1,
		Seeds:       c.names[:min(3, len(c.names))],
		RandomSeed:  c.simulation.Random.Uint64(),
	}
	c.nodes[name] = New(config, c.simulation.Now())
	c.deathKnown[name] = 0
	c.tick(name)
}

// stop ends a machine's process.
func (c *cluster) stop(name string) {
	c.simulation.Stop(name)
	delete(c.nodes, name)
	c.faulty[name] = true
}

// tick calls a machine's Tick and schedules the next call.
func (c *cluster) tick(name string) {
	node := c.nodes[name]
	c.handle(name, node.Tick(c.simulation.Now()))
	c.simulation.AfterOn(name, node.Next().Sub(c.simulation.Now()), func() { c.tick(name) })
}

// handle sends the messages and counts the changes of a step.
func (c *cluster) handle(name string, output Output) {
	for _, change := range output.Changes {
		c.countChange(name, change)
	}
	for _, envelope := range output.Messages {
		c.messages++
		c.updates += len(envelope.Message.Updates)
		to := envelope.Address
		c.simulation.Send(name, to, envelope.Message, func() {
			if node, ok := c.nodes[to]; ok {
				c.handle(to, node.Receive(c.simulation.Now(), name, envelope.Message))
			}
		})
	}
}

// countChange counts false suspicions and deaths, and the machines that know of a death.
func (c *cluster) countChange(observer string, change Change) {
	name := change.Member.Name
	if change.State == Dead {
		c.deathKnown[name]++
	} else if change.Old == Dead {
		c.deathKnown[name]--
	}
	if c.faulty[name] {
		return
	}
	switch change.State {
	case Suspect:
		c.suspicions[observer]++
	case Dead:
		c.deaths[observer]++
	}
}

// total returns the sum of counts.
func total(counts map[string]int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}

// converged reports whether every running machine knows exactly the running machines as present.
func (c *cluster) converged() bool {
	var expected uint64
	for _, node := range c.nodes {
		expected ^= memberDigest(node.config.Self.Name, node.incarnation)
	}
	for _, node := range c.nodes {
		present := len(node.table.entries) - len(node.table.departed)
		if present != len(c.nodes) || len(node.table.suspects) > 0 || node.table.digest() != expected {
			return false
		}
	}
	return true
}

// runUntil runs the simulation until a condition holds and returns the time that took. It fails the test if the
// condition doesn't hold within limit.
func (c *cluster) runUntil(limit time.Duration, condition func() bool) time.Duration {
	c.t.Helper()
	start := c.simulation.Elapsed()
	for c.simulation.Elapsed()-start < limit {
		if condition() {
			return c.simulation.Elapsed() - start
		}
		c.simulation.Run(10 * time.Millisecond)
	}
	c.t.Fatalf("seed %d: condition doesn't hold within %s: %s", c.simulation.Random.Seed(), limit, c.describe())
	return 0
}

// describe returns a shortened description of each machine's table.
func (c *cluster) describe() string {
	text := ""
	for _, name := range c.names {
		if node, ok := c.nodes[name]; ok && len(text) < 500 {
			text += fmt.Sprintf("%s sees %d, health %d; ", name, node.table.ring().Len(), node.HealthScore())
		}
	}
	return text
}

// converge runs the simulation until all tables agree, and resets the counts.
func (c *cluster) converge() time.Duration {
	c.t.Helper()
	c.simulation.Run(300 * time.Millisecond)
	took := 300*time.Millisecond + c.runUntil(30*time.Second, c.converged)
	c.simulation.Run(3 * time.Second)
	c.resetCounts()
	return took
}

// resetCounts sets all counts to zero.
func (c *cluster) resetCounts() {
	clear(c.suspicions)
	clear(c.deaths)
	c.messages, c.updates = 0, 0
}

// checkNoFalseDeaths fails if a machine without a fault was declared dead.
func (c *cluster) checkNoFalseDeaths() {
	c.t.Helper()
	if total(c.deaths) > 0 {
		c.t.Errorf("seed %d: false deaths by %v", c.simulation.Random.Seed(), c.deaths)
	}
}
