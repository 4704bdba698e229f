package recovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const (
	born  = time.Hour
	pause = 1200 * time.Millisecond
)

// A process begins blank, gathers its list, discovery's word and most of its peers, and is full once nothing is held any more;
// it says how long that took and by whose word.
func TestFromStartToFullService(t *testing.T) {
	r := New(born, Options{PauseThreshold: pause, NearbyGateways: 4})
	now := born
	look := func(s Observation) Phase {
		now += 10 * time.Millisecond
		r.Event(now)
		r.Check(now, s)
		return r.Phase()
	}
	assert.Equal(t, NoMembers, look(Observation{}))
	r.Received(Cached)
	assert.Equal(t, AwaitingPeers, look(Observation{Members: 3}))
	r.Received(Discovery) // nothing is waited for of it: it speaks when there is news
	assert.Equal(t, AwaitingPeers, look(Observation{Members: 3, NearbyReachable: 1}))
	assert.Equal(t, Ramping, look(Observation{Members: 3, NearbyReachable: 2, Queued: 1}))
	assert.Zero(t, r.TimeToFullService())
	assert.Equal(t, FullService, look(Observation{Members: 3, NearbyReachable: 4}))
	assert.Equal(t, 50*time.Millisecond, r.TimeToFullService())
	assert.Equal(t, "peers,discovery,list", r.SourceNames())
	assert.Equal(t, FullService, look(Observation{Members: 3, Queued: 9}), "members come and go")
	assert.Equal(t, FullService, look(Observation{}), "and all of them may be gone")
	assert.Equal(t, 50*time.Millisecond, r.TimeToFullService())
}

// Peers that don't speak are waited for no longer than the bound, and where there are none not at all.
func TestWaitForPeersIsBounded(t *testing.T) {
	r := New(born, Options{PauseThreshold: pause, NearbyGateways: 4})
	r.Check(born+peerWaitPauses*pause-1, Observation{Members: 1})
	assert.Equal(t, AwaitingPeers, r.Phase())
	r.Check(born+peerWaitPauses*pause, Observation{Members: 1})
	assert.Equal(t, FullService, r.Phase())
	alone := New(born, Options{PauseThreshold: pause})
	alone.Received(Discovery)
	alone.Check(born+1, Observation{Members: 1})
	assert.Equal(t, FullService, alone.Phase())
	assert.Equal(t, time.Duration(1), alone.TimeToFullService())
}

// A process that stood still takes what it finds in its sockets for as old as it can be, and waits a moment for discovery's word;
// what comes later is what it is.
func TestResumeAfterPause(t *testing.T) {
	r := New(born, Options{PauseThreshold: pause})
	r.Received(Discovery)
	assert.Zero(t, r.Event(born), "nothing was to happen before the first event")
	assert.Zero(t, r.Event(born+pause), "a busy machine is no standstill")
	lain, wait := r.RequestRead(born+pause, time.Second)
	assert.Zero(t, lain+wait)
	woke := born + pause + 5*time.Second
	assert.Equal(t, 5*time.Second, r.Event(woke))
	r.Check(woke, Observation{Members: 1})
	assert.Equal(t, Resuming, r.Phase())
	lain, wait = r.RequestRead(woke+time.Millisecond, 4*time.Second)
	assert.Equal(t, 5*time.Second, lain)
	assert.Zero(t, wait, "it is over, and so told at once")
	lain, wait = r.RequestRead(woke+time.Millisecond, 8*time.Second)
	assert.Equal(t, 5*time.Second, lain)
	assert.Equal(t, pause/resumeWaitDivisor-time.Millisecond, wait)
	r.Received(Discovery)
	lain, wait = r.RequestRead(woke+2*time.Millisecond, 8*time.Second)
	assert.Equal(t, 5*time.Second, lain)
	assert.Zero(t, wait)
	lain, wait = r.RequestRead(woke+pause/backlogWindowDivisor+1, time.Second)
	assert.Zero(t, lain+wait)
	r.Check(woke+time.Second, Observation{Members: 1})
	assert.Equal(t, FullService, r.Phase())
	assert.Equal(t, Stats{Pauses: 1, LongestPause: 5 * time.Second, Backlogged: 3, Expired: 1}, r.Stats())
}

// Whatever happens in whatever order: no request passes for younger than its longest time in the sockets, none waits longer than
// the bound, and full service is reached once and never taken back.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(born, Options{PauseThreshold: pause, NearbyGateways: rapid.IntRange(0, 6).Draw(t, "near")})
		now, woke, still, took := born, Time(0), time.Duration(0), time.Duration(0)
		for range 60 {
			gap := rapid.SampledFrom([]time.Duration{0, time.Millisecond, 40 * time.Millisecond, pause, pause + 1, 30 * time.Second}).Draw(t, "gap")
			if now += gap; r.Event(now) > 0 {
				woke, still = now, gap
			}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				r.Received(Source(rapid.IntRange(0, int(sourceCount)-1).Draw(t, "source")))
			case 1:
				r.Check(now, Observation{rapid.IntRange(0, 2).Draw(t, "members"), rapid.IntRange(0, 6).Draw(t, "heard"), rapid.IntRange(0, 2).Draw(t, "held")})
			default:
				lain, wait := r.RequestRead(now, time.Second)
				if found := woke > 0 && now-woke <= min(still, pause/backlogWindowDivisor); found != (lain == still && still > 0) || !found && lain > 0 {
					t.Fatalf("read %v after a standstill of %v: taken to have lain for %v", now-woke, still, lain)
				}
				if wait > pause/resumeWaitDivisor {
					t.Fatalf("waits %v", wait)
				}
			}
			if took > 0 && r.TimeToFullService() != took {
				t.Fatalf("full service after %v, then after %v", took, r.TimeToFullService())
			}
			took = r.TimeToFullService()
		}
	})
}
