package lease

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func options() GranterOptions {
	return GranterOptions{Epoch: 3, MaxDuration: 5 * time.Second, DriftAllowance: 100 * time.Millisecond}
}

func TestGranter(t *testing.T) {
	Convey("A granter", t, func() {
		g := NewFirstGranter(options())
		first, err := g.Acquire(0, "zone", "a", time.Second)
		So(err, ShouldBeNil)
		So(first.Token.Epoch(), ShouldEqual, 3)

		Convey("rejects another holder until the lease has ended, drift included", func() {
			_, err := g.Acquire(time.Second+99*time.Millisecond, "zone", "b", time.Second)
			So(err, ShouldEqual, ErrHeld)
			second, err := g.Acquire(time.Second+100*time.Millisecond, "zone", "b", time.Second)
			So(err, ShouldBeNil)
			So(second.Token, ShouldBeGreaterThan, first.Token)
			_, err = g.Renew(time.Second+200*time.Millisecond, first)
			So(err, ShouldEqual, ErrStaleToken)
			So(g.Release(first), ShouldEqual, ErrStaleToken)
		})
		Convey("isn't shortened by a shorter lease of the same holder", func() {
			_, err := g.Acquire(0, "zone", "a", 10*time.Millisecond)
			So(err, ShouldBeNil)
			_, err = g.Acquire(time.Second, "zone", "b", time.Second)
			So(err, ShouldEqual, ErrHeld)
		})
		Convey("grants a released resource at once", func() {
			So(g.Release(first), ShouldBeNil)
			_, err := g.Acquire(time.Millisecond, "zone", "b", time.Second)
			So(err, ShouldBeNil)
		})
		Convey("rejects durations above MaxDuration", func() {
			_, err := g.Acquire(0, "other", "a", 6*time.Second)
			So(err, ShouldEqual, ErrDurationOutOfRange)
		})
		Convey("removes leases that have ended", func() {
			So(g.Expire(time.Second), ShouldBeEmpty)
			So(g.Expire(2*time.Second), ShouldHaveLength, 1)
			So(g.Outstanding(), ShouldEqual, 0)
		})
	})
	Convey("A granter that takes over rejects requests in its grace period", t, func() {
		g := NewGranter(10*time.Second, options())
		_, err := g.Acquire(15*time.Second, "zone", "b", time.Second)
		So(err, ShouldEqual, ErrGracePeriod)
		_, err = g.Acquire(15100*time.Millisecond, "zone", "b", time.Second)
		So(err, ShouldBeNil)
	})
}

func TestHolder(t *testing.T) {
	Convey("A holder counts from its request and stops before the end", t, func() {
		h := NewHolder(50 * time.Millisecond)
		h.OnGrant(time.Second, Grant{Token: 7, Duration: time.Second})
		_, ok := h.Valid(1949 * time.Millisecond)
		So(ok, ShouldBeTrue)
		_, ok = h.Valid(1950 * time.Millisecond)
		So(ok, ShouldBeFalse)
		h.OnGrant(500*time.Millisecond, Grant{Token: 7, Duration: time.Second})
		ends, _ := h.Expiry()
		So(ends, ShouldEqual, 1950*time.Millisecond)
		_, held := h.Relinquish()
		So(held, ShouldBeTrue)
		_, ok = h.Valid(time.Second)
		So(ok, ShouldBeFalse)
		h.OnGrant(time.Second, Grant{Token: 7, Duration: time.Second})
		_, ok = h.Valid(time.Second)
		So(ok, ShouldBeFalse)
	})
}

// leaseSimulation simulates holders that request leases of one resource, with delays in both directions, a
// sequence of granters, and clocks that differ by constant offsets. At most one holder may have a valid lease at
// any time.
type leaseSimulation struct {
	now     time.Duration
	granter *Granter
	epoch   uint64
	holders []*Holder
	offsets []time.Duration // offsets of the holders' clocks from now
	answers []answer
	fence   Fence
}

// answer is a grant in flight to a holder.
type answer struct {
	at          time.Duration
	holder      int
	requestedAt time.Duration // by the holder's clock
	grant       Grant
}

func simulationOptions(epoch uint64) GranterOptions {
	return GranterOptions{Epoch: epoch, MaxDuration: time.Second, DriftAllowance: time.Millisecond}
}

func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &leaseSimulation{granter: NewFirstGranter(simulationOptions(1)), epoch: 1}
		for i := 0; i < 3; i++ {
			w.holders = append(w.holders, NewHolder(0))
			w.offsets = append(w.offsets, time.Duration(rapid.IntRange(0, 1e9).Draw(t, "offset")))
		}
		for i := 0; i < 120; i++ {
			w.now += time.Duration(rapid.IntRange(0, 2e8).Draw(t, "pause"))
			w.deliver()
			w.act(t)
			w.check(t)
		}
	})
}

func (w *leaseSimulation) act(t *rapid.T) {
	holder := rapid.IntRange(0, len(w.holders)-1).Draw(t, "holder")
	if rapid.IntRange(0, 15).Draw(t, "takeover") == 0 {
		w.epoch++
		w.granter = NewGranter(w.now, simulationOptions(w.epoch))
		return
	}
	if rapid.IntRange(0, 9).Draw(t, "release") == 0 {
		if grant, held := w.holders[holder].Relinquish(); held {
			_ = w.granter.Release(grant)
		}
		return
	}
	requestedAt := w.now + w.offsets[holder]
	w.now += time.Duration(rapid.IntRange(0, 3e8).Draw(t, "way there"))
	duration := time.Duration(rapid.IntRange(1, 1e9).Draw(t, "duration"))
	var grant Grant
	var err error
	if held := w.holders[holder]; held.held && rapid.Bool().Draw(t, "renew") {
		grant = held.grant
		grant.Duration = duration
		grant, err = w.granter.Renew(w.now, grant)
	} else {
		grant, err = w.granter.Acquire(w.now, "r", fmt.Sprint(holder), duration)
	}
	if err != nil {
		return
	}
	back := time.Duration(rapid.IntRange(0, 3e8).Draw(t, "way back"))
	w.answers = append(w.answers, answer{at: w.now + back, holder: holder, requestedAt: requestedAt, grant: grant})
}

func (w *leaseSimulation) deliver() {
	waiting := w.answers[:0]
	for _, a := range w.answers {
		if a.at > w.now {
			waiting = append(waiting, a)
			continue
		}
		w.holders[a.holder].OnGrant(a.requestedAt, a.grant)
	}
	w.answers = waiting
}

func (w *leaseSimulation) check(t *rapid.T) {
	owners := 0
	for i, h := range w.holders {
		token, ok := h.Valid(w.now + w.offsets[i])
		if !ok {
			continue
		}
		owners++
		if !w.fence.Admit(token) {
			t.Fatalf("the fence rejects the token of holder %d, whose lease is valid", i)
		}
	}
	if owners > 1 {
		t.Fatalf("%d holders have a valid lease of one resource, want at most 1", owners)
	}
}
