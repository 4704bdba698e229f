package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

// Figures of the troubles.
const (
	troubleSlots   = 3 // troubles at the same time, at most
	shortestCalm   = 200 * time.Millisecond
	longestCalm    = 3 * time.Second
	mostAtOnce     = 3 // processes that one kill or pause strikes
	longestDown    = 5 * time.Second
	longestReturn  = 3 * time.Second // until a process is started again after a blackout
	shortestPause  = 200 * time.Millisecond
	usualPause     = 3 * time.Second
	longestPause   = 20 * time.Second
	shortestCut    = 500 * time.Millisecond
	longestCut     = 10 * time.Second
	acceptanceWait = 3 * time.Second // that a blackout waits for a batch job to be accepted
	rightAfter     = 40 * time.Millisecond
	controlDisk    = 0.2 // of the disks that are wiped
)

// weights tell how often kinds are drawn.
var weights = []struct {
	kind   Kind
	weight int
}{{KindKill, 30}, {KindPause, 20}, {KindCut, 20}, {KindOneWay, 10}, {KindWipe, 6}, {KindBlackout, 14}}

func drawKind(random *rand.Rand) Kind {
	sum := 0
	for _, one := range weights {
		sum += one.weight
	}
	at := random.IntN(sum)
	for _, one := range weights {
		if at < one.weight {
			return one.kind
		}
		at -= one.weight
	}
	panic("the weights don't add up")
}

// trouble makes one trouble after the other until the context ends. What it did to the system it takes back.
func (r *run) trouble(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, drawTime(random, shortestCalm, longestCalm)) {
		switch drawKind(random) {
		case KindKill:
			r.killSome(ctx, random)
		case KindPause:
			r.pauseSome(ctx, random)
		case KindCut:
			r.cutSome(ctx, random, KindCut)
		case KindOneWay:
			r.cutSome(ctx, random, KindOneWay)
		case KindWipe:
			r.wipeOne(ctx, random)
		case KindBlackout:
			r.blackout(ctx, random)
		}
	}
}

// drawTime draws a time between two.
func drawTime(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Float64()*float64(most-least))
}

// some draws a few processes.
func (r *run) some(random *rand.Rand) []*unit {
	list := slices.Clone(r.units)
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:1+random.IntN(mostAtOnce)]
}

func names(units []*unit) string {
	list := make([]string, len(units))
	for i, one := range units {
		list[i] = one.name()
	}
	return strings.Join(list, " ")
}

// eachAtOnce does something to all at once.
func eachAtOnce(units []*unit, do func(int, *unit)) {
	var all sync.WaitGroup
	for i, one := range units {
		all.Go(func() { do(i, one) })
	}
	all.Wait()
}

// startAgain starts each at a time of its own.
func (r *run) startAgain(ctx context.Context, units []*unit, after []time.Duration) {
	eachAtOnce(units, func(i int, one *unit) {
		sleep(ctx, after[i])
		r.powered.RLock()
		defer r.powered.RUnlock()
		if err := one.start(); err != nil {
			r.referee.broken(RuleProcesses, "%v", err)
		}
	})
}

func drawTimes(random *rand.Rand, n int, most time.Duration) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = drawTime(random, 0, most)
	}
	return list
}

// killSome kills a few processes at once and starts them again.
func (r *run) killSome(ctx context.Context, random *rand.Rand) {
	units := r.some(random)
	after := drawTimes(random, len(units), longestDown)
	over := r.timeline.add(KindKill, "%s", withTimes(units, after))
	defer over()
	eachAtOnce(units, func(_ int, one *unit) { one.kill() })
	r.startAgain(ctx, units, after)
}

// withTimes words processes with when they are started again.
func withTimes(units []*unit, after []time.Duration) string {
	list := make([]string, len(units))
	for i, one := range units {
		list[i] = fmt.Sprintf("%s+%.1fs", one.name(), after[i].Seconds())
	}
	return strings.Join(list, " ")
}

// pauseSome lets a few processes stand still.
func (r *run) pauseSome(ctx context.Context, random *rand.Rand) {
	units := r.some(random)
	length := min(longestPause, shortestPause+time.Duration(random.ExpFloat64()*float64(usualPause)))
	over := r.timeline.add(KindPause, "%s", names(units))
	defer over()
	eachAtOnce(units, func(_ int, one *unit) { one.pause() })
	sleep(ctx, length)
	eachAtOnce(units, func(_ int, one *unit) { one.resume() })
}

// cutSome cuts a few machines off from the others, or from a few of them.
func (r *run) cutSome(ctx context.Context, random *rand.Rand, kind Kind) {
	machines := slices.Clone(r.fleet.Machines)
	random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	few := 1 + random.IntN(len(machines)/2)
	from, to := machines[:few], machines[few:]
	if random.IntN(2) == 0 {
		to = to[:1+random.IntN(len(to))]
	}
	if kind == KindOneWay && random.IntN(2) == 0 {
		from, to = to, from
	}
	over := r.timeline.add(kind, "from %s to %s", machineNames(from), machineNames(to))
	defer over()
	heal, err := r.network.cut(between(from, to, kind == KindCut))
	if err != nil {
		r.referee.broken(RuleProcesses, "the cut could not be made: %v", err)
	}
	sleep(ctx, drawTime(random, shortestCut, longestCut))
	heal()
}

func machineNames(machines []system.Machine) string {
	list := make([]string, len(machines))
	for i, one := range machines {
		list[i] = one.Name
	}
	return strings.Join(list, ",")
}

// wipeOne kills a process and empties its disk, where the budget allows.
func (r *run) wipeOne(ctx context.Context, random *rand.Rand) {
	one := r.drawDisks(random, 1)
	after := drawTimes(random, 1, longestDown)
	if r.budget.take(1) == 0 {
		return
	}
	over := r.timeline.add(KindWipe, "%s", withTimes(one, after))
	defer over()
	if err := one[0].wipe(); err != nil {
		r.referee.broken(RuleProcesses, "the disk could not be emptied: %v", err)
	}
	r.startAgain(ctx, one, after)
}

// drawDisks draws processes whose disks are to be wiped.
func (r *run) drawDisks(random *rand.Rand, n int) []*unit {
	stores, controls := slices.Clone(r.unitsOf(system.RoleBatch)), slices.Clone(r.unitsOf(system.RoleControl))
	for _, list := range [][]*unit{stores, controls} {
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	var drawn []*unit
	for i := range n {
		if random.Float64() < controlDisk {
			drawn = append(drawn, controls[i])
			continue
		}
		drawn = append(drawn, stores[i])
	}
	return drawn
}

// blackout kills all processes at once, right after a batch job was accepted, and wipes as many disks as the budget allows.
func (r *run) blackout(ctx context.Context, random *rand.Rand) {
	disks := r.drawDisks(random, r.plan.Lost)
	after := drawTimes(random, len(r.units), longestReturn)
	r.jobs.awaitAcceptance(ctx, acceptanceWait)
	sleep(ctx, drawTime(random, 0, rightAfter))
	r.powered.Lock()
	disks = disks[:r.budget.take(len(disks))]
	over := r.timeline.add(KindBlackout, "%s; wiped: %s", withTimes(r.units, after), names(disks))
	defer over()
	eachAtOnce(r.units, func(_ int, one *unit) { one.kill() })
	for _, one := range disks {
		if err := one.wipe(); err != nil {
			r.referee.broken(RuleProcesses, "the disk could not be emptied: %v", err)
		}
	}
	r.powered.Unlock()
	r.startAgain(ctx, r.units, after)
}
