package replica

import (
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/control/statemachine"
)

// This file contains simulations with one kind of fault each.

// simulateFaults runs simulations into which injectFaults injects faults.
func simulateFaults(t *testing.T, stores, tolerance int, injectFaults func(c *campaign)) {
	t.Helper()
	first := intFromEnvironment("FIRST", 1)
	for seed := first; seed < first+intFromEnvironment("SEEDS", defaultSeedsPerFault); seed++ {
		sim := newStoreSimulation(uint64(seed), stores, tolerance+1, "")
		sim.segmentSize = int64(300 + sim.random.IntN(6000))
		c := &campaign{storeSimulation: sim, tolerance: tolerance}
		c.runUntil(1500 * time.Millisecond)
		c.submitJobs()
		injectFaults(c)
		c.finish()
		if c.failure != nil {
			t.Fatalf("replay with FIRST=%d SEEDS=1: %v", seed, c.failure)
		}
	}
}

// TestRandomWithoutFaults runs simulations under load, without faults.
func TestRandomWithoutFaults(t *testing.T) {
	simulateFaults(t, 3, 1, func(*campaign) {})
}

// TestRandomLossyLinks loses one message in ten.
func TestRandomLossyLinks(t *testing.T) {
	simulateFaults(t, 3, 1, func(c *campaign) { c.lossRate = 0.1 })
}

// TestRandomOneFaultAtATime injects faults into one store after the other. The next fault is injected only after the
// store of the last one has recovered.
func TestRandomOneFaultAtATime(t *testing.T) {
	simulateFaults(t, 3, 1, func(c *campaign) { c.faultStores(1) })
}

// TestRandomThreeCopies injects faults into two stores at once, which three copies tolerate.
func TestRandomThreeCopies(t *testing.T) {
	simulateFaults(t, 6, 2, func(c *campaign) { c.faultStores(2) })
}

// faultStores injects faults into a number of stores at once, and repeats this after their recovery.
func (c *campaign) faultStores(count int) {
	c.schedule(c.randomDuration(500*time.Millisecond, 4*time.Second), func() {
		if c.faultsEnded {
			return
		}
		list := c.remaining()
		c.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		down := c.randomDuration(100*time.Millisecond, 4*time.Second)
		for _, s := range list[:count] {
			switch c.random.IntN(4) {
			case 0:
				s.kill()
			case 1:
				s.losePower()
			case 2:
				s.wipe()
			case 3:
				s.pause(down)
			}
			c.schedule(down, s.restart)
		}
		c.schedule(down+catchUpTime, func() { c.faultStores(count) })
	})
}

// TestRandomAllLosePower cuts the power of all stores at once, twice.
func TestRandomAllLosePower(t *testing.T) {
	simulateFaults(t, 3, 1, func(c *campaign) {
		for range 2 {
			c.schedule(c.randomDuration(time.Second, 14*time.Second), func() { c.cutPower(nil, 3*time.Second) })
		}
	})
}

// TestRandomAllLosePowerOneDisk cuts the power of all stores at once and loses the disk of one.
func TestRandomAllLosePowerOneDisk(t *testing.T) {
	simulateFaults(t, 3, 1, func(c *campaign) {
		c.schedule(c.randomDuration(time.Second, 14*time.Second), func() { c.cutPower(c.stores[:1], time.Second) })
	})
}

// TestRandomRetire drains a store and removes it. In some runs, another store's disk is lost immediately afterwards.
func TestRandomRetire(t *testing.T) {
	simulateFaults(t, 4, 1, func(c *campaign) {
		c.schedule(c.randomDuration(4*time.Second, 8*time.Second), func() { c.retire(c.remaining()[c.random.IntN(4):], 0) })
	})
}

// TestRandomRetireOfLostDisk loses the disk of a drained store before the store is removed, so that the store has a new
// disk by then. In half of the runs another store's disk is lost immediately afterwards.
func TestRandomRetireOfLostDisk(t *testing.T) {
	simulateFaults(t, 4, 1, func(c *campaign) {
		s := c.anyStore()
		c.schedule(c.randomDuration(4*time.Second, 8*time.Second), func() {
			c.retire([]*simulatedStore{s}, 0)
			c.onRetired(s, func() {
				s.wipe()
				c.schedule(100*time.Millisecond, s.restart)
			})
		})
	})
}

// onRetired calls a function as soon as a store is drained.
func (c *campaign) onRetired(s *simulatedStore, then func()) {
	if c.control.Retirement(s.node) == statemachine.RetirementCompleted {
		then()
		return
	}
	c.schedule(time.Millisecond, func() { c.onRetired(s, then) })
}

// TestRandomRetireWhileAccepting drains a store that waits for slow replicas of batch jobs that it accepts.
func TestRandomRetireWhileAccepting(t *testing.T) {
	simulateFaults(t, 4, 1, func(c *campaign) {
		c.schedule(5*time.Second, func() {
			for range 10 {
				c.submitJobs()
			}
			slow := c.anyStore()
			slow.slowdown = 100
			c.schedule(3*time.Second, func() { slow.slowdown = 1 })
		})
		c.schedule(5*time.Second+c.randomDuration(0, 300*time.Millisecond), func() {
			c.retire(c.remaining()[c.random.IntN(4):], 0)
		})
	})
}

// TestRandomGrow adds stores while batch jobs are submitted and faults are injected into others.
func TestRandomGrow(t *testing.T) {
	simulateFaults(t, 3, 1, func(c *campaign) {
		for range 2 {
			c.schedule(c.randomDuration(2*time.Second, 9*time.Second), func() { c.addStore() })
		}
		c.faultStores(1)
	})
}

// TestRandomCorruption corrupts the logs of stores between other faults. All promised data must be restored from the
// other copies.
func TestRandomCorruption(t *testing.T) {
	strike := func(c *campaign) {
		c.onlyFaults = []string{
			faultCorruption, faultWipe, faultReplace, faultKill, faultAllPower, faultAllPowerDisks, faultRetire,
		}
		c.earlyFaults = c.seed%2 == 0
		c.schedule(c.randomDuration(time.Second, 4*time.Second), c.injectFault)
	}
	simulateFaults(t, 4, 1, strike)
	simulateFaults(t, 6, 2, strike)
}

// corruptStore inverts bits of a store's log while its process is down.
func (c *campaign) corruptStore(s *simulatedStore, down time.Duration) {
	s.kill()
	s.corruptLog()
	c.schedule(down, s.restart)
}

// TestRandomUnboundedFaults injects faults into any number of stores at once, but loses no disks. No answer may be
// wrong, although some calls may not be served.
func TestRandomUnboundedFaults(t *testing.T) {
	simulateFaults(t, 4, 1, func(c *campaign) {
		c.lossRate = 0.05
		for range 12 {
			c.schedule(c.randomDuration(0, 18*time.Second), c.injectAnyFault)
		}
		c.schedule(c.randomDuration(2*time.Second, 15*time.Second), func() {
			c.command(statemachine.Command{Retire: &statemachine.Retire{Node: c.anyStore().node, Remain: c.replicationFactor}})
		})
	})
}

// injectAnyFault injects a fault into any store that is up, however many others are down.
func (c *campaign) injectAnyFault() {
	s := c.anyStore()
	if !s.up {
		return
	}
	down := c.randomDuration(0, 4*time.Second)
	switch c.random.IntN(5) {
	case 0:
		s.pause(down)
	case 1:
		c.partitionStore(s, down)
	case 2:
		c.partitionOneWay(s, down)
	case 3:
		s.kill()
	case 4:
		s.losePower()
	}
	c.schedule(down, s.restart)
}
