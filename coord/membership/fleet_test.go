package membership

import (
	"fmt"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/simulation"
)

// fleet is a simulated system of nodes.
type fleet struct {
	t     testing.TB
	world *simulation.Simulation
	nodes map[string]*Node
	names []string
	lives map[string]uint64

	// excused holds machines that are not well, so that accusations of them are not false.
	excused map[string]bool
	// suspicions and deaths count false accusations by accuser.
	suspicions, deaths map[string]int
	// knows counts, for each machine, the others for which it is dead.
	knows map[string]int
	// traffic
	messages, updates int
}

// newFleet returns a fleet of machines that start within 0.3 s of each other and know three seeds.
func newFleet(t testing.TB, seed uint64, count int) *fleet {
	f := &fleet{
		t:          t,
		world:      simulation.New(seed),
		nodes:      make(map[string]*Node),
		lives:      make(map[string]uint64),
		excused:    make(map[string]bool),
		suspicions: make(map[string]int),
		deaths:     make(map[string]int),
		knows:      make(map[string]int),
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
func (f *fleet) start(name string) {
	f.lives[name]++
	f.world.Start(name)
	config := Config{
		Self:        Member{Name: name, Address: name, Role: "gateway", Zone: "z"},
		Incarnation: uint64(f.world.Elapsed().Milliseconds()+1)<<8 + 1,
		Seeds:       f.names[:min(3, len(f.names))],
		Seed:        f.world.Random.Uint64(),
	}
	f.nodes[name] = New(config, f.world.Now())
	f.knows[name] = 0
	f.tick(name)
}

// stop ends a machine's process.
func (f *fleet) stop(name string) {
	f.world.Stop(name)
	delete(f.nodes, name)
	f.excused[name] = true
}

// tick runs a machine's timer, now and whenever it is due.
func (f *fleet) tick(name string) {
	node := f.nodes[name]
	f.handle(name, node.Tick(f.world.Now()))
	f.world.AfterOn(name, node.Next().Sub(f.world.Now()), func() { f.tick(name) })
}

// handle sends messages and counts changes.
func (f *fleet) handle(name string, output Output) {
	for _, change := range output.Changes {
		f.count(name, change)
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
func (f *fleet) count(observer string, change Change) {
	name := change.Member.Name
	if change.State == Dead {
		f.knows[name]++
	} else if change.Old == Dead {
		f.knows[name]--
	}
	if f.excused[name] {
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
func (f *fleet) agreed() bool {
	var expected uint64
	for _, node := range f.nodes {
		expected ^= sumOf(node.config.Self.Name, node.incarnation)
	}
	for _, node := range f.nodes {
		present := len(node.table.entries) - len(node.table.gone)
		if present != len(f.nodes) || len(node.table.suspects) > 0 || node.table.digest() != expected {
			return false
		}
	}
	return true
}

// until runs the world until a condition holds and returns how long that took.
func (f *fleet) until(limit time.Duration, condition func() bool) time.Duration {
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
func (f *fleet) describe() string {
	text := ""
	for _, name := range f.names {
		if node, ok := f.nodes[name]; ok && len(text) < 500 {
			text += fmt.Sprintf("%s sees %d, health %d; ", name, node.table.ring().Len(), node.Health())
		}
	}
	return text
}

// settle runs the world until all agree, and forgets what was counted.
func (f *fleet) settle() time.Duration {
	f.t.Helper()
	f.world.Run(300 * time.Millisecond)
	took := 300*time.Millisecond + f.until(30*time.Second, f.agreed)
	f.world.Run(3 * time.Second)
	f.forget()
	return took
}

// forget forgets what was counted.
func (f *fleet) forget() {
	clear(f.suspicions)
	clear(f.deaths)
	f.messages, f.updates = 0, 0
}

// noFalseDeath fails if a machine that is well was declared dead.
func (f *fleet) noFalseDeath() {
	f.t.Helper()
	if total(f.deaths) > 0 {
		f.t.Errorf("seed %d: false deaths by %v", f.world.Random.Seed(), f.deaths)
	}
}
