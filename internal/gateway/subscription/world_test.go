package subscription

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/internal/simulation"
)

// The sites' bounds, and the times of what lies around a subscription.
const (
	revoke       = 5 * time.Second
	configApply  = 2 * time.Second
	freshMost    = 800 * time.Millisecond  // of control's proof, where it vouches
	denyWait     = 400 * time.Millisecond  // that a request waits for control's word before it is refused
	firstWait    = 1200 * time.Millisecond // and for the first configuration
	longestCut   = 20 * time.Second
	longestSleep = 20 * time.Second
	longestDelay = 900 * time.Millisecond // of a message, where the path isn't cut
)

// plant is a bug of the harness that the checks must find.
type plant string

// world is gateways with the real subscriptions, control processes and an operator, in virtual time.
type world struct {
	*simulation.Simulation
	random   *simulation.Rand
	plant    plant
	core     *core
	gateways []*simGateway
	truth    truth
	calm     bool
	busy     float64 // share of steps that take long
	slow     float64 // share of messages that do
	troubles int
}

func newWorld(seed uint64, bug plant) *world {
	sim := simulation.New(seed)
	sim.Links.Default = simulation.Link{Delay: 300 * time.Microsecond, Jitter: 3 * time.Millisecond, Ordered: true}
	w := &world{Simulation: sim, random: sim.Random, plant: bug}
	w.busy, w.slow = 0.05, 0.01
	if seed%4 == 3 {
		w.busy, w.slow = 0.5, 0.05
	}
	w.core = newCore(w, 3+2*int(seed%2))
	for range 3 + int(seed%4) {
		w.addGateway()
	}
	return w
}

func (w *world) span(most time.Duration) time.Duration { return w.random.Between(0, most) }

// every runs something again and again.
func (w *world) every(period time.Duration, run func()) {
	w.After(period, func() {
		run()
		w.every(period, run)
	})
}

// steadyClock is a machine's: it begins anywhere and gains or loses a little.
type steadyClock struct {
	world *world
	base  time.Time
	pace  float64
}

// clockDrift is how much a clock gains or loses at most.
const clockDrift = 0.005

func (w *world) newClock() steadyClock {
	offset := w.span(time.Hour)
	return steadyClock{w, time.Unix(1e9, 0).Add(offset), 1 + clockDrift*(2*w.random.Float64()-1)}
}

func (c *steadyClock) read() time.Time {
	return c.base.Add(time.Duration(float64(c.world.Elapsed()) * c.pace))
}

// pipe is one direction of a connection: what is sent comes in order, late, or the connection is broken.
type pipe struct {
	world    *world
	from, to string
	queue    []func()
	patient  bool // outlives a cut
	waits    bool
	broken   bool
	slowNext time.Duration // that the next message takes
}

func (w *world) newPipe(from, to string) *pipe {
	return &pipe{world: w, from: from, to: to, patient: w.random.Chance(0.5)}
}

func (p *pipe) send(deliver func()) {
	p.queue = append(p.queue, deliver)
	if !p.waits {
		p.flush()
	}
}

func (p *pipe) flush() {
	w := p.world
	for len(p.queue) > 0 && !p.broken {
		if w.Links.Partitioned(p.from, p.to) && !p.patient {
			p.broken = true
			return
		}
		if w.Links.Partitioned(p.from, p.to) {
			p.wait(100 * time.Millisecond)
			return
		}
		deliver := p.queue[0]
		p.queue = p.queue[1:]
		if slow := max(p.slowNext, p.slowly()); slow > 0 {
			p.slowNext = 0
			p.carry(slow, deliver)
			return
		}
		w.Send(p.from, p.to, nil, func() {
			if !p.broken {
				deliver()
			}
		})
	}
}

// slowly gives what a message takes beside the usual: mostly nothing.
func (p *pipe) slowly() time.Duration {
	if p.world.random.Chance(p.world.slow) {
		return p.world.span(longestDelay)
	}
	return 0
}

// carry has a message on its way for long: it comes even if the path is cut meanwhile, and what follows waits.
func (p *pipe) carry(length time.Duration, deliver func()) {
	p.world.AfterOn(p.to, length, func() {
		if !p.broken {
			deliver()
		}
	})
	p.wait(length)
}

func (p *pipe) wait(length time.Duration) {
	p.waits = true
	p.world.After(length, func() {
		p.waits = false
		p.flush()
	})
}

// cutBetween cuts two machines, both ways or one way, for a time.
func (w *world) cutBetween(one, other string, way int, length time.Duration) {
	if way != 1 {
		w.cutFor(one, other, length)
	}
	if way != 2 {
		w.cutFor(other, one, length)
	}
}

func (w *world) cutFor(from, to string, length time.Duration) {
	w.Links.Partition(from, to)
	w.After(length, func() { w.Links.Heal(from, to) })
}

func (w *world) failf(format string, values ...any) {
	panic(fmt.Sprintf("at %v ", w.Elapsed()) + fmt.Sprintf(format, values...))
}
