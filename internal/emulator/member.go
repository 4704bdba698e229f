package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/lab/referee"
	"sprucelane.example/sprucelane/policy"
)

// member models a server with cores and a first-in first-out queue, over several incarnations. The model assumes:
//
//   - The service time of a request is its work, divided by the core's speed and by the member's warmth when the work
//     begins.
//   - A pause delays all requests that are being served.
//   - A member that hangs answers neither the requests that it has nor those that arrive.
//   - A member works on a request even after the gateway has given it up.
type member struct {
	engine       *Engine
	spec         MemberSpec
	id           policy.ServerID
	room         int
	rng          *rand.Rand
	incarnation  int
	up           bool
	hung         bool
	started      Time // time of the last cold start; 0 means long ago
	state        policy.ServerState
	busy         int
	queue        []*job
	pausedUntil  Time
	slowdown     float64 // factor by which all work takes longer now; 0 means 1
	cell         int
	meanService  float64       // exponentially weighted mean of service times, in seconds, without queueing
	reportedLoad []float32     // the load report in its answers, where reports lag (Scenario.Report)
	workDone     time.Duration // since the last start

	checked referee.Member // the checker's record of this member
}

// MemberSpec is the capacity of a member.
type MemberSpec struct {
	Cores      int
	Speed      float64       // speed of a core, over the speed that Work is stated for
	Queue      int           // most requests that wait; further requests are rejected
	Work       time.Duration // mean work of a request on one core
	Sigma      float64       // standard deviation of the logarithm of the work
	ColdFrom   float64       // warmth right after a start, from 0 to 1
	WarmWithin time.Duration // time after a start in which the warmth rises linearly to 1
	WarmWork   time.Duration // work after which the member is warm even before WarmWithin; 0: only time counts
}

// Capacity returns the number of requests that a warm member answers per second.
func (s MemberSpec) Capacity() float64 { return float64(s.Cores) * s.Speed / s.Work.Seconds() }

// job is a request at a member.
type job struct {
	work time.Duration
	done func(policy.Ending)
}

// info returns the member's entry in server lists.
func (m *member) info() policy.ServerInfo {
	return policy.ServerInfo{ID: m.id, Zone: m.room, Cell: m.cell, State: m.state, Weight: 1, StartedAt: m.started}
}

// warmth returns the member's present capacity as a share of its full capacity, by the time and the work since its
// start.
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

// accepts reports whether the member would accept a request that arrives now.
func (m *member) accepts() bool {
	return m.up && (m.hung || m.busy < m.spec.Cores || len(m.queue) < m.spec.Queue)
}

// accept handles a request whose last byte has arrived. size is its work over the mean. done is called when the answer
// leaves the member, and never where the member hangs.
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

// finish ends a request's work after left, extended by any pauses that begin meanwhile.
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

// stop ends the member's process. Its requests get no answer.
func (m *member) stop() {
	m.up, m.busy = false, 0
	m.incarnation++
	m.queue = nil
}

// start begins a new incarnation, which is cold.
func (m *member) start() {
	m.incarnation++
	m.up, m.hung, m.busy, m.started, m.queue, m.workDone = true, false, 0, m.engine.now, nil, 0
	m.checked.Restart()
}

// hang makes the member accept requests without answering any until resume, which discards them.
func (m *member) hang() { m.hung = true }

func (m *member) resume() {
	m.hung, m.busy = false, 0
	m.incarnation++
	m.queue = nil
}
