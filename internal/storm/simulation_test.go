package storm

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulation simulates members, and gateways with guards, in virtual time. Each member is a queue with one server, and
// a gateway sends an admitted request to the shortest of three random queues. Other functions of a gateway are left
// out.
type simulation struct {
	now          Time
	rng          *rand.Rand
	events       events
	serial       int
	guards       []*Guard
	generation   []int
	guarded      bool
	alternatives []admissionControl // by gateway, used instead of the guards; nil: none
	members      []member
	arrivalRate  float64 // first attempts a second
	partitioned  bool    // gateways receive no messages from each other

	retryPolicy retryPolicy
	honorRatio  float64
	markRetries bool
	patience    time.Duration
	accounts    int

	offered, inTime []float64 // value of first attempts, by the second in which they were made
	phases          []Phase   // of the first guard
	retries         [2]int    // retries that guards recognized, and retries that they didn't
	peakOverload    float64
	t               *testing.T
}

// test returns the test that runs the simulation, if it was set.
func (s *simulation) test() *testing.T { return s.t }

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
	capacity        = 10.0 // requests per second of a warm member
	warmUpTime      = 16 * time.Second
	initialWarmth   = 0.18
	simulationStart = time.Hour
)

var classes = []Class{
	{LatencyTarget: latencyTarget, Value: 1},
	{LatencyTarget: latencyTarget, Value: 3, NonIdempotent: true},
}

// newSimulation returns a simulation whose rate of first attempts is load times the members' capacity.
func newSimulation(seed uint64, gateways, members int, load float64) *simulation {
	s := &simulation{now: simulationStart, rng: rand.New(rand.NewPCG(seed, 1)),
		arrivalRate: load * float64(members) * capacity, guarded: true,
		retryPolicy: retryPolicies["fixed"], honorRatio: 0.5, markRetries: true, patience: 15 * time.Second, accounts: 60}
	for range members {
		s.members = append(s.members, member{up: true})
	}
	s.guards, s.generation = make([]*Guard, gateways), make([]int, gateways)
	for i := range gateways {
		s.restartGuard(i)
	}
	return s
}

// restartGuard starts a gateway's guard, or replaces it with a new one.
func (s *simulation) restartGuard(i int) {
	s.generation[i]++
	generation := s.generation[i]
	s.guards[i] = New(Options{Self: i, Gateways: len(s.guards), Seed: uint64(i), Classes: classes,
		Prices: []float64{1.2, 1.6}, MaxRetryAfter: 8 * time.Second, ConnectionRate: 200})
	var tick func()
	tick = func() {
		if s.generation[i] != generation {
			return
		}
		s.after(TickInterval, tick)
		seen := Members{}
		for k := range s.members {
			m := &s.members[k]
			seen.Listed++
			seen.Warmth += s.warmth(m)
			if m.hung && len(m.sends) > 0 && s.now-m.sends[0] > latencyTarget/2 {
				seen.Overdue += len(m.sends)
			}
		}
		seen.Warmth /= float64(max(seen.Listed, 1))
		message := s.guards[i].Tick(s.now, seen)
		if p, _ := s.guards[i].State(); i == 0 && (len(s.phases) == 0 || s.phases[len(s.phases)-1] != p) {
			s.phases = append(s.phases, p)
		}
		for to := range s.guards {
			if to != i && message != nil && !s.partitioned {
				s.after(5*time.Millisecond, func() { s.guards[to].Receive(s.now, i, message) })
			}
		}
	}
	s.after(time.Duration(s.rng.Int64N(int64(TickInterval))), tick)
}

// warmth returns the fraction of its capacity that a member has.
func (s *simulation) warmth(m *member) float64 {
	if m.started == 0 || s.now-m.started >= warmUpTime {
		return 1
	}
	return initialWarmth + (1-initialWarmth)*(s.now-m.started).Seconds()/warmUpTime.Seconds()
}

// client is a client with one request, which it attempts until it is served or its patience ends.
type client struct {
	arrival          Arrival
	startedAt        Time
	attempts         int
	honorsRetryAfter bool
	gateway          int
}

// runLoad runs the simulation for some time, with first attempts at a multiple of arrivalRate.
func (s *simulation) runLoad(length time.Duration, times float64) {
	end := s.now + length
	var next func()
	next = func() {
		if s.now >= end {
			return
		}
		s.firstAttempt(Arrival{Account: uint64(s.rng.IntN(s.accounts)), Class: s.rng.IntN(2), Plan: s.rng.IntN(2),
			Units: float64(1 + s.rng.IntN(4))})
		s.after(time.Duration(s.rng.ExpFloat64()/(times*s.arrivalRate)*float64(time.Second)), next)
	}
	s.after(0, next)
	s.run(end)
}

// run executes the events before a time.
func (s *simulation) run(until Time) {
	for len(s.events) > 0 && s.events[0].at < until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// firstAttempt starts a client with its first attempt.
func (s *simulation) firstAttempt(a Arrival) {
	c := &client{arrival: a, startedAt: s.now, honorsRetryAfter: s.rng.Float64() < s.honorRatio,
		gateway: s.rng.IntN(len(s.guards))}
	s.addValue(&s.offered, c)
	s.attempt(c)
}

// addValue adds a client's value to the second in which it started.
func (s *simulation) addValue(to *[]float64, c *client) {
	index := int((c.startedAt - simulationStart) / time.Second)
	for len(*to) <= index {
		*to = append(*to, 0)
	}
	(*to)[index] += classes[c.arrival.Class].Value * []float64{1.2, 1.6}[c.arrival.Plan]
}

// attempt makes an attempt of a client, and schedules the next one if it fails or is rejected.
func (s *simulation) attempt(c *client) {
	c.attempts++
	c.arrival.MarkedRetry = s.markRetries && c.attempts > 1
	g, generation, v := s.guards[c.gateway], s.generation[c.gateway], Decision{Admit: true}
	if s.alternatives != nil {
		v = Decision{Admit: s.alternatives[c.gateway].admit(c.arrival.MarkedRetry), RetryAfter: time.Second}
	}
	if s.guarded {
		v = g.Admit(s.now, c.arrival)
		if c.attempts > 1 {
			s.retries[map[bool]int{true: 0, false: 1}[v.Retry]]++
		}
	}
	if !v.Admit {
		s.retry(c, v.RetryAfter)
		return
	}
	done := func(end Outcome) {
		if s.alternatives != nil {
			s.alternatives[c.gateway].attemptEnded(end)
		}
		if s.guarded && s.generation[c.gateway] == generation {
			g.AttemptEnded(s.now, end)
			if end == Failed {
				v.RetryAfter = g.Rejected(s.now, c.arrival, time.Second)
			}
		}
		if end == Failed {
			s.retry(c, v.RetryAfter)
			return
		}
		if s.now-c.startedAt <= latencyTarget {
			s.addValue(&s.inTime, c)
		}
	}
	m := s.pickMember()
	switch {
	case m == nil || !m.up:
		s.after(time.Millisecond, func() { done(Failed) })
	case m.hung:
		m.sends = append(m.sends, s.now)
		s.after(deadline, func() { m.sends = m.sends[1:]; done(Failed) })
	default:
		if u := s.warmth(m); u < 1 {
			m.sends = append(m.sends, s.now)
			for s.now-m.sends[0] > time.Second {
				m.sends = m.sends[1:]
			}
			s.peakOverload = math.Max(s.peakOverload, float64(len(m.sends)-1)/(capacity*u))
		}
		m.freeAt = max(m.freeAt, s.now) + time.Duration(s.rng.ExpFloat64()/(capacity*s.warmth(m))*float64(time.Second))
		took := m.freeAt - s.now
		switch {
		case took > deadline: // the member serves the request although nobody waits for it
			s.after(deadline, func() { done(Failed) })
		case took > latencyTarget:
			s.after(took, func() { done(Late) })
		default:
			s.after(took, func() { done(InTime) })
		}
	}
}

// pickMember returns the member with the shortest queue of three random ones, preferring members that are up.
func (s *simulation) pickMember() (best *member) {
	for range 3 {
		m := &s.members[s.rng.IntN(len(s.members))]
		if best == nil || !best.up || m.up && m.freeAt < best.freeAt {
			best = m
		}
	}
	return best
}

// retry schedules the client's next attempt after its backoff or, if the client honors it, after the Retry-After. There
// is none once the client's patience would have ended.
func (s *simulation) retry(c *client, wait time.Duration) {
	p := s.retryPolicy
	pause := time.Duration(math.Min(p.first.Seconds()*math.Pow(p.factor, float64(c.attempts-1)), p.max.Seconds()) *
		(1 - p.jitter*s.rng.Float64()) * float64(time.Second))
	if c.honorsRetryAfter && wait > 0 {
		pause = wait
	}
	if s.now+pause-c.startedAt > s.patience {
		return
	}
	s.after(pause, func() {
		c.gateway = s.rng.IntN(len(s.guards))
		s.attempt(c)
	})
}

// stop stops members.
func (s *simulation) stop(members ...int) {
	for _, i := range members {
		s.members[i].up = false
	}
}

// restore restarts members, with empty queues and warming up.
func (s *simulation) restore(members ...int) {
	for _, i := range members {
		s.members[i] = member{up: true, started: s.now, freeAt: s.now}
	}
}

// allMembers returns the indices of all members.
func (s *simulation) allMembers() (list []int) {
	for i := range s.members {
		list = append(list, i)
	}
	return list
}

// goodput returns the fraction of the value offered in a period that was served within the latency target.
func (s *simulation) goodput(from, to Time) float64 {
	asked, served := 0.0, 0.0
	first, end := int((from-simulationStart)/time.Second), int((to-simulationStart)/time.Second)
	for index := first; index < min(end, len(s.offered)); index++ {
		asked += s.offered[index]
		if index < len(s.inTime) {
			served += s.inTime[index]
		}
	}
	return served / math.Max(asked, 1e-9)
}

// timeToRecover returns the time after from since which the goodput, over 4 s and in steps of 1 s, stays at least 0.95
// of usual until to.
func (s *simulation) timeToRecover(from, to Time, usual float64) time.Duration {
	recovery := time.Duration(0)
	for at := from; at+4*time.Second <= to; at += time.Second {
		if s.goodput(at, at+4*time.Second) < 0.95*usual {
			recovery = at + 4*time.Second - from
		}
	}
	return recovery
}

// event is a function that is called at a time.
type event struct {
	at     Time
	serial int
	do     func()
}

// events is a priority queue of events, ordered by time and then by the order in which they were scheduled.
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

// after schedules do to be called after d.
func (s *simulation) after(d time.Duration, do func()) {
	s.serial++
	heap.Push(&s.events, event{s.now + d, s.serial, do})
}

// runOutage stops all members for 20 s and restores them. It returns the time from then until the service had recovered
// for good, and the goodput of the minute after the members were restored.
func (s *simulation) runOutage() (recovery time.Duration, goodput float64) {
	s.runLoad(20*second, 1)
	baseline := s.goodput(simulationStart+5*second, s.now)
	s.stop(s.allMembers()...)
	s.runLoad(20*second, 1)
	s.restore(s.allMembers()...)
	restored := s.now
	s.runLoad(70*second, 1)
	return s.timeToRecover(restored, restored+60*second, baseline), s.goodput(restored, restored+60*second)
}

// runStorm runs an outage of all members, for a retry policy of the clients, with guards or without.
func runStorm(policy string, seed uint64, guarded bool, honorRatio float64) (*simulation, time.Duration) {
	s := newSimulation(seed, 3, 12, 0.6)
	s.guarded, s.retryPolicy, s.honorRatio = guarded, retryPolicies[policy], honorRatio
	recovery, _ := s.runOutage()
	return s, recovery
}
