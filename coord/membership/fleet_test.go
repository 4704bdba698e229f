package membership

import (
	"fmt"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/simulation"
)

// fleet is a simulated system of nodes.
type cluster struct {
	t            testing.TB
	world        *simulation.Simulation
	nodes        map[string]*Node
	names        []string
	incarnations map[string]uint64

	// excused holds machines that are not well, so that accusations of them are not false.
	faulty map[string]bool
	// suspicions and deaths count false accusations by accuser.
	suspicions, deaths map[string]int
	// knows counts, for each machine, the others for which it is dead.
	deathKnown map[string]int
	// traffic
	messages, updates int
}

// newFleet returns a fleet of machines that start within 0.3 s of each other and know three seeds.
func newCluster(t testing.TB, seed uint64, count int) *cluster {
	f := &cluster{
		t:            t,
		world:        simulation.New(seed),
		nodes:        make(map[string]*Node),
		incarnations: make(map[string]uint64),
		faulty:       make(map[string]bool),
		suspicions:   make(map[string]int),
		deaths:       make(map[string]int),
		deathKnown:   make(map[string]int),
	}
	f.world.Links.Default = simulation.Link{Delay: time.Millisecond, Jitter: 2 * time.Millisecond, Loss: 0.005}
	for i := range count {
		f.names = append(f.names, fmt.Sprintf("m%d", i))
	}
	for _, name := range f.names {
		f.world.After(f.world.Random.Between(0, 300*time.Millisecond), func() { f.start(name) })
	}
	return f
}

// start starts a machine's process.
func (f *cluster) start(name string) {
	f.incarnations[name]++
	f.world.Start(name)
	config := Config{
		Self:        Member{Name: name, Address: name, Role: "gateway", Zone: "z"},
		Incarnation: uint64(f.world.Elapsed().Milliseconds()+1)<<8 + 1,
		Seeds:       f.names[:min(3, len(f.names))],
		RandomSeed:  f.world.Random.Uint64(),
	}
	f.nodes[name] = New(config, f.world.Now())
	f.deathKnown[name] = 0
	f.tick(name)
}

// stop ends a machine's process.
func (f *cluster) stop(name string) {
	f.world.Stop(name)
	delete(f.nodes, name)
	f.faulty[name] = true
}

// tick runs a machine's timer, now and whenever it is due.
func (f *cluster) tick(name string) {
	node := f.nodes[name]
	f.handle(name, node.Tick(f.world.Now()))
	f.world.AfterOn(name, node.Next().Sub(f.world.Now()), func() { f.tick(name) })
}

// handle sends messages and counts changes.
func (f *cluster) handle(name string, output Output) {
	for _, change := range output.Changes {
		f.countChange(name, change)
	}
	for _, envelope := range output.Messages {
		f.messages++
		f.updates += len(envelope.Message.Updates)
		to := envelope.Address
		f.world.Send(name, to, envelope.Message, func() {
			if node, ok := f.nodes[to]; ok {
				f.handle(to, node.Receive(f.world.Now(), name, envelope.Message))
			}
		})
	}
}

// count counts false accusations and who knows of a death.
func (f *cluster) countChange(observer string, change Change) {
	name := change.Member.Name
	if change.State == Dead {
		f.deathKnown[name]++
	} else if change.Old == Dead {
		f.deathKnown[name]--
	}
	if f.faulty[name] {
		return
	}
	switch change.State {
	case Suspect:
		f.suspicions[observer]++
	case Dead:
		f.deaths[observer]++
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

// agreed tells whether every running machine knows exactly the running machines as present.
func (f *cluster) converged() bool {
	var expected uint64
	for _, node := range f.nodes {
		expected ^= memberDigest(node.config.Self.Name, node.incarnation)
	}
	for _, node := range f.nodes {
		present := len(node.table.entries) - len(node.table.departed)
		if present != len(f.nodes) || len(node.table.suspects) > 0 || node.table.digest() != expected {
			return false
		}
	}
	return true
}

// until runs the world until a condition holds and returns how long that took.
func (f *cluster) runUntil(limit time.Duration, condition func() bool) time.Duration {
	f.t.Helper()
	start := f.world.Elapsed()
	for f.world.Elapsed()-start < limit {
		if condition() {
			return f.world.Elapsed() - start
		}
		f.world.Run(10 * time.Millisecond)
	}
	f.t.Fatalf("seed %d: not within %s: %s", f.world.Random.Seed(), limit, f.describe())
	return 0
}

// describe tells who disagrees.
func (f *cluster) describe() string {
	text := ""
	for _, name := range f.names {
		if node, ok := f.nodes[name]; ok && len(text) < 500 {
			text += fmt.Sprintf("%s sees %d, health %d; ", name, node.table.ring().Len(), node.HealthScore())
		}
	}
	return text
}

// settle runs the world until all agree, and forgets what was counted.
func (f *cluster) converge() time.Duration {
	f.t.Helper()
	f.world.Run(300 * time.Millisecond)
	took := 300*time.Millisecond + f.runUntil(30*time.Second, f.converged)
	f.world.Run(3 * time.Second)
	f.resetCounts()
	return took
}

// forget forgets what was counted.
func (f *cluster) resetCounts() {
	clear(f.suspicions)
	clear(f.deaths)
	f.messages, f.updates = 0, 0
}

// noFalseDeath fails if a machine that is well was declared dead.
func (f *cluster) noFalseDeath() {
	f.t.Helper()
	if total(f.deaths) > 0 {
		f.t.Errorf("seed %d: false deaths by %v", f.world.Random.Seed(), f.deaths)
	}
}
