package subscription

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	defaultRuns   = 5 // number of simulations unless SEEDS sets another
	faultsUntil   = 60 * time.Second
	runLength     = 75 * time.Second // all faults have ended by then
	faultInterval = 900 * time.Millisecond
	settleTime    = 4 * time.Second // time at the end without slow messages and busy machines
	racesPerRun   = 3               // key replacement races per long simulation
)

// Bugs that can be injected.
const (
	noBug                       injectedBug = ""
	bugUnprovenConfirmation     injectedBug = "a control process confirms without a proof"
	bugNoAge                    injectedBug = "a control process doesn't state the age of its proof"
	bugLeaseFromReceipt         injectedBug = "a lease counts from the receipt of the answer"
	bugLeaseCheckedLast         injectedBug = "the lease is checked only after the configuration"
	bugUnconfirmedConfiguration injectedBug = "a new process applies an unconfirmed configuration"
	bugConfigurationGoesBack    injectedBug = "a new control process may send an older configuration"
	bugRejectsUnconfirmed       injectedBug = "a request is rejected without asking control"
	bugServerListGoesBack       injectedBug = "a new control process may send an older list of servers"
)

// foundBy has, for each bug, the simulation that finds it and a part of the message of the check that fails.
var foundBy = map[injectedBug]struct {
	simulate func(seed uint64, bug injectedBug) (*harness, string)
	reason   string
	first    uint64 // first seed; skips simulations that are known not to find the bug
}{
	bugUnprovenConfirmation:     {simulateRandomFaults, "nobody has confirmed", 1},
	bugNoAge:                    {simulateKeyReplacementRace, "removed for good", 40},
	bugLeaseFromReceipt:         {simulateKeyReplacementRace, "removed for good", 1},
	bugLeaseCheckedLast:         {simulateKeyReplacementRace, "removed for good", 1},
	bugUnconfirmedConfiguration: {simulateRandomFaults, "nobody has confirmed", 1},
	bugConfigurationGoesBack:    {simulateRandomFaults, "goes back from configuration", 1},
	bugRejectsUnconfirmed:       {simulateRandomFaults, "which every configuration in force has", 1},
	bugServerListGoesBack:       {simulateRandomFaults, "takes a list read at", 1},
}

// injectFault injects a random fault.
func (h *harness) injectFault() {
	if h.calm || h.Elapsed() < 4*time.Second {
		return
	}
	h.faults++
	g := h.gateways[h.random.IntN(len(h.gateways))]
	c := h.chain.controls[h.random.IntN(len(h.chain.controls))]
	switch h.random.IntN(12) {
	case 0:
		g.stop()
		h.After(200*time.Millisecond+h.span(2*time.Second), func() { g.start(g.seeds) })
	case 1:
		g.freeze(h.span(maxPause))
	case 2:
		g.partitionFromControl(h.random.IntN(3), h.span(maxPartition))
	case 3:
		h.partitionBetween(g.name, c.name, h.random.IntN(3), h.span(maxPartition))
	case 4:
		c.freeze(h.span(maxPause))
	case 5, 6, 7:
		h.isolate(c, g)
	case 8:
		c.stop(false)
		h.After(100*time.Millisecond+h.span(3*time.Second), c.start)
	case 9:
		c.stop(h.chain.countSynced(c) > 0)
		h.After(100*time.Millisecond+h.span(3*time.Second), c.start)
	case 10:
		for _, control := range h.chain.controls {
			control.stop(false)
			h.After(100*time.Millisecond+h.span(time.Second), control.start)
		}
	case 11:
		if len(h.gateways) < 10 {
			h.addGateway()
		}
	}
}

// countSynced counts the synced machines of the chain other than one.
func (c *chainModel) countSynced(except *simControl) (count int) {
	for _, member := range c.chain {
		if member != except && member.synced {
			count++
		}
	}
	return count
}

// isolate partitions a control process and a gateway from the other control processes. The gateway reaches only
// that control process, and may restart meanwhile; another gateway may also subscribe to it.
func (h *harness) isolate(c *simControl, g *simGateway) {
	length, way := time.Second+h.span(maxPartition-time.Second), h.random.IntN(3)
	for _, peer := range h.chain.controls {
		if peer != c {
			h.partitionBetween(c.name, peer.name, way, length)
			h.partitionBetween(g.name, peer.name, 0, length)
		}
	}
	g.faultAt = h.Elapsed() + length
	if h.random.Chance(0.5) {
		h.After(h.span(2*time.Second), func() {
			g.stop()
			h.After(100*time.Millisecond, func() { g.start([]string{c.name}) })
		})
	}
	if h.random.Chance(0.3) { // another gateway loses its connection and may subscribe to this control process
		other := h.gateways[h.random.IntN(len(h.gateways))]
		h.After(h.span(length), func() {
			if other.session != nil && other.up {
				other.session.end()
			}
		})
	}
}

// simulateKeyReplacementRace runs a short simulation without random faults. All keys are replaced, and at about that
// time one fault occurs at a gateway, which is also partitioned from control for longer than a lease lasts. Its
// clients keep using the old keys.
func simulateKeyReplacementRace(seed uint64, bug injectedBug) (h *harness, violation string) {
	defer func() {
		if failure := recover(); failure != nil {
			violation = fmt.Sprint(failure)
		}
	}()
	const begin = 4 * time.Second
	h = newHarness(seed, bug)
	h.calm = true
	h.Run(begin)
	g, due := h.gateways[0], 50*time.Millisecond+h.span(400*time.Millisecond)
	h.operator.replaceAll(h.Elapsed() + due)
	g.eager = true
	var cutAfter time.Duration // after the command
	switch seed % 3 {
	case 0: // an answer is delayed
		h.After(due-h.span(400*time.Millisecond), func() {
			if g.session != nil {
				g.session.back.slowNext = replyTimeout/2 + h.span(replyTimeout/2)
			}
		})
		cutAfter = h.span(300 * time.Millisecond)
	case 1: // the gateway's control process applies the command late
		if g.session != nil {
			g.session.control.lagsUntil = h.Elapsed() + due + time.Second
		}
		cutAfter = 300*time.Millisecond + h.span(600*time.Millisecond)
	case 2: // the gateway reconnects on a busy machine
		h.busyShare = 0.5
		cutAfter = -due
	}
	h.After(due+cutAfter, func() { g.partitionFromControl(0, revoke+time.Second+h.span(2*time.Second)) })
	h.Run(begin + 2*revoke)
	return h, ""
}

// simulateRandomFaults runs a simulation with random faults of all kinds, and returns the message of the check
// that failed or "".
func simulateRandomFaults(seed uint64, bug injectedBug) (h *harness, violation string) {
	defer func() {
		if failure := recover(); failure != nil {
			violation = fmt.Sprint(failure)
		}
	}()
	h = newHarness(seed, bug)
	h.every(faultInterval, h.injectFault)
	h.every(50*time.Millisecond, func() {
		for _, g := range h.gateways {
			if g.up && !g.frozen {
				g.checkProgress()
			}
		}
	})
	h.Run(faultsUntil)
	h.calm = true
	h.Run(runLength - faultsUntil + maxPartition)
	h.operator.closed, h.slowShare, h.busyShare = true, 0, 0
	h.Run(settleTime)
	for _, g := range h.gateways {
		if g.up && !g.ready() {
			h.failf("%s is not ready at the end: %v", g.name, g.state())
		}
		if current := g.s.Configuration(); current == nil || int(current.Index) < len(h.chain.log) {
			h.failf("%s doesn't have the newest configuration at the end", g.name)
		}
	}
	return h, ""
}

// environmentInt returns the number in an environment variable, or fallback if there is none.
func environmentInt(name string, fallback int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return fallback
}

// TestRandomSimulations runs simulations with fixed seeds. SEEDS=N runs N of them, FIRST=S starts at seed S.
func TestRandomSimulations(t *testing.T) {
	first, count := environmentInt("FIRST", 1), environmentInt("SEEDS", defaultRuns)
	var mutex sync.Mutex
	var served, faults, commands int
	rejected := map[int]int{}
	numbers := make(chan int)
	var wait sync.WaitGroup
	for range min(4, runtime.GOMAXPROCS(0)) {
		wait.Go(func() {
			for number := range numbers {
				seed := uint64(first + number)
				h, violation := simulateRandomFaults(seed, noBug)
				for i := range racesPerRun {
					if violation == "" {
						_, violation = simulateKeyReplacementRace(seed*racesPerRun+uint64(i), noBug)
					}
				}
				if violation != "" {
					t.Errorf("replay with FIRST=%d SEEDS=1: %s", first+number, violation)
					continue
				}
				mutex.Lock()
				faults, commands = faults+h.faults, commands+len(h.chain.log)
				for _, g := range h.gateways {
					served += g.served
					for status, count := range g.rejected {
						rejected[status] += count
					}
				}
				mutex.Unlock()
			}
		})
	}
	for number := range count {
		numbers <- number
	}
	close(numbers)
	wait.Wait()
	t.Logf("%d simulations, %d faults, %d configurations, %d requests served, rejected by status: %v", count, faults, commands, served, rejected)
}

// TestSimulationsFindBugs checks that the simulations detect each injected bug, by the intended check.
func TestSimulationsFindBugs(t *testing.T) {
	const maxSimulations = 300
	for bug, by := range foundBy {
		t.Run(string(bug), func(t *testing.T) {
			t.Parallel()
			for seed := by.first; seed < by.first+maxSimulations; seed++ {
				if _, violation := by.simulate(seed, bug); strings.Contains(violation, by.reason) {
					t.Logf("found in simulation %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("not found in %d simulations", maxSimulations)
		})
	}
}
