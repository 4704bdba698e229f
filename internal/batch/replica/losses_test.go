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

// Random histories of losses on a cluster, step by step: machines that stay away while others are lost and
// return, lost disks, losses of all power, restarts, views that some learn of late or not at all, added and
// retired stores. No more machines are away or without their disks at once than may be, counted since control
// agreed that all have reconciled.

const (
	lossSteps    = 14
	lossJobsStep = 3 // batch jobs that one step submits
)

// lossHistory is one history.
type lossHistory struct {
	*cluster
	random   *rand.Rand
	seed     uint64
	allowed  int // machines that may be lost at once
	late     bool
	lost     map[int]bool // machines that were lost or went away since all had reconciled
	away     map[int]bool
	removed  map[int]bool // retired and taken away
	accepted []string
	events   []string
	failure  string
}

func newLossHistory(seed uint64, late bool) *lossHistory {
	allowed := 1 + int(seed%2)
	h := &lossHistory{
		cluster: newCluster(2*allowed+2, allowed+1, seed), random: rand.New(rand.NewPCG(seed, 1)),
		seed: seed, allowed: allowed, late: late,
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

// remaining returns the machines that are neither away nor removed.
func (h *lossHistory) remaining() (list []*clusterNode) {
	for _, n := range h.nodes {
		if !h.away[n.number] && !h.removed[n.number] {
			list = append(list, n)
		}
	}
	return list
}

// chance is true once in so many times.
func (h *lossHistory) chance(one int) bool { return h.random.IntN(one) == 0 }

// changeMembers has control agree on the set of those that remain; now and then after a view that reaches
// no store. In late histories some learn of it only after the others have gone on, with messages lost
// meanwhile.
func (h *lossHistory) changeMembers() {
	if h.chance(3) {
		h.epoch++
	}
	list := h.remaining()
	if !h.late {
		h.cluster.installView(list...)
		return
	}
	var unaware []*clusterNode
	for i, n := range list {
		if i > 0 && h.chance(3) {
			unaware = append(unaware, n)
		}
	}
	h.uninformed = func(n *clusterNode) bool { return slices.Contains(unaware, n) }
	h.cluster.installView(list...)
	h.cluster.drops = func(clusterMessage) bool { return h.chance(8) }
	for range h.random.IntN(4) {
		h.round()
	}
	h.uninformed = nil
	for _, n := range unaware {
		if !h.chance(3) {
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
	case kind <= 1 && len(h.lost) < h.allowed && len(list) > h.allowed+1:
		h.note("%s goes away", n.key())
		n.kill()
		h.away[n.number], h.lost[n.number] = true, true
		h.changeMembers()
	case kind == 2 && len(h.lost) < h.allowed:
		h.note("%s loses its disk", n.key())
		h.lost[n.number] = true
		n.wipe()
		n.start()
		h.changeMembers()
	case kind == 3 && len(h.away) > 0:
		h.returns(h.firstAway())
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
	case kind == 7 && len(h.nodes) < 2*h.allowed+5:
		h.add()
	case kind == 8 && len(list) > h.allowed+2 && len(h.lost) == 0:
		h.retire(n)
	default:
		h.submit(n)
	}
}

// firstAway returns the first machine that is away; nil if none is.
func (h *lossHistory) firstAway() *clusterNode {
	for _, n := range h.nodes {
		if h.away[n.number] {
			return n
		}
	}
	return nil
}

// returns starts a machine that was away.
func (h *lossHistory) returns(n *clusterNode) {
	h.note("%s comes back", n.key())
	delete(h.away, n.number)
	n.start()
}

// losePower cuts the power of all that remain, and loses some disks. They return one by one, those that were
// away perhaps first.
func (h *lossHistory) losePower(list []*clusterNode) {
	for _, n := range list {
		n.losePower()
	}
	for _, n := range list {
		if len(h.lost) < h.allowed && !h.lost[n.number] && h.chance(2) {
			h.lost[n.number] = true
			n.wipe()
		}
	}
	h.note("all lose power; lost or away since all had reconciled: %v", h.lost)
	h.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if h.chance(2) {
		for n := h.firstAway(); n != nil; n = h.firstAway() {
			delete(h.away, n.number)
			list = append([]*clusterNode{n}, list...)
		}
	}
	for _, n := range list {
		h.away[n.number] = true
	}
	for i, n := range list {
		h.returns(n)
		if i == len(list)-1 || h.chance(2) {
			h.changeMembers()
		}
		if h.chance(3) {
			h.cluster.quiesce()
		}
		h.checkNotDenied(n)
	}
}

// checkNotDenied asks a store, which may be one of the first that are back, for an accepted batch job.
func (h *lossHistory) checkNotDenied(n *clusterNode) {
	if len(h.accepted) == 0 || !h.chance(3) {
		return
	}
	id := h.accepted[h.random.IntN(len(h.accepted))]
	if _, status := n.read(id); status == 404 {
		h.failf("%s denies %s", n.key(), id)
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

// retire drains a store and takes it away, while all are there.
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
	if h.chance(2) {
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

// play runs a history to its end, when all are back: all that was accepted is there, and all have reconciled.
func (h *lossHistory) play() {
	for range lossSteps {
		h.step()
		if !h.chance(4) {
			h.reconcileAll()
		}
	}
	for n := h.firstAway(); n != nil; n = h.firstAway() {
		h.returns(n)
	}
	h.changeMembers()
	h.reconcileAll()
	h.reconcileAll()
	for _, id := range h.accepted {
		if _, status := h.remaining()[0].readAnywhere(id); status != 200 {
			h.failf("%s is answered with %d", id, status)
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

// TestRandomLosses runs histories; SEEDS=N runs N of each kind, FIRST=S begins at seed S.
func TestRandomLosses(t *testing.T) {
	seeds, first := modelSeeds(250)
	for _, late := range []bool{false, true} {
		accepted := 0
		for seed := first; seed < first+seeds; seed++ {
			h := newLossHistory(seed, late)
			h.play()
			accepted += len(h.accepted)
			if h.failure != "" {
				t.Errorf("late %t, FIRST=%d SEEDS=1: %s\n%s", late, seed, h.failure, strings.Join(h.events, "\n"))
			}
		}
		t.Logf("late %t: %d histories, %d batch jobs accepted", late, seeds, accepted)
	}
}
