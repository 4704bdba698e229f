package quota

import (
	"math"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// simControl is a control process with an allocator.
type simControl struct {
	clock       steadyClock
	allocator   *Allocator
	configured  uint64
	leadUntil   time.Duration
	frozenUntil time.Duration
	cut         cut
	dead        bool
}

func (w *world) newControl() *simControl {
	control := &simControl{clock: w.newClock()}
	control.allocator = NewAllocator(AllocatorOptions{Rules: testRules, Random: w.random.Uint64})
	control.configure(w.snapshot)
	return control
}

func (c *simControl) configure(snapshot *configuration.Snapshot) {
	if snapshot.Index > c.configured {
		c.configured = snapshot.Index
		c.allocator.Configure(snapshot)
	}
}

// leader is the machine that the list of members names.
func (w *world) leader() *simControl {
	if w.lead < 0 {
		return nil
	}
	return w.controls[w.lead]
}

// handle is what a control machine does with a request: it reads the clock, then makes sure that it leads, then answers. Now and
// then it stands still between the two last.
func (w *world) handle(control *simControl, g *simGateway, life int, request protocol.QuotaRequest) {
	if control.dead {
		return
	}
	if w.now < control.frozenUntil {
		w.at(control.frozenUntil, func() { w.handle(control, g, life, request) })
		return
	}
	clock, at := control.clock.read(), w.now
	leads := w.now < control.leadUntil || w.plant == plantUnproven
	if leads && w.stallNext {
		w.stallNext = false
		w.failOver(500*millisecond + w.spread(8*second))
		w.at(control.frozenUntil, func() { w.answer(control, g, life, request, clock, at) })
		return
	}
	if !leads {
		w.reply(control, g, life, protocol.QuotaReply{Sequence: request.Sequence})
		return
	}
	w.answer(control, g, life, request, clock, at)
}

// answer asks the allocator, as of a moment at which the machine led.
func (w *world) answer(control *simControl, g *simGateway, life int, request protocol.QuotaRequest, clock, at time.Duration) {
	if control.dead {
		return
	}
	began := time.Now()
	reply := control.allocator.Request(clock, request)
	w.spent += time.Since(began)
	w.audit.answered(max(at, control.clock.when(control.allocator.now)-clockRounding), reply.Term)
	if !w.hollow {
		control.allocator.check()
	}
	if control.allocator.FloorChangeUrgent() {
		w.at(w.now+millisecond, w.keepRecord)
	}
	w.reply(control, g, life, reply)
}

func (w *world) reply(control *simControl, g *simGateway, life int, reply protocol.QuotaReply) {
	if delay := g.delay(control, inward); delay >= 0 {
		w.at(w.now+delay, func() { g.replied(life, reply) })
	}
}

// elect makes a control machine the lead after the one before it surely ended: the first from next on that runs.
func (w *world) elect(next int, decided, wait time.Duration) {
	w.at(decided+wait, func() {
		for range w.controls {
			if one := w.controls[next]; !one.dead && w.now >= max(one.frozenUntil, one.cut.until) {
				w.begin(next)
				return
			}
			next = (next + 1) % len(w.controls)
		}
		w.elect(next, w.now, 100*millisecond)
	})
}

// begin has a machine record itself as the lender, and then act.
func (w *world) begin(next int) {
	control := w.controls[next]
	w.recordOwner = control
	w.recordTerm++
	nodes, floors := append([]string{}, w.recorded...), w.floorList()
	w.at(w.now+w.spread(50*millisecond), func() {
		if w.recordOwner != control || control.dead || w.now < max(control.frozenUntil, control.cut.until) {
			w.elect(next, w.now, startAfter)
			return
		}
		w.lead = next
		control.configure(w.snapshot)
		if w.plant == plantForgetRecord {
			nodes = []string{}
		}
		control.allocator.Start(control.clock.read(), 0, nodes, floors)
		if w.plant == plantNoWait {
			control.allocator.learningUntil = control.allocator.now
		}
		control.leadUntil = math.MaxInt64
	})
}

// keepRecord does what falls to the lead: it has nodes put on record, and taken off it. A change of a lead that has been followed
// has no effect.
func (w *world) keepRecord() {
	control := w.leader()
	if control == nil || w.now >= control.leadUntil || w.now < control.frozenUntil || w.recording {
		return
	}
	now := control.clock.read()
	if floors := control.allocator.FloorChanges(now); len(floors) > 0 {
		w.recordFloors(control, floors)
		return
	}
	if gone := control.allocator.EvictGrantees(now); len(gone) > 0 {
		w.change(func() {
			w.recorded = slices.DeleteFunc(w.recorded, func(node string) bool { return slices.Contains(gone, node) })
		}, func() {})
		return
	}
	if wanted := control.allocator.MissingGrantees(); len(wanted) > 0 {
		w.change(func() {
			for _, node := range wanted {
				if !slices.Contains(w.recorded, node) {
					w.recorded = append(w.recorded, node)
				}
			}
		}, func() { control.allocator.GranteesRecorded(wanted) })
	}
}

// change changes the record, as long as its owner wants it, and tells the owner.
func (w *world) change(record, told func()) {
	w.recording = true
	term := w.recordTerm
	w.at(w.now+w.spread(40*millisecond), func() {
		w.recording = false
		if w.recordTerm != term {
			return
		}
		record()
		w.at(w.now+w.spread(40*millisecond), func() {
			if w.recordTerm == term {
				told()
			}
		})
	})
}

// recordFloors puts floors on record, or fails to, or does without the lead's hearing of it.
func (w *world) recordFloors(control *simControl, floors []Floor) {
	w.recording = true
	share := min(0.1, 10*w.loss)
	term := w.recordTerm
	lost, unheard := w.random.Float64() < share, w.random.Float64() < share
	w.at(w.now+w.spread(20*millisecond), func() {
		w.recording = false
		if w.recordTerm != term || lost {
			return
		}
		if w.floors == nil {
			w.floors = map[string]int64{}
		}
		for _, one := range floors {
			if w.plant != plantKeepFloors || one.Tokens > w.floors[one.Tenant] {
				w.floors[one.Tenant] = one.Tokens
			}
		}
		if !unheard {
			control.allocator.FloorsRecorded(floors)
		}
	})
}

func (w *world) floorList() (list []Floor) {
	for name := range sortedNames(w.floors) {
		list = append(list, Floor{name, w.floors[name]})
	}
	return list
}
