package recovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const (
	startedAt = time.Hour
	pause     = 1200 * time.Millisecond
)

// A process starts without members, waits for half of its peers, and is at full service once no request is queued. It
// reports how long that took and which sources have delivered data.
func TestFromStartToFullService(t *testing.T) {
	r := New(startedAt, Options{PauseThreshold: pause, NearbyGateways: 4})
	now := startedAt
	check := func(s Observation) Phase {
		now += 10 * time.Millisecond
		r.Event(now)
		r.Check(now, s)
		return r.Phase()
	}
	assert.Equal(t, NoMembers, check(Observation{}))
	r.Received(Cached)
	assert.Equal(t, AwaitingPeers, check(Observation{Members: 3}))
	r.Received(Discovery) // not waited for, as discovery sends updates only when something changes
	assert.Equal(t, AwaitingPeers, check(Observation{Members: 3, NearbyReachable: 1}))
	assert.Equal(t, Ramping, check(Observation{Members: 3, NearbyReachable: 2, Queued: 1}))
	assert.Zero(t, r.TimeToFullService())
	assert.Equal(t, FullService, check(Observation{Members: 3, NearbyReachable: 4}))
	assert.Equal(t, 50*time.Millisecond, r.TimeToFullService())
	assert.Equal(t, "peers,discovery,list", r.SourceNames())
	assert.Equal(t, FullService, check(Observation{Members: 3, Queued: 9}), "a queue alone doesn't end full service")
	assert.Equal(t, FullService, check(Observation{}), "nor does an empty list")
	assert.Equal(t, 50*time.Millisecond, r.TimeToFullService())
}

// The wait for peers is bounded, and a gateway without peers doesn't wait.
func TestWaitForPeersIsBounded(t *testing.T) {
	r := New(startedAt, Options{PauseThreshold: pause, NearbyGateways: 4})
	r.Check(startedAt+peerWaitPauses*pause-1, Observation{Members: 1})
	assert.Equal(t, AwaitingPeers, r.Phase())
	r.Check(startedAt+peerWaitPauses*pause, Observation{Members: 1})
	assert.Equal(t, FullService, r.Phase())
	alone := New(startedAt, Options{PauseThreshold: pause})
	alone.Received(Discovery)
	alone.Check(startedAt+1, Observation{Members: 1})
	assert.Equal(t, FullService, alone.Phase())
	assert.Equal(t, time.Duration(1), alone.TimeToFullService())
}

// Shortly after a pause, requests are assumed to be as old as the pause was long, and wait for an update of discovery.
// Later requests aren't assumed to be old and don't wait.
func TestResumeAfterPause(t *testing.T) {
	r := New(startedAt, Options{PauseThreshold: pause})
	r.Received(Discovery)
	assert.Zero(t, r.Event(startedAt), "there is no gap before the first event")
	assert.Zero(t, r.Event(startedAt+pause), "a gap of PauseThreshold is not a pause")
	age, wait := r.RequestRead(startedAt+pause, time.Second)
	assert.Zero(t, age+wait)
	resumed := startedAt + pause + 5*time.Second
	assert.Equal(t, 5*time.Second, r.Event(resumed))
	r.Check(resumed, Observation{Members: 1})
	assert.Equal(t, Resuming, r.Phase())
	age, wait = r.RequestRead(resumed+time.Millisecond, 4*time.Second)
	assert.Equal(t, 5*time.Second, age)
	assert.Zero(t, wait, "its client has given up, so there is no wait")
	age, wait = r.RequestRead(resumed+time.Millisecond, 8*time.Second)
	assert.Equal(t, 5*time.Second, age)
	assert.Equal(t, pause/resumeWaitDivisor-time.Millisecond, wait)
	r.Received(Discovery)
	age, wait = r.RequestRead(resumed+2*time.Millisecond, 8*time.Second)
	assert.Equal(t, 5*time.Second, age)
	assert.Zero(t, wait)
	age, wait = r.RequestRead(resumed+pause/backlogWindowDivisor+1, time.Second)
	assert.Zero(t, age+wait)
	r.Check(resumed+time.Second, Observation{Members: 1})
	assert.Equal(t, FullService, r.Phase())
	assert.Equal(t, Stats{Pauses: 1, LongestPause: 5 * time.Second, Backlogged: 3, Expired: 1}, r.Stats())
}

// For all sequences of events, no request is assumed to be younger than it may be, none waits longer than the bound,
// and the time to full service, once known, doesn't change.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(startedAt, Options{PauseThreshold: pause, NearbyGateways: rapid.IntRange(0, 6).Draw(t, "near")})
		now, resumed, length, took := startedAt, Time(0), time.Duration(0), time.Duration(0)
		for range 60 {
			gaps := []time.Duration{0, time.Millisecond, 40 * time.Millisecond, pause, pause + 1, 30 * time.Second}
			gap := rapid.SampledFrom(gaps).Draw(t, "gap")
			if now += gap; r.Event(now) > 0 {
				resumed, length = now, gap
			}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				r.Received(Source(rapid.IntRange(0, int(sourceCount)-1).Draw(t, "source")))
			case 1:
				r.Check(now, Observation{Members: rapid.IntRange(0, 2).Draw(t, "members"),
					NearbyReachable: rapid.IntRange(0, 6).Draw(t, "reachable"), Queued: rapid.IntRange(0, 2).Draw(t, "queued")})
			default:
				age, wait := r.RequestRead(now, time.Second)
				backlog := resumed > 0 && now-resumed <= min(length, pause/backlogWindowDivisor)
				if backlog != (age == length && length > 0) || !backlog && age > 0 {
					t.Fatalf("read %v after a pause of %v: assumed age %v", now-resumed, length, age)
				}
				if wait > pause/resumeWaitDivisor {
					t.Fatalf("wait of %v is above the bound", wait)
				}
			}
			if took > 0 && r.TimeToFullService() != took {
				t.Fatalf("full service after %v, then after %v", took, r.TimeToFullService())
			}
			took = r.TimeToFullService()
		}
	})
}
