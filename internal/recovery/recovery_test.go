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
	r := New(born, Options{Pause: pause, Near: 4})
	now := born
	look := func(s Seen) Phase { now += 10 * time.Millisecond; r.Event(now); r.Look(now, s); return r.Phase() }
	assert.Equal(t, Blank, look(Seen{}))
	r.Heard(Cached)
	assert.Equal(t, Gathering, look(Seen{Members: 3}))
	r.Heard(Discovery) // nothing is waited for of it: it speaks when there is news
	assert.Equal(t, Gathering, look(Seen{Members: 3, NearHeard: 1}))
	assert.Equal(t, Ramping, look(Seen{Members: 3, NearHeard: 2, Held: 1}))
	assert.Zero(t, r.Took())
	assert.Equal(t, Full, look(Seen{Members: 3, NearHeard: 4}))
	assert.Equal(t, 50*time.Millisecond, r.Took())
	assert.Equal(t, "peers,discovery,list", r.From())
	assert.Equal(t, Full, look(Seen{Members: 3, Held: 9}), "members come and go")
	assert.Equal(t, Full, look(Seen{}), "and all of them may be gone")
	assert.Equal(t, 50*time.Millisecond, r.Took())
}

// Peers that don't speak are waited for no longer than the bound, and where there are none not at all.
func TestSilentSourcesAreNotWaitedForForEver(t *testing.T) {
	r := New(born, Options{Pause: pause, Near: 4})
	r.Look(born+peersWait*pause-1, Seen{Members: 1})
	assert.Equal(t, Gathering, r.Phase())
	r.Look(born+peersWait*pause, Seen{Members: 1})
	assert.Equal(t, Full, r.Phase())
	alone := New(born, Options{Pause: pause})
	alone.Heard(Discovery)
	alone.Look(born+1, Seen{Members: 1})
	assert.Equal(t, Full, alone.Phase())
	assert.Equal(t, time.Duration(1), alone.Took())
}

// A process that stood still takes what it finds in its sockets for as old as it can be, and waits a moment for discovery's word;
// what comes later is what it is.
func TestAfterAStandstill(t *testing.T) {
	r := New(born, Options{Pause: pause})
	r.Heard(Discovery)
	assert.Zero(t, r.Event(born), "nothing was to happen before the first event")
	assert.Zero(t, r.Event(born+pause), "a busy machine is no standstill")
	lain, wait := r.Asked(born+pause, time.Second)
	assert.Zero(t, lain+wait)
	woke := born + pause + 5*time.Second
	assert.Equal(t, 5*time.Second, r.Event(woke))
	r.Look(woke, Seen{Members: 1})
	assert.Equal(t, Careful, r.Phase())
	lain, wait = r.Asked(woke+time.Millisecond, 4*time.Second)
	assert.Equal(t, 5*time.Second, lain)
	assert.Zero(t, wait, "it is over, and so told at once")
	lain, wait = r.Asked(woke+time.Millisecond, 8*time.Second)
	assert.Equal(t, 5*time.Second, lain)
	assert.Equal(t, pause/settleShare-time.Millisecond, wait)
	r.Heard(Discovery)
	lain, wait = r.Asked(woke+2*time.Millisecond, 8*time.Second)
	assert.Equal(t, 5*time.Second, lain)
	assert.Zero(t, wait)
	lain, wait = r.Asked(woke+pause/foundShare+1, time.Second)
	assert.Zero(t, lain+wait)
	r.Look(woke+time.Second, Seen{Members: 1})
	assert.Equal(t, Full, r.Phase())
	assert.Equal(t, Figures{Stalls: 1, Longest: 5 * time.Second, Lain: 3, TooLate: 1}, r.Figures())
}

// Whatever happens in whatever order: no request passes for younger than its longest time in the sockets, none waits longer than
// the bound, and full service is reached once and never taken back.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(born, Options{Pause: pause, Near: rapid.IntRange(0, 6).Draw(t, "near")})
		now, woke, still, took := born, Time(0), time.Duration(0), time.Duration(0)
		for range 60 {
			gap := rapid.SampledFrom([]time.Duration{0, time.Millisecond, 40 * time.Millisecond, pause, pause + 1, 30 * time.Second}).Draw(t, "gap")
			if now += gap; r.Event(now) > 0 {
				woke, still = now, gap
			}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				r.Heard(Source(rapid.IntRange(0, int(sources)-1).Draw(t, "source")))
			case 1:
				r.Look(now, Seen{rapid.IntRange(0, 2).Draw(t, "members"), rapid.IntRange(0, 6).Draw(t, "heard"), rapid.IntRange(0, 2).Draw(t, "held")})
			default:
				lain, wait := r.Asked(now, time.Second)
				if found := woke > 0 && now-woke <= min(still, pause/foundShare); found != (lain == still && still > 0) || !found && lain > 0 {
					t.Fatalf("read %v after a standstill of %v: taken to have lain for %v", now-woke, still, lain)
				}
				if wait > pause/settleShare {
					t.Fatalf("waits %v", wait)
				}
			}
			if took > 0 && r.Took() != took {
				t.Fatalf("full service after %v, then after %v", took, r.Took())
			}
			took = r.Took()
		}
	})
}
