package subscription

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/internal/simulation"
)

// The bounds of the settings, and the times of the simulated environment.
const (
	revoke          = 5 * time.Second
	configApply     = 2 * time.Second
	maxProofAge     = 800 * time.Millisecond  // maximum age of a control process's proof with which it confirms its state
	denyWait        = 400 * time.Millisecond  // how long a request waits for a confirmation before it is rejected
	firstWait       = 1200 * time.Millisecond // how long a request waits for the first configuration
	maxPartition    = 20 * time.Second
	maxPause        = 20 * time.Second
	maxMessageDelay = 900 * time.Millisecond // maximum delay of a message without a partition
)

// injectedBug is a bug of the simulated processes that the checks must detect.
type injectedBug string

// harness simulates gateways with real subscriptions, control processes and an operator, in virtual time.
type harness struct {
	*simulation.Simulation
	random    *simulation.Rand
	bug       injectedBug
	chain     *chainModel
	gateways  []*simGateway
	operator  operatorModel
	calm      bool
	busyShare float64 // fraction of a process's steps that take long
	slowShare float64 // fraction of messages that take long
	faults    int
}

func newHarness(seed uint64, bug injectedBug) *harness {
	sim := simulation.New(seed)
	sim.Links.Default = simulation.Link{Delay: 300 * time.Microsecond, Jitter: 3 * time.Millisecond, Ordered: true}
	h := &harness{Simulation: sim, random: sim.Random, bug: bug}
	h.busyShare, h.slowShare = 0.05, 0.01
	if seed%4 == 3 {
		h.busyShare, h.slowShare = 0.5, 0.05
	}
	h.chain = newChainModel(h, 3+2*int(seed%2))
	for range 3 + int(seed%4) {
		h.addGateway()
	}
	return h
}

func (h *harness) span(most time.Duration) time.Duration { return h.random.Between(0, most) }

// every calls run periodically.
func (h *harness) every(period time.Duration, run func()) {
	h.After(period, func() {
		run()
		h.every(period, run)
	})
}

// steadyClock is a machine's monotonic clock. It starts at a random time and has a random constant drift.
type steadyClock struct {
	harness *harness
	base    time.Time
	rate    float64
}

// clockDrift is the maximum fraction of the time that a clock gains or loses.
const clockDrift = 0.005

func (h *harness) newClock() steadyClock {
	offset := h.span(time.Hour)
	return steadyClock{h, time.Unix(1e9, 0).Add(offset), 1 + clockDrift*(2*h.random.Float64()-1)}
}

func (c *steadyClock) read() time.Time {
	return c.base.Add(time.Duration(float64(c.harness.Elapsed()) * c.rate))
}

// pipe is one direction of a connection. Messages arrive in order, possibly late, until the connection breaks.
type pipe struct {
	harness           *harness
	from, to          string
	queue             []func()
	survivesPartition bool // a partition delays messages but doesn't break the connection
	waiting           bool
	broken            bool
	slowNext          time.Duration // minimum delay of the next message
}

func (h *harness) newPipe(from, to string) *pipe {
	return &pipe{harness: h, from: from, to: to, survivesPartition: h.random.Chance(0.5)}
}

func (p *pipe) send(deliver func()) {
	p.queue = append(p.queue, deliver)
	if !p.waiting {
		p.flush()
	}
}

func (p *pipe) flush() {
	h := p.harness
	for len(p.queue) > 0 && !p.broken {
		if h.Links.Partitioned(p.from, p.to) && !p.survivesPartition {
			p.broken = true
			return
		}
		if h.Links.Partitioned(p.from, p.to) {
			p.wait(100 * time.Millisecond)
			return
		}
		deliver := p.queue[0]
		p.queue = p.queue[1:]
		if slow := max(p.slowNext, p.randomDelay()); slow > 0 {
			p.slowNext = 0
			p.deliverLate(slow, deliver)
			return
		}
		h.Send(p.from, p.to, nil, func() {
			if !p.broken {
				deliver()
			}
		})
	}
}

// randomDelay returns the additional delay of a message, which is usually 0.
func (p *pipe) randomDelay() time.Duration {
	if p.harness.random.Chance(p.harness.slowShare) {
		return p.harness.span(maxMessageDelay)
	}
	return 0
}

// deliverLate delivers a message after a delay, even if a partition begins meanwhile. Later messages wait.
func (p *pipe) deliverLate(length time.Duration, deliver func()) {
	p.harness.AfterOn(p.to, length, func() {
		if !p.broken {
			deliver()
		}
	})
	p.wait(length)
}

func (p *pipe) wait(length time.Duration) {
	p.waiting = true
	p.harness.After(length, func() {
		p.waiting = false
		p.flush()
	})
}

// partitionBetween partitions two machines for a time: in both directions if way is 0, only from b to a if it is
// 1, only from a to b if it is 2.
func (h *harness) partitionBetween(a, b string, way int, length time.Duration) {
	if way != 1 {
		h.partitionFor(a, b, length)
	}
	if way != 2 {
		h.partitionFor(b, a, length)
	}
}

func (h *harness) partitionFor(from, to string, length time.Duration) {
	h.Links.Partition(from, to)
	h.After(length, func() { h.Links.Heal(from, to) })
}

func (h *harness) failf(format string, values ...any) {
	panic(fmt.Sprintf("at %v ", h.Elapsed()) + fmt.Sprintf(format, values...))
}
