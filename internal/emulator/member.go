package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/lab/referee"
	"sprucelane.example/sprucelane/policy"
)

// member is a server with cores and a first-in first-out queue, over several incarnations. Its assumptions: a request
// takes its work, divided by the core's speed and by the member's warmth when the work begins; a pause delays all
// requests at the cores; a member that hangs answers neither the requests that it has nor those that arrive; requests
// that a gateway has given up are worked on all the same.
type member struct {
	engine       *Engine
	spec         MemberSpec
	id           policy.ServerID
	room         int
	rng          *rand.Rand
	incarnation  int
	up           bool
	hung         bool
	started      Time // of a cold start; 0 means long ago
	state        policy.ServerState
	busy         int
	queue        []*job
	pausedUntil  Time
	slowdown     float64 // factor by which all work takes longer now; 0 means 1
	cell         int
	meanService  float64       // exponentially weighted mean of service times, in seconds, without queueing
	reportedLoad []float32     // the load report in its answers, where reports lag (Scenario.Report)
	workDone     time.Duration // since its start

	checked referee.Member // the checker's record of it
}

// MemberSpec is the capacity of a member.
type MemberSpec struct {
	Cores      int
	Speed      float64       // of a core, over the speed that Work is stated for
	Queue      int           // most requests that wait; more are rejected
	Work       time.Duration // mean of a request on one core
	Sigma      float64       // standard deviation of the logarithm of the work
	ColdFrom   float64       // warmth right after a start, from 0 to 1
	WarmWithin time.Duration // after a start: the warmth rises evenly to 1
	WarmWork   time.Duration // work after which it is warm, too; 0: time alone warms it
}

// Capacity gives the requests a second that a warm member answers.
func (s MemberSpec) Capacity() float64 { return float64(s.Cores) * s.Speed / s.Work.Seconds() }

// job is a request at a member.
type job struct {
	work time.Duration
	done func(policy.Ending)
}

// info gives the member's entry in server lists.
func (m *member) info() policy.ServerInfo {
	return policy.ServerInfo{ID: m.id, Zone: m.room, Cell: m.cell, State: m.state, Weight: 1, StartedAt: m.started}
}

// warmth gives the share of its full capacity that the member has, by the time and the work since its start.
func (m *member) warmth() float64 {
	if m.started == 0 || m.engine.now-m.started >= m.spec.WarmWithin {
		return 1
	}
	progress := (m.engine.now - m.started).Seconds() / m.spec.WarmWithin.Seconds()
	if m.spec.WarmWork > 0 {
		progress = min(1, max(progress, m.workDone.Seconds()/m.spec.WarmWork.Seconds()))
	}
	return m.spec.ColdFrom + (1-m.spec.ColdFrom)*progress
}

// accepts tells whether the member would take a request that arrives now.
func (m *member) accepts() bool {
	return m.up && (m.hung || m.busy < m.spec.Cores || len(m.queue) < m.spec.Queue)
}

// accept takes a request whose last byte has arrived. size is its work over the mean. done is called when its answer
// leaves, and never where the member hangs.
func (m *member) accept(size float64, done func(policy.Ending)) {
	sigma := m.spec.Sigma
	factor := math.Exp(sigma*m.rng.NormFloat64() - sigma*sigma/2) // log-normal, of mean 1
	work := time.Duration(size * m.spec.Work.Seconds() * factor * float64(time.Second))
	switch {
	case !m.up:
		done(policy.NotConnected)
	case m.hung:
	case m.busy >= m.spec.Cores && len(m.queue) >= m.spec.Queue:
		done(policy.Rejected)
	default:
		m.queue = append(m.queue, &job{work, done})
		m.serve()
	}
}

// serve starts queued requests on free cores.
func (m *member) serve() {
	for m.up && !m.hung && m.busy < m.spec.Cores && len(m.queue) > 0 {
		j := m.queue[0]
		m.queue = m.queue[1:]
		m.busy++
		took := time.Duration(float64(j.work) / (m.spec.Speed * m.warmth()) * max(1, m.slowdown))
		m.meanService += (took.Seconds() - m.meanService) / 8
		m.workDone += j.work
		m.finish(j, m.incarnation, took+max(0, m.pausedUntil-m.engine.now))
	}
}

// finish ends a request's work after left, and later by the pauses that begin meanwhile.
func (m *member) finish(j *job, incarnation int, left time.Duration) {
	began := m.engine.now
	m.engine.After(left, func() {
		if m.incarnation != incarnation || m.hung {
			return
		}
		if late := m.pausedUntil - m.engine.now; late > 0 && m.pausedUntil > began+left {
			m.finish(j, incarnation, late)
			return
		}
		m.busy--
		j.done(policy.Served)
		m.serve()
	})
}

// stop ends the member's process. Requests that it had get no answer.
func (m *member) stop() {
	m.up, m.busy = false, 0
	m.incarnation++
	m.queue = nil
}

// start begins a new incarnation, cold.
func (m *member) start() {
	m.incarnation++
	m.up, m.hung, m.busy, m.started, m.queue, m.workDone = true, false, 0, m.engine.now, nil, 0
	m.checked.Restart()
}

// hang lets the member take requests and answer none, until resume, after which it has none.
func (m *member) hang() { m.hung = true }

func (m *member) resume() {
	m.hung, m.busy = false, 0
	m.incarnation++
	m.queue = nil
}
