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
	stored := &lossHistory{
		cluster: newCluster(2*allowed+2, allowed+1, seed), random: rand.New(rand.NewPCG(seed, 1)),
		seed: seed, allowed: allowed, late: late,
		lost: map[int]bool{}, away: map[int]bool{}, removed: map[int]bool{},
	}
	stored.cluster.quiesce()
	return stored
}

func (stored *lossHistory) note(format string, arguments ...any) {
	stored.events = append(stored.events, fmt.Sprintf(format, arguments...))
}

func (stored *lossHistory) failf(format string, arguments ...any) {
	if stored.failure == "" {
		stored.failure = fmt.Sprintf(format, arguments...)
	}
}

// remaining returns the machines that are neither away nor removed.
func (stored *lossHistory) remaining() (list []*clusterNode) {
	for _, n := range stored.nodes {
		if !stored.away[n.number] && !stored.removed[n.number] {
			list = append(list, n)
		}
	}
	return list
}

func (stored *lossHistory) chance(one int) bool { return stored.random.IntN(one) == 0 }

// changeMembers has control agree on the set of those that remain; now and then a view before it reached
// nobody. In late histories some learn of it only after the others have gone on, with messages lost
// meanwhile.
func (stored *lossHistory) changeMembers() {
	if stored.chance(3) {
		stored.epoch++
	}
	list := stored.remaining()
	if !stored.late {
		stored.cluster.installView(list...)
		return
	}
	var unaware []*clusterNode
	for i, n := range list {
		if i > 0 && stored.chance(3) {
			unaware = append(unaware, n)
		}
	}
	stored.uninformed = func(n *clusterNode) bool { return slices.Contains(unaware, n) }
	stored.cluster.installView(list...)
	stored.cluster.drops = func(clusterMessage) bool { return stored.chance(8) }
	for range stored.random.IntN(4) {
		stored.round()
	}
	stored.uninformed = nil
	for _, n := range unaware {
		if !stored.chance(3) {
			stored.rejoin(n)
		}
	}
}

// settleAll tells all of the newest view, and waits until they are quiet.
func (stored *lossHistory) settleAll() {
	stored.cluster.drops, stored.uninformed = nil, nil
	for _, n := range stored.remaining() {
		stored.rejoin(n)
	}
	stored.cluster.quiesce()
	if stored.currentView.Settled && len(stored.currentView.Members) == len(stored.remaining()) {
		clear(stored.lost)
	}
}

// step does the next thing.
func (stored *lossHistory) step() {
	list := stored.remaining()
	n := list[stored.random.IntN(len(list))]
	switch kind := stored.random.IntN(11); {
	case kind <= 1 && len(stored.lost) < stored.allowed && len(list) > stored.allowed+1:
		stored.note("%s goes away", n.key())
		n.kill()
		stored.away[n.number], stored.lost[n.number] = true, true
		stored.changeMembers()
	case kind == 2 && len(stored.lost) < stored.allowed:
		stored.note("%s loses its disk", n.key())
		stored.lost[n.number] = true
		n.wipe()
		n.start()
		stored.changeMembers()
	case kind == 3 && len(stored.away) > 0:
		stored.returns(stored.firstAway())
		stored.changeMembers()
	case kind == 4:
		stored.note("all processes start again")
		for _, n := range list {
			n.kill()
			n.start()
			stored.rejoin(n)
		}
	case kind <= 6:
		stored.losePower(list)
	case kind == 7 && len(stored.nodes) < 2*stored.allowed+5:
		stored.add()
	case kind == 8 && len(list) > stored.allowed+2 && len(stored.lost) == 0:
		stored.retire(n)
	default:
		stored.submit(n)
	}
}

func (stored *lossHistory) firstAway() *clusterNode {
	for _, n := range stored.nodes {
		if stored.away[n.number] {
			return n
		}
	}
	return nil
}

func (stored *lossHistory) returns(n *clusterNode) {
	stored.note("%s comes back", n.key())
	delete(stored.away, n.number)
	n.start()
}

// losePower cuts the power of all that remain, and loses some disks. They return one by one, those that were
// away perhaps first.
func (stored *lossHistory) losePower(list []*clusterNode) {
	for _, n := range list {
		n.losePower()
	}
	for _, n := range list {
		if len(stored.lost) < stored.allowed && !stored.lost[n.number] && stored.chance(2) {
			stored.lost[n.number] = true
			n.wipe()
		}
	}
	stored.note("all lose power; lost or away since all had reconciled: %v", stored.lost)
	stored.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if stored.chance(2) {
		for n := stored.firstAway(); n != nil; n = stored.firstAway() {
			delete(stored.away, n.number)
			list = append([]*clusterNode{n}, list...)
		}
	}
	for _, n := range list {
		stored.away[n.number] = true
	}
	for i, n := range list {
		stored.returns(n)
		if i == len(list)-1 || stored.chance(2) {
			stored.changeMembers()
		}
		if stored.chance(3) {
			stored.cluster.quiesce()
		}
		stored.checkNotDenied(n)
	}
}

// checkNotDenied asks a store, which may be one of the first that are back, for an accepted batch job.
func (stored *lossHistory) checkNotDenied(n *clusterNode) {
	if len(stored.accepted) == 0 || !stored.chance(3) {
		return
	}
	id := stored.accepted[stored.random.IntN(len(stored.accepted))]
	if _, status := n.read(id); status == 404 {
		stored.failf("%s denies %s", n.key(), id)
	}
}

func (stored *lossHistory) add() {
	n := &clusterNode{cluster: stored.cluster, number: len(stored.nodes), incarnation: 1,
		disk: simulation.NewDisk(simulation.NewRand(stored.seed + uint64(100*len(stored.nodes))))}
	stored.note("%s is added", n.key())
	stored.nodes = append(stored.nodes, n)
	n.start()
	stored.changeMembers()
}

// retire drains a store and takes it away, while all are there.
func (stored *lossHistory) retire(n *clusterNode) {
	stored.note("%s retires", n.key())
	n.state = protocol.StoreRetiring
	stored.changeMembers()
	stored.settleAll()
	stored.settleAll()
	if !n.machine.Report().DrainedDown {
		stored.failf("%s isn't drained", n.key())
		return
	}
	n.state = protocol.StoreRetired
	stored.changeMembers()
	if stored.chance(2) {
		stored.cluster.quiesce()
	}
	n.wipe()
	stored.removed[n.number] = true
	stored.changeMembers()
}

func (stored *lossHistory) submit(n *clusterNode) {
	for range lossJobsStep {
		id := fmt.Sprint("job-", len(stored.accepted))
		if n.submit(id, 1).Status == 202 {
			stored.accepted = append(stored.accepted, id)
		}
	}
	stored.note("%d batch jobs", len(stored.accepted))
}

// play runs a history to its end, when all are back: all that was accepted is there, and all have reconciled.
func (stored *lossHistory) play() {
	for range lossSteps {
		stored.step()
		if !stored.chance(4) {
			stored.settleAll()
		}
	}
	for n := stored.firstAway(); n != nil; n = stored.firstAway() {
		stored.returns(n)
	}
	stored.changeMembers()
	stored.settleAll()
	stored.settleAll()
	for _, id := range stored.accepted {
		if _, status := stored.remaining()[0].readAnywhere(id); status != 200 {
			stored.failf("%s is answered with %d", id, status)
		}
	}
	for _, n := range stored.remaining() {
		if status := n.machine.Status(); !status.Reconciled() {
			stored.failf("%s hasn't reconciled: %+v", n.key(), status)
		}
	}
	if !stored.currentView.Settled {
		stored.failf("control hasn't agreed that all have reconciled")
	}
}

// TestRandomLosses runs histories; SEEDS=N runs N of each kind, FIRST=S begins at seed S.
func TestRandomLosses(t *testing.T) {
	seeds, first := modelSeeds(250)
	for _, late := range []bool{false, true} {
		accepted := 0
		for seed := first; seed < first+seeds; seed++ {
			stored := newLossHistory(seed, late)
			stored.play()
			accepted += len(stored.accepted)
			if stored.failure != "" {
				t.Errorf("late %t, FIRST=%d SEEDS=1: %s\n%s", late, seed, stored.failure, strings.Join(stored.events, "\n"))
			}
		}
		t.Logf("late %t: %d histories, %d batch jobs accepted", late, seeds, accepted)
	}
}
