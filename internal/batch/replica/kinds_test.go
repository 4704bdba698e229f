package replica

import (
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/control/statemachine"
)

// This file owns worlds of one kind of trouble each.

// simulate plays worlds with one kind of trouble.
func simulate(t *testing.T, stores, tolerance int, strike func(c *campaign)) {
	t.Helper()
	first := wanted("FIRST", 1)
	for seed := first; seed < first+wanted("SEEDS", plainKinds); seed++ {
		w := newWorld(uint64(seed), stores, tolerance+1, "")
		w.segment = int64(300 + w.random.IntN(6000))
		c := &campaign{world: w, tolerance: tolerance}
		c.runUntil(1500 * time.Millisecond)
		c.load()
		strike(c)
		c.finish()
		if c.failure != nil {
			t.Fatalf("replay with FIRST=%d SEEDS=1: %v", seed, c.failure)
		}
	}
}

func TestRandomCalm(t *testing.T) {
	simulate(t, 3, 1, func(*campaign) {})
}

func TestRandomLossyLinks(t *testing.T) {
	simulate(t, 3, 1, func(c *campaign) { c.loss = 0.1 })
}

// TestRandomOneAtATime strikes one store after the other: the next only once the last is whole again.
func TestRandomOneAtATime(t *testing.T) {
	simulate(t, 3, 1, func(c *campaign) { c.strikeSome(1) })
}

// TestRandomThreeCopies bears the loss of two at once.
func TestRandomThreeCopies(t *testing.T) {
	simulate(t, 6, 2, func(c *campaign) { c.strikeSome(2) })
}

// strikeSome strikes so many stores at once, again and again.
func (c *campaign) strikeSome(count int) {
	c.after(c.between(500*time.Millisecond, 4*time.Second), func() {
		if c.calm {
			return
		}
		list := c.there()
		c.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		down := c.between(100*time.Millisecond, 4*time.Second)
		for _, s := range list[:count] {
			switch c.random.IntN(4) {
			case 0:
				s.kill()
			case 1:
				s.losePower()
			case 2:
				s.wipe()
			case 3:
				s.freeze(down)
			}
			c.after(down, s.restart)
		}
		c.after(down+catchUp, func() { c.strikeSome(count) })
	})
}

// TestRandomAllLosePower takes the power from all stores at once, twice.
func TestRandomAllLosePower(t *testing.T) {
	simulate(t, 3, 1, func(c *campaign) {
		for range 2 {
			c.after(c.between(time.Second, 14*time.Second), func() { c.takePower(nil, 3*time.Second) })
		}
	})
}

// TestRandomAllLosePowerOneDisk wipes one disk while all others lose power.
func TestRandomAllLosePowerOneDisk(t *testing.T) {
	simulate(t, 3, 1, func(c *campaign) {
		c.after(c.between(time.Second, 14*time.Second), func() { c.takePower(c.stores[:1], time.Second) })
	})
}

// TestRandomRetire empties a store, takes its disk, and right after that another one's.
func TestRandomRetire(t *testing.T) {
	simulate(t, 4, 1, func(c *campaign) {
		c.after(c.between(4*time.Second, 8*time.Second), func() { c.retire(c.there()[c.random.IntN(4):], 0) })
	})
}

// TestRandomRetireOfLostDisk loses the disk that was emptied before its machine is taken away, with whatever is on the next one by
// then; right after, another store's disk is lost in half of the worlds.
func TestRandomRetireOfLostDisk(t *testing.T) {
	simulate(t, 4, 1, func(c *campaign) {
		s := c.anyStore()
		c.after(c.between(4*time.Second, 8*time.Second), func() {
			c.retire([]*store{s}, 0)
			c.onRetired(s, func() {
				s.wipe()
				c.after(100*time.Millisecond, s.restart)
			})
		})
	})
}

// onRetired calls a function as soon as a store is emptied.
func (c *campaign) onRetired(s *store, then func()) {
	if c.control.Retirement(s.node) == statemachine.RetirementCompleted {
		then()
		return
	}
	c.after(time.Millisecond, func() { c.onRetired(s, then) })
}

// TestRandomRetireWhileAccepting empties a store that waits for slow replicas of batch jobs that it accepts.
func TestRandomRetireWhileAccepting(t *testing.T) {
	simulate(t, 4, 1, func(c *campaign) {
		c.after(5*time.Second, func() {
			for range 10 {
				c.load()
			}
			slow := c.anyStore()
			slow.slow = 100
			c.after(3*time.Second, func() { slow.slow = 1 })
		})
		c.after(5*time.Second+c.between(0, 300*time.Millisecond), func() { c.retire(c.there()[c.random.IntN(4):], 0) })
	})
}

// TestRandomGrow adds stores while batch jobs come and others are struck.
func TestRandomGrow(t *testing.T) {
	simulate(t, 3, 1, func(c *campaign) {
		for range 2 {
			c.after(c.between(2*time.Second, 9*time.Second), func() { c.addStore() })
		}
		c.strikeSome(1)
	})
}

// TestRandomDamage damages the logs of stores between other troubles: all that was promised is there from the other copies.
func TestRandomDamage(t *testing.T) {
	strike := func(c *campaign) {
		c.focus = []string{troubleDamage, troubleWipe, troubleReplace, troubleKill, troubleAllPower, troubleAllPowerDisks, troubleRetire}
		c.impatient = c.seed%2 == 0
		c.after(c.between(time.Second, 4*time.Second), c.trouble)
	}
	simulate(t, 4, 1, strike)
	simulate(t, 6, 2, strike)
}

// damage inverts bits of a store's log while its process is down.
func (c *campaign) damage(s *store, down time.Duration) {
	s.kill()
	s.damage()
	c.after(down, s.restart)
}

// TestRandomChaos strikes without any limit but that disks stay: nothing may be wrong, though not all may be served.
func TestRandomChaos(t *testing.T) {
	simulate(t, 4, 1, func(c *campaign) {
		c.loss = 0.05
		for range 12 {
			c.after(c.between(0, 18*time.Second), c.chaos)
		}
		c.after(c.between(2*time.Second, 15*time.Second), func() {
			c.command(statemachine.Command{Retire: &statemachine.Retire{Node: c.anyStore().node, Remain: c.copies}})
		})
	})
}

func (c *campaign) chaos() {
	s := c.anyStore()
	if !s.up {
		return
	}
	down := c.between(0, 4*time.Second)
	switch c.random.IntN(5) {
	case 0:
		s.freeze(down)
	case 1:
		c.cutOff(s, down)
	case 2:
		c.cutOneWay(s, down)
	case 3:
		s.kill()
	case 4:
		s.losePower()
	}
	c.after(down, s.restart)
}
