package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/lab/referee"
	"sprucelane.example/sprucelane/policy"
)

// member is a server with cores and a queue in one life after another. Its assumptions: a request takes its work over
// the core's speed and the share of its capacity that the member has when the work begins; cores serve in the order in
// which requests came; a pause holds all that is at work; a hang swallows what is there and what comes; what a gateway
// gives up is worked on all the same.
type member struct {
	engine       *Engine
	spec         MemberSpec
	id           policy.ServerID
	room         int
	rng          *rand.Rand
	incarnation  int
	up           bool
	hung         bool
	started      Time // of a cold start; 0: long ago
	state        policy.ServerState
	busy         int
	queue        []*job
	pausedUntil  Time    // until then
	slowdown     float64 // how many times slower all of it is now; 0: not at all
	cell         int
	meanService  float64       // mean of its latest services, in seconds, without waiting
	reportedLoad []float32     // its load as answers tell it, where that is old
	workDone     time.Duration // since its start

	checked referee.Member // what the rules look at
}

// MemberSpec is what a member can do.
type MemberSpec struct {
	Cores      int
	Speed      float64
	Queue      int
	Work       time.Duration // mean
	Sigma      float64       // of its logarithm
	ColdFrom   float64
	WarmWithin time.Duration
	WarmWork   time.Duration // after so much work it is warm, too; 0: time alone warms
}

// Capacity is how many requests a second a warm one answers.
func (s MemberSpec) Capacity() float64 { return float64(s.Cores) * s.Speed / s.Work.Seconds() }

type job struct {
	work time.Duration
	done func(policy.Ending)
}

// info is the member's entry in lists.
func (m *member) info() policy.ServerInfo {
	return policy.ServerInfo{ID: m.id, Zone: m.room, Cell: m.cell, State: m.state, Weight: 1, StartedAt: m.started}
}

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

// takes tells whether a request that comes now would be let in.
func (m *member) accepts() bool {
	return m.up && (m.hung || m.busy < m.spec.Cores || len(m.queue) < m.spec.Queue)
}

// take lets a request in at its last byte, whose work is so many times the mean. Done is called when its answer leaves, never where it is swallowed.
func (m *member) accept(size float64, done func(policy.Ending)) {
	work := time.Duration(size * m.spec.Work.Seconds() * math.Exp(m.spec.Sigma*m.rng.NormFloat64()-m.spec.Sigma*m.spec.Sigma/2) * float64(time.Second))
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

// serve puts waiting requests on free cores.
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

// finish ends a request's work, later by the pauses that came meanwhile.
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

// stop ends the member's process; what it held is reset.
func (m *member) stop() {
	m.up, m.busy = false, 0
	m.incarnation++
	m.queue = nil
}

// start begins another life, cold.
func (m *member) start() {
	m.incarnation++
	m.up, m.hung, m.busy, m.started, m.queue, m.workDone = true, false, 0, m.engine.now, nil, 0
	m.checked.Restart()
}

// hang lets the member swallow all until resume, which begins with empty hands.
func (m *member) hang() { m.hung = true }

func (m *member) resume() {
	m.hung, m.busy = false, 0
	m.incarnation++
	m.queue = nil
}
