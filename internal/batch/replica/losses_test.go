package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/simulation"
)

// This file runs random histories of losses on a cluster, step by step: machines that are absent while others are
// lost and return, lost disks, losses of all power, restarts, views that some stores receive late or not at all, and
// added and retired stores. Since control last agreed that all members have reconciled, no more machines are absent
// or have lost their disks than must be tolerated.

const (
	lossSteps    = 14
	lossJobsStep = 3 // number of batch jobs that one step submits
)

// lossHistory is one history.
type lossHistory struct {
	*cluster
	random    *rand.Rand
	seed      uint64
	tolerance int // number of machines that may be lost at once
	lateViews bool
	lost      map[int]bool // machines that lost their disks or were absent since all stores had reconciled
	away      map[int]bool
	removed   map[int]bool // machines that were retired and removed
	accepted  []string
	events    []string
	failure   string
}

func newLossHistory(seed uint64, lateViews bool) *lossHistory {
	tolerance := 1 + int(seed%2)
	h := &lossHistory{
		cluster: newCluster(2*tolerance+2, tolerance+1, seed), random: rand.New(rand.NewPCG(seed, 1)),
		seed: seed, tolerance: tolerance, lateViews: lateViews,
		lost: map[int]bool{}, away: map[int]bool{}, removed: map[int]bool{},
	}
	h.cluster.quiesce()
	return h
}

func (h *lossHistory) note(format string, arguments ...any) {
	h.events = append(h.events, fmt.Sprintf(format, arguments...))
}

func (h *lossHistory) failf(format string, arguments ...any) {
	if h.failure == "" {
		h.failure = fmt.Sprintf(format, arguments...)
	}
}

// remaining returns the machines that are neither absent nor removed.
func (h *lossHistory) remaining() (list []*clusterNode) {
	for _, n := range h.nodes {
		if !h.away[n.number] && !h.removed[n.number] {
			list = append(list, n)
		}
	}
	return list
}

// oneIn returns true with a probability of 1/times.
func (h *lossHistory) oneIn(times int) bool { return h.random.IntN(times) == 0 }

// changeMembers makes control agree on the set of the remaining machines, sometimes after a view that reaches no
// store. With lateViews some stores receive the view only after the others have continued without them, and
// messages are lost in the meantime.
func (h *lossHistory) changeMembers() {
	if h.oneIn(3) {
		h.epoch++
	}
	list := h.remaining()
	if !h.lateViews {
		h.cluster.installView(list...)
		return
	}
	var unaware []*clusterNode
	for i, n := range list {
		if i > 0 && h.oneIn(3) {
			unaware = append(unaware, n)
		}
	}
	h.uninformed = func(n *clusterNode) bool { return slices.Contains(unaware, n) }
	h.cluster.installView(list...)
	h.cluster.drops = func(clusterMessage) bool { return h.oneIn(8) }
	for range h.random.IntN(4) {
		h.round()
	}
	h.uninformed = nil
	for _, n := range unaware {
		if !h.oneIn(3) {
			h.rejoin(n)
		}
	}
}

// reconcileAll installs the newest view at all machines that remain, and delivers messages until there are
// none.
func (h *lossHistory) reconcileAll() {
	h.cluster.drops, h.uninformed = nil, nil
	for _, n := range h.remaining() {
		h.rejoin(n)
	}
	h.cluster.quiesce()
	if h.currentView.Settled && len(h.currentView.Members) == len(h.remaining()) {
		clear(h.lost)
	}
}

// step injects a random fault or change that the losses so far allow.
func (h *lossHistory) step() {
	list := h.remaining()
	n := list[h.random.IntN(len(list))]
	switch kind := h.random.IntN(11); {
	case kind <= 1 && len(h.lost) < h.tolerance && len(list) > h.tolerance+1:
		h.note("%s goes away", n.key())
		n.kill()
		h.away[n.number], h.lost[n.number] = true, true
		h.changeMembers()
	case kind == 2 && len(h.lost) < h.tolerance:
		h.note("%s loses its disk", n.key())
		h.lost[n.number] = true
		n.wipe()
		n.start()
		h.changeMembers()
	case kind == 3 && len(h.away) > 0:
		h.restart(h.firstAway())
		h.changeMembers()
	case kind == 4:
		h.note("all processes start again")
		for _, n := range list {
			n.kill()
			n.start()
			h.rejoin(n)
		}
	case kind <= 6:
		h.losePower(list)
	case kind == 7 && len(h.nodes) < 2*h.tolerance+5:
		h.add()
	case kind == 8 && len(list) > h.tolerance+2 && len(h.lost) == 0:
		h.retire(n)
	default:
		h.submit(n)
	}
}

// firstAway returns the first machine that is absent; nil if none is.
func (h *lossHistory) firstAway() *clusterNode {
	for _, n := range h.nodes {
		if h.away[n.number] {
			return n
		}
	}
	return nil
}

// restart starts a machine that was absent.
func (h *lossHistory) restart(n *clusterNode) {
	h.note("%s comes back", n.key())
	delete(h.away, n.number)
	n.start()
}

// losePower cuts the power of all remaining machines, and loses some disks. The machines return one by one, sometimes
// with those that were absent before first.
func (h *lossHistory) losePower(list []*clusterNode) {
	for _, n := range list {
		n.losePower()
	}
	for _, n := range list {
		if len(h.lost) < h.tolerance && !h.lost[n.number] && h.oneIn(2) {
			h.lost[n.number] = true
			n.wipe()
		}
	}
	h.note("all lose power; lost or absent since all had reconciled: %v", h.lost)
	h.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if h.oneIn(2) {
		for n := h.firstAway(); n != nil; n = h.firstAway() {
			delete(h.away, n.number)
			list = append([]*clusterNode{n}, list...)
		}
	}
	for _, n := range list {
		h.away[n.number] = true
	}
	for i, n := range list {
		h.restart(n)
		if i == len(list)-1 || h.oneIn(2) {
			h.changeMembers()
		}
		if h.oneIn(3) {
			h.cluster.quiesce()
		}
		h.checkNotDenied(n)
	}
}

// checkNotDenied reads an accepted batch job at a store, which may be one of the first that have returned. The store
// must not answer 404.
func (h *lossHistory) checkNotDenied(n *clusterNode) {
	if len(h.accepted) == 0 || !h.oneIn(3) {
		return
	}
	id := h.accepted[h.random.IntN(len(h.accepted))]
	if _, status := n.read(id); status == 404 {
		h.failf("%s answers 404 for the accepted batch job %s", n.key(), id)
	}
}

func (h *lossHistory) add() {
	n := &clusterNode{cluster: h.cluster, number: len(h.nodes), incarnation: 1,
		disk: simulation.NewDisk(simulation.NewRand(h.seed + uint64(100*len(h.nodes))))}
	h.note("%s is added", n.key())
	h.nodes = append(h.nodes, n)
	n.start()
	h.changeMembers()
}

// retire drains a store and removes it. It is called only while no machine is lost or absent.
func (h *lossHistory) retire(n *clusterNode) {
	h.note("%s retires", n.key())
	n.state = protocol.StoreRetiring
	h.changeMembers()
	h.reconcileAll()
	h.reconcileAll()
	if !n.machine.Report().DrainedDown {
		h.failf("%s isn't drained", n.key())
		return
	}
	n.state = protocol.StoreRetired
	h.changeMembers()
	if h.oneIn(2) {
		h.cluster.quiesce()
	}
	n.wipe()
	h.removed[n.number] = true
	h.changeMembers()
}

func (h *lossHistory) submit(n *clusterNode) {
	for range lossJobsStep {
		id := fmt.Sprint("job-", len(h.accepted))
		if n.submit(id, 1).Status == 202 {
			h.accepted = append(h.accepted, id)
		}
	}
	h.note("%d batch jobs", len(h.accepted))
}

// run runs a history until all machines have returned, and checks that all accepted batch jobs can be read and all
// stores have reconciled.
func (h *lossHistory) run() {
	for range lossSteps {
		h.step()
		if !h.oneIn(4) {
			h.reconcileAll()
		}
	}
	for n := h.firstAway(); n != nil; n = h.firstAway() {
		h.restart(n)
	}
	h.changeMembers()
	h.reconcileAll()
	h.reconcileAll()
	for _, id := range h.accepted {
		if _, status := h.remaining()[0].readAnywhere(id); status != 200 {
			h.failf("a read of %s is answered %d, want 200", id, status)
		}
	}
	for _, n := range h.remaining() {
		if status := n.machine.Status(); !status.Reconciled() {
			h.failf("%s hasn't reconciled: %+v", n.key(), status)
		}
	}
	if !h.currentView.Settled {
		h.failf("control hasn't agreed that all have reconciled")
	}
}

// TestRandomLosses runs random histories. SEEDS=N runs N of each kind, FIRST=S starts at seed S.
func TestRandomLosses(t *testing.T) {
	seeds, first := modelSeeds(250)
	for _, lateViews := range []bool{false, true} {
		accepted := 0
		for seed := first; seed < first+seeds; seed++ {
			h := newLossHistory(seed, lateViews)
			h.run()
			accepted += len(h.accepted)
			if h.failure != "" {
				t.Errorf("late %t, FIRST=%d SEEDS=1: %s\n%s", lateViews, seed, h.failure, strings.Join(h.events, "\n"))
			}
		}
		t.Logf("late %t: %d histories, %d batch jobs accepted", lateViews, seeds, accepted)
	}
}
