package storm

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// world plays gateways with guards before members, in virtual time: each member is one queue that serves in turn, and a
// gateway sends what its guard lets in to the shorter of two queues. What a decision module would add is left out.
type simulation struct {
	now          Time
	rng          *rand.Rand
	events       events
	serial       int
	guards       []*Guard
	generation   []int
	guarded      bool
	alternatives []admissionControl // another way of damping, for each gateway; nil: the guards
	members      []member
	arrivalRate  float64 // first tries a second
	partitioned  bool    // gateways don't hear each other

	retryPolicy retryPolicy
	honorRatio  float64
	markRetries bool
	patience    time.Duration
	accounts    int

	offered, inTime []float64 // worth of first tries, by the second that they were meant for
	phases          []Phase   // of the first guard, as they came
	retries         [2]int    // retries that guards took for such, and did not
	peakOverload    float64
	t               *testing.T
}

func (w *simulation) test() *testing.T { return w.t }

type member struct {
	up, hung bool
	started  Time
	freeAt   Time
	sends    []Time
}

type retryPolicy struct {
	first  time.Duration
	factor float64
	max    time.Duration
	jitter float64
}

var retryPolicies = map[string]retryPolicy{
	"immediate": {100 * time.Millisecond, 1, 100 * time.Millisecond, 0}, "fixed": {time.Second, 1, time.Second, 0},
	"doubling": {200 * time.Millisecond, 2, 5 * time.Second, 0}, "jittered": {200 * time.Millisecond, 2, 5 * time.Second, 1},
}

const (
	latencyTarget   = 1200 * time.Millisecond
	deadline        = 4 * time.Second
	capacity        = 10.0 // a second, of a warm member
	warmUpTime      = 16 * time.Second
	initialWarmth   = 0.18
	simulationStart = time.Hour
)

var classes = []Class{{LatencyTarget: latencyTarget, Value: 1}, {LatencyTarget: latencyTarget, Value: 3, NonIdempotent: true}}

func newSimulation(seed uint64, gateways, members int, load float64) *simulation {
	w := &simulation{now: simulationStart, rng: rand.New(rand.NewPCG(seed, 1)), arrivalRate: load * float64(members) * capacity, guarded: true,
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

// boot starts a gateway's guard, or starts it anew.
func (w *simulation) restartGuard(i int) {
	w.generation[i]++
	life := w.generation[i]
	w.guards[i] = New(Options{Self: i, Gateways: len(w.guards), Seed: uint64(i), Classes: classes, Prices: []float64{1.2, 1.6},
		MaxRetryAfter: 8 * time.Second, ConnectionRate: 200})
	var beat func()
	beat = func() {
		if w.generation[i] != life {
			return
		}
		w.after(TickInterval, beat)
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
		word := w.guards[i].Tick(w.now, seen)
		if p, _ := w.guards[i].State(); i == 0 && (len(w.phases) == 0 || w.phases[len(w.phases)-1] != p) {
			w.phases = append(w.phases, p)
		}
		for to := range w.guards {
			if to != i && word != nil && !w.partitioned {
				w.after(5*time.Millisecond, func() { w.guards[to].Receive(w.now, i, word) })
			}
		}
	}
	w.after(time.Duration(w.rng.Int64N(int64(TickInterval))), beat)
}

func (w *simulation) warmth(m *member) float64 {
	if m.started == 0 || w.now-m.started >= warmUpTime {
		return 1
	}
	return initialWarmth + (1-initialWarmth)*(w.now-m.started).Seconds()/warmUpTime.Seconds()
}

// client is one piece of work with all its tries.
type client struct {
	arrival          Arrival
	startedAt        Time
	attempts         int
	honorsRetryAfter bool
	gateway          int
}

// play lets first tries come for so long, at a multiple of what is usual.
func (w *simulation) runLoad(length time.Duration, times float64) {
	end := w.now + length
	var next func()
	next = func() {
		if w.now >= end {
			return
		}
		w.firstAttempt(Arrival{Account: uint64(w.rng.IntN(w.accounts)), Class: w.rng.IntN(2), Plan: w.rng.IntN(2), Units: float64(1 + w.rng.IntN(4))})
		w.after(time.Duration(w.rng.ExpFloat64()/(times*w.arrivalRate)*float64(time.Second)), next)
	}
	w.after(0, next)
	w.run(end)
}

func (w *simulation) run(until Time) {
	for len(w.events) > 0 && w.events[0].at < until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *simulation) firstAttempt(a Arrival) {
	c := &client{arrival: a, startedAt: w.now, honorsRetryAfter: w.rng.Float64() < w.honorRatio, gateway: w.rng.IntN(len(w.guards))}
	w.addValue(&w.offered, c)
	w.attempt(c)
}

func (w *simulation) addValue(to *[]float64, c *client) {
	s := int((c.startedAt - simulationStart) / time.Second)
	for len(*to) <= s {
		*to = append(*to, 0)
	}
	(*to)[s] += classes[c.arrival.Class].Value * []float64{1.2, 1.6}[c.arrival.Plan]
}

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
		case took > deadline: // the work is done all the same, for nobody
			w.after(deadline, func() { done(Failed) })
		case took > latencyTarget:
			w.after(took, func() { done(Late) })
		default:
			w.after(took, func() { done(InTime) })
		}
	}
}

// pick gives the shorter queue of two that are up, as far as a few tries find one.
func (w *simulation) pickMember() (best *member) {
	for range 3 {
		m := &w.members[w.rng.IntN(len(w.members))]
		if best == nil || !best.up || m.up && m.freeAt < best.freeAt {
			best = m
		}
	}
	return best
}

func (w *simulation) retry(c *client, wait time.Duration) {
	pause := time.Duration(math.Min(w.retryPolicy.first.Seconds()*math.Pow(w.retryPolicy.factor, float64(c.attempts-1)), w.retryPolicy.max.Seconds()) *
		(1 - w.retryPolicy.jitter*w.rng.Float64()) * float64(time.Second))
	heeded := c.honorsRetryAfter && wait > 0
	if heeded {
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

func (w *simulation) stop(members ...int) {
	for _, i := range members {
		w.members[i].up = false
	}
}

// restore brings members back, cold and with empty queues.
func (w *simulation) restore(members ...int) {
	for _, i := range members {
		w.members[i] = member{up: true, started: w.now, freeAt: w.now}
	}
}

func (w *simulation) allMembers() (list []int) {
	for i := range w.members {
		list = append(list, i)
	}
	return list
}

// share is the part of the worth meant for a stretch of time that was served in time.
func (w *simulation) goodput(from, to Time) float64 {
	asked, served := 0.0, 0.0
	for s := int((from - simulationStart) / time.Second); s < int((to-simulationStart)/time.Second) && s < len(w.offered); s++ {
		asked += w.offered[s]
		if s < len(w.inTime) {
			served += w.inTime[s]
		}
	}
	return served / math.Max(asked, 1e-9)
}

// back is how long after a moment the share served in time is back for good at 0.95 of what it was.
func (w *simulation) timeToRecover(from, to Time, usual float64) time.Duration {
	back := time.Duration(0)
	for at := from; at+4*time.Second <= to; at += time.Second {
		if w.goodput(at, at+4*time.Second) < 0.95*usual {
			back = at + 4*time.Second - from
		}
	}
	return back
}

type event struct {
	at     Time
	serial int
	do     func()
}

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

func (w *simulation) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{w.now + d, w.serial, do})
}

// damper is one of the ways that were considered.
type admissionControl interface {
	admit(retry bool) bool
	attemptEnded(Outcome)
}

// budget lets retries in for a share of the first tries, and all of those (Finagle's and Envoy's retry budgets).
type retryBudget struct{ tokens float64 }

func (b *retryBudget) admit(retry bool) bool {
	if !retry {
		b.tokens = math.Min(10, b.tokens+0.2)
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
func (b *retryBudget) attemptEnded(Outcome) {}

// concurrency bounds what is out at once, one more for as many in time and a tenth less for each that is not (adaptive
// concurrency, by additive increase and multiplicative decrease).
type adaptiveConcurrency struct{ limit, inFlight float64 }

func (c *adaptiveConcurrency) admit(bool) bool {
	if c.inFlight >= math.Max(1, c.limit) {
		return false
	}
	c.inFlight++
	return true
}

func (c *adaptiveConcurrency) attemptEnded(end Outcome) {
	if c.inFlight--; end == InTime {
		c.limit += 1 / math.Max(1, c.limit)
	} else {
		c.limit = math.Max(1, 0.9*c.limit)
	}
}
