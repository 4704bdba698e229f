package storm

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulation simulates gateways with guards, and members, in virtual time: each member is a queue with one server,
// and a gateway sends what its guard admits to the shortest queue of a few. All else that a gateway does is left
// out.
type simulation struct {
	now          Time
	rng          *rand.Rand
	events       events
	serial       int
	guards       []*Guard
	generation   []int
	guarded      bool
	alternatives []admissionControl // of each gateway, instead of guards; nil: none
	members      []member
	arrivalRate  float64 // first attempts a second
	partitioned  bool    // gateways receive no messages of each other

	retryPolicy retryPolicy
	honorRatio  float64
	markRetries bool
	patience    time.Duration
	accounts    int

	offered, inTime []float64 // value of first attempts, by the second in which they were made
	phases          []Phase   // of the first guard
	retries         [2]int    // retries that guards recognized, and that they didn't
	peakOverload    float64
	t               *testing.T
}

// test returns the test that the simulation is of, if it was set.
func (w *simulation) test() *testing.T { return w.t }

// member is a pool member.
type member struct {
	up, hung bool
	started  Time
	freeAt   Time
	sends    []Time
}

// retryPolicy is how clients retry: exponential backoff with jitter.
type retryPolicy struct {
	first  time.Duration
	factor float64
	max    time.Duration
	jitter float64
}

var retryPolicies = map[string]retryPolicy{
	"immediate": {100 * time.Millisecond, 1, 100 * time.Millisecond, 0},
	"fixed":     {time.Second, 1, time.Second, 0},
	"doubling":  {200 * time.Millisecond, 2, 5 * time.Second, 0},
	"jittered":  {200 * time.Millisecond, 2, 5 * time.Second, 1},
}

const (
	latencyTarget   = 1200 * time.Millisecond
	deadline        = 4 * time.Second
	capacity        = 10.0 // a second, of a warm member
	warmUpTime      = 16 * time.Second
	initialWarmth   = 0.18
	simulationStart = time.Hour
)

var classes = []Class{
	{LatencyTarget: latencyTarget, Value: 1},
	{LatencyTarget: latencyTarget, Value: 3, NonIdempotent: true},
}

// newSimulation returns a simulation with a load that is a ratio of the members' capacity.
func newSimulation(seed uint64, gateways, members int, load float64) *simulation {
	w := &simulation{now: simulationStart, rng: rand.New(rand.NewPCG(seed, 1)),
		arrivalRate: load * float64(members) * capacity, guarded: true,
		retryPolicy: retryPolicies["fixed"], honorRatio: 0.5, markRetries: true, patience: 15 * time.Second, accounts: 60}
	for range members {
		w.members = append(w.members, member{up: true})
	}
	w.guards, w.generation = make([]*Guard, gateways), make([]int, gateways)
	for i := range gateways {
		w.restartGuard(i)
	}
	return w
}

// restartGuard starts a gateway's guard, or replaces it by a new one.
func (w *simulation) restartGuard(i int) {
	w.generation[i]++
	life := w.generation[i]
	w.guards[i] = New(Options{Self: i, Gateways: len(w.guards), Seed: uint64(i), Classes: classes,
		Prices: []float64{1.2, 1.6}, MaxRetryAfter: 8 * time.Second, ConnectionRate: 200})
	var tick func()
	tick = func() {
		if w.generation[i] != life {
			return
		}
		w.after(TickInterval, tick)
		seen := Members{}
		for k := range w.members {
			m := &w.members[k]
			seen.Listed++
			seen.Warmth += w.warmth(m)
			if m.hung && len(m.sends) > 0 && w.now-m.sends[0] > latencyTarget/2 {
				seen.Overdue += len(m.sends)
			}
		}
		seen.Warmth /= float64(max(seen.Listed, 1))
		message := w.guards[i].Tick(w.now, seen)
		if p, _ := w.guards[i].State(); i == 0 && (len(w.phases) == 0 || w.phases[len(w.phases)-1] != p) {
			w.phases = append(w.phases, p)
		}
		for to := range w.guards {
			if to != i && message != nil && !w.partitioned {
				w.after(5*time.Millisecond, func() { w.guards[to].Receive(w.now, i, message) })
			}
		}
	}
	w.after(time.Duration(w.rng.Int64N(int64(TickInterval))), tick)
}

// warmth returns the fraction of its capacity that a member has.
func (w *simulation) warmth(m *member) float64 {
	if m.started == 0 || w.now-m.started >= warmUpTime {
		return 1
	}
	return initialWarmth + (1-initialWarmth)*(w.now-m.started).Seconds()/warmUpTime.Seconds()
}

// client is one piece of work with all its attempts.
type client struct {
	arrival          Arrival
	startedAt        Time
	attempts         int
	honorsRetryAfter bool
	gateway          int
}

// runLoad runs the simulation for some time with first attempts at a multiple of the usual rate.
func (w *simulation) runLoad(length time.Duration, times float64) {
	end := w.now + length
	var next func()
	next = func() {
		if w.now >= end {
			return
		}
		w.firstAttempt(Arrival{Account: uint64(w.rng.IntN(w.accounts)), Class: w.rng.IntN(2), Plan: w.rng.IntN(2),
			Units: float64(1 + w.rng.IntN(4))})
		w.after(time.Duration(w.rng.ExpFloat64()/(times*w.arrivalRate)*float64(time.Second)), next)
	}
	w.after(0, next)
	w.run(end)
}

// run executes the events before a time.
func (w *simulation) run(until Time) {
	for len(w.events) > 0 && w.events[0].at < until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// firstAttempt starts a client.
func (w *simulation) firstAttempt(a Arrival) {
	c := &client{arrival: a, startedAt: w.now, honorsRetryAfter: w.rng.Float64() < w.honorRatio,
		gateway: w.rng.IntN(len(w.guards))}
	w.addValue(&w.offered, c)
	w.attempt(c)
}

// addValue adds a client's value to the second in which it started.
func (w *simulation) addValue(to *[]float64, c *client) {
	s := int((c.startedAt - simulationStart) / time.Second)
	for len(*to) <= s {
		*to = append(*to, 0)
	}
	(*to)[s] += classes[c.arrival.Class].Value * []float64{1.2, 1.6}[c.arrival.Plan]
}

// attempt makes an attempt of a client's, and retries it if it fails.
func (w *simulation) attempt(c *client) {
	c.attempts++
	c.arrival.MarkedRetry = w.markRetries && c.attempts > 1
	g, life, v := w.guards[c.gateway], w.generation[c.gateway], Decision{Admit: true}
	if w.alternatives != nil {
		v = Decision{Admit: w.alternatives[c.gateway].admit(c.arrival.MarkedRetry), RetryAfter: time.Second}
	}
	if w.guarded {
		v = g.Admit(w.now, c.arrival)
		if c.attempts > 1 {
			w.retries[map[bool]int{true: 0, false: 1}[v.Retry]]++
		}
	}
	if !v.Admit {
		w.retry(c, v.RetryAfter)
		return
	}
	done := func(end Outcome) {
		if w.alternatives != nil {
			w.alternatives[c.gateway].attemptEnded(end)
		}
		if w.guarded && w.generation[c.gateway] == life {
			g.AttemptEnded(w.now, end)
			if end == Failed {
				v.RetryAfter = g.Rejected(w.now, c.arrival, time.Second)
			}
		}
		if end == Failed {
			w.retry(c, v.RetryAfter)
			return
		}
		if w.now-c.startedAt <= latencyTarget {
			w.addValue(&w.inTime, c)
		}
	}
	m := w.pickMember()
	switch {
	case m == nil || !m.up:
		w.after(time.Millisecond, func() { done(Failed) })
	case m.hung:
		m.sends = append(m.sends, w.now)
		w.after(deadline, func() { m.sends = m.sends[1:]; done(Failed) })
	default:
		if u := w.warmth(m); u < 1 {
			m.sends = append(m.sends, w.now)
			for w.now-m.sends[0] > time.Second {
				m.sends = m.sends[1:]
			}
			w.peakOverload = math.Max(w.peakOverload, float64(len(m.sends)-1)/(capacity*u))
		}
		m.freeAt = max(m.freeAt, w.now) + time.Duration(w.rng.ExpFloat64()/(capacity*w.warmth(m))*float64(time.Second))
		took := m.freeAt - w.now
		switch {
		case took > deadline: // the member does the work although nobody waits for it
			w.after(deadline, func() { done(Failed) })
		case took > latencyTarget:
			w.after(took, func() { done(Late) })
		default:
			w.after(took, func() { done(InTime) })
		}
	}
}

// pickMember returns the shortest queue of three, preferring members that are up.
func (w *simulation) pickMember() (best *member) {
	for range 3 {
		m := &w.members[w.rng.IntN(len(w.members))]
		if best == nil || !best.up || m.up && m.freeAt < best.freeAt {
			best = m
		}
	}
	return best
}

// retry makes the client's next attempt after its backoff or the Retry-After that it was given, while it has patience.
func (w *simulation) retry(c *client, wait time.Duration) {
	p := w.retryPolicy
	pause := time.Duration(math.Min(p.first.Seconds()*math.Pow(p.factor, float64(c.attempts-1)), p.max.Seconds()) *
		(1 - p.jitter*w.rng.Float64()) * float64(time.Second))
	if c.honorsRetryAfter && wait > 0 {
		pause = wait
	}
	if w.now+pause-c.startedAt > w.patience {
		return
	}
	w.after(pause, func() {
		c.gateway = w.rng.IntN(len(w.guards))
		w.attempt(c)
	})
}

// stop stops members.
func (w *simulation) stop(members ...int) {
	for _, i := range members {
		w.members[i].up = false
	}
}

// restore restarts members, with empty queues and warming up.
func (w *simulation) restore(members ...int) {
	for _, i := range members {
		w.members[i] = member{up: true, started: w.now, freeAt: w.now}
	}
}

// allMembers returns the indices of all members.
func (w *simulation) allMembers() (list []int) {
	for i := range w.members {
		list = append(list, i)
	}
	return list
}

// goodput returns the fraction of the value offered in a time that was served within the latency target.
func (w *simulation) goodput(from, to Time) float64 {
	asked, served := 0.0, 0.0
	first, end := int((from-simulationStart)/time.Second), int((to-simulationStart)/time.Second)
	for s := first; s < min(end, len(w.offered)); s++ {
		asked += w.offered[s]
		if s < len(w.inTime) {
			served += w.inTime[s]
		}
	}
	return served / math.Max(asked, 1e-9)
}

// timeToRecover returns how long after a time the goodput stays above 0.95 of what it was.
func (w *simulation) timeToRecover(from, to Time, usual float64) time.Duration {
	back := time.Duration(0)
	for at := from; at+4*time.Second <= to; at += time.Second {
		if w.goodput(at, at+4*time.Second) < 0.95*usual {
			back = at + 4*time.Second - from
		}
	}
	return back
}

// event is something that happens at a time.
type event struct {
	at     Time
	serial int
	do     func()
}

// events is a priority queue of events, by time and then in the order of their scheduling.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// after schedules an event.
func (w *simulation) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{w.now + d, w.serial, do})
}

// runOutage stops all members for 20 s and restores them. It returns how long after that the service had recovered
// for good, and the goodput of the minute after that.
func (w *simulation) runOutage() (back time.Duration, share float64) {
	w.runLoad(20*second, 1)
	usual := w.goodput(simulationStart+5*second, w.now)
	w.stop(w.allMembers()...)
	w.runLoad(20*second, 1)
	w.restore(w.allMembers()...)
	restored := w.now
	w.runLoad(70*second, 1)
	return w.timeToRecover(restored, restored+60*second, usual), w.goodput(restored, restored+60*second)
}

// runStorm runs an outage of all members with a policy of the clients, with guards or without.
func runStorm(policy string, seed uint64, guarded bool, honorRatio float64) (*simulation, time.Duration) {
	w := newSimulation(seed, 3, 12, 0.6)
	w.guarded, w.retryPolicy, w.honorRatio = guarded, retryPolicies[policy], honorRatio
	back, _ := w.runOutage()
	return w, back
}
