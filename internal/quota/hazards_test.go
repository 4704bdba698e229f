package quota

import (
	"math"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
)

// Lengths of troubles.
const (
	longestCut    = 20 * second
	longestFreeze = 8 * second
	mostGateways  = 20
)

// trouble brings one about, now and then.
func (w *world) trouble() {
	if w.now < 8*second || w.calm {
		return
	}
	w.troubles++
	g := w.gateways[w.random.IntN(len(w.gateways))]
	switch w.random.IntN(20) {
	case 0:
		g.kill(200*millisecond + w.spread(2*second))
	case 1:
		g.freeze(w.spread(longestFreeze))
	case 2:
		g.cutOff(w.newCut(longestCut))
	case 3:
		if len(w.gateways) < mostGateways {
			w.addGateway()
		}
	case 4:
		w.failOver(0)
	case 5:
		w.failOver(500*millisecond + w.spread(longestFreeze))
	case 6:
		if !w.steadyLimits {
			w.changeLimits()
		}
	case 7:
		w.restartHalf()
	case 8:
		g.share = 0.1 + 3*w.random.Float64()
	case 9:
		w.isolate(g)
	case 10:
		w.stallNext = true
	case 11:
		w.depose()
	case 12:
		w.handOver()
	case 13:
		w.restartLead()
	case 14:
		w.replace(w.random.IntN(len(w.controls)))
	case 15:
		w.losePower()
	case 16:
		for _, one := range w.gateways {
			if w.random.IntN(2) == 0 {
				one.freeze(w.spread(longestFreeze))
			}
		}
	}
}

// changeLimits raises and lowers limits, and has tenants go and come back.
func (w *world) changeLimits() {
	tenants := append(slices.Clone(w.snapshot.Tenants), w.dropped...)
	w.dropped = nil
	if i := w.random.IntN(3 * len(tenants)); i < len(tenants) {
		w.dropped = []configuration.Tenant{tenants[i]}
		tenants = slices.Delete(tenants, i, i+1)
	}
	for i := range tenants {
		if w.random.IntN(3) == 0 {
			factor := 0.4 + 1.2*w.random.Float64()
			tenants[i].RatePerSec = max(1, w.usage[tenants[i].Name]*1.6*factor)
			tenants[i].Burst = tenants[i].RatePerSec
		}
	}
	w.configure(tenants)
}

func (w *world) restartHalf() {
	for _, one := range w.gateways {
		if w.random.IntN(2) == 0 {
			one.kill(200*millisecond + w.spread(second))
		}
	}
}

// acting gives the machine that leads with nothing in its way, or nil.
func (w *world) acting() *simControl {
	control := w.leader()
	if control == nil || control.leadUntil < math.MaxInt64 {
		return nil
	}
	return control
}

// lose ends the time of the lead: others decide on a view without it, and its proof of the epoch ages.
func (w *world) lose(control *simControl) {
	decided := w.now + 700*millisecond + w.spread(600*millisecond)
	control.leadUntil = min(decided, w.now+confirmFor)
	w.elect((w.lead+1)%len(w.controls), decided, w.startAfter())
}

func (w *world) startAfter() time.Duration {
	if w.plant == plantEarlyStart {
		return 0
	}
	return startAfter
}

// failOver ends the lead: by death, or by a freeze from which it wakes later.
func (w *world) failOver(freeze time.Duration) {
	control := w.acting()
	if control == nil {
		return
	}
	w.lose(control)
	if freeze > 0 {
		control.frozenUntil = w.now + freeze
		return
	}
	w.replaceAfter(w.lead, control, w.spread(3*second))
}

// replaceAfter ends a process, and begins another in its place.
func (w *world) replaceAfter(index int, control *simControl, down time.Duration) {
	control.dead = true
	w.at(w.now+down, func() {
		if w.controls[index] == control {
			w.controls[index] = w.newControl()
		}
	})
}

// isolate cuts the lead off, both ways or one way, from the other control machines and from the gateways; some of these reach
// nobody but it.
func (w *world) isolate(g *simGateway) {
	control := w.acting()
	if control == nil {
		return
	}
	w.lose(control)
	length := second + w.spread(longestCut-second)
	control.cut = cut{w.now + length, cutWay(w.random.IntN(3))}
	if w.random.IntN(2) == 0 {
		g.join(control, length)
	}
	if w.random.IntN(3) == 0 && len(w.gateways) < mostGateways {
		fresh := w.addGateway()
		fresh.join(control, length)
	}
}

// depose decides on another head while the present one is in touch and has just proven its epoch.
func (w *world) depose() {
	control := w.acting()
	if control == nil {
		return
	}
	control.leadUntil = w.now + confirmFor
	w.elect((w.lead+1)%len(w.controls), w.now, w.startAfter())
}

// handOver ends the lead as planned: it hands its task on, and another begins at once.
func (w *world) handOver() {
	control := w.acting()
	if control == nil {
		return
	}
	control.leadUntil = w.now
	control.allocator.Stop()
	w.elect((w.lead+1)%len(w.controls), w.now, w.spread(100*millisecond))
}

// restartLead ends the lead's process; its next life on the same disk begins at once.
func (w *world) restartLead() {
	control := w.acting()
	if control == nil {
		return
	}
	index := w.lead
	control.leadUntil, control.dead = w.now, true
	w.controls[index] = w.newControl()
	w.elect(index, w.now, 150*millisecond+w.spread(500*millisecond))
}

// replace ends a control machine for good, and puts an empty one in its place.
func (w *world) replace(index int) {
	control := w.controls[index]
	if control == w.leader() {
		w.failOver(0)
		return
	}
	control.leadUntil = 0
	w.replaceAfter(index, control, w.spread(second))
}

// losePower ends all processes; the record is on disks.
func (w *world) losePower() {
	lead := w.acting()
	if lead == nil {
		return
	}
	for index, control := range w.controls {
		w.replaceAfter(index, control, 0)
	}
	lead.leadUntil = w.now
	w.elect(w.random.IntN(len(w.controls)), w.now, startAfter+w.spread(second))
	for _, g := range w.gateways {
		g.kill(200*millisecond + w.spread(second))
	}
}
