package replica

import (
	"fmt"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns worlds under random load and troubles, one after the other, within what may be lost at once.

const (
	worldLength = 30 * time.Second // under load and troubles
	catchUp     = 4800 * time.Millisecond
	healing     = 12 * time.Second // after which all must be well
	auditing    = 6 * time.Second
	mostStores  = 9
)

// campaign is one world.
type campaign struct {
	*world
	tolerance int
	impatient bool // the next trouble comes as soon as the stores stand whole
	submitted int
	troubles  int
	endsAt    time.Duration // when all that was lost is back
	focus     []string      // troubles that come, empty: all
}

// The troubles.
const (
	troubleKill          = "kills"
	troublePower         = "losses of power"
	troubleWipe          = "lost disks"
	troubleReplace       = "replacements"
	troubleFreeze        = "freezes"
	troubleCut           = "cuts"
	troubleSlowDisk      = "slow disks"
	troubleFullDisk      = "full disks"
	troubleTornOperation = "a loss of power within an operation"
	troubleGrow          = "an addition"
	troubleRetire        = "a planned leave"
	troubleKillThenPower = "kills, then all lose power"
	troubleAllPower      = "all lose power"
	troubleAllPowerDisks = "all lose power, some their disks"
	troubleDamage        = "damaged logs"
)

// trouble strikes some stores, which are as many as may be lost, for a time.
type trouble struct {
	name   string
	strike func(lost []*store, down time.Duration)
}

func newCampaign(seed uint64, plant string) *campaign {
	tolerance, stores := 1, 3+int(seed/4%3)
	if seed%4 == 3 {
		tolerance, stores = 2, 5+int(seed/4%3)
	}
	w := newWorld(seed, stores, tolerance+1, plant)
	if seed%3 == 1 {
		w.keepFor(20 * time.Second)
	}
	if seed%5 == 2 {
		w.loss = 0.03
	}
	w.segment = int64(300 + w.random.IntN(6000))
	if seed%6 == 4 {
		w.bound = boundedTokens
	}
	return &campaign{world: w, tolerance: tolerance, impatient: seed%2 == 0}
}

// playSeed plays a world and gives what it broke. Where troubles are named, others don't come.
func playSeed(seed uint64, plant string, focus ...string) (c *campaign, err error) {
	defer func() {
		if caught := recover(); caught != nil {
			err = fmt.Errorf("at %v: panic: %v", c.now, caught)
		}
	}()
	c = newCampaign(seed, plant)
	c.focus = focus
	c.run()
	return c, c.failure
}

func (c *campaign) run() {
	c.runUntil(1500 * time.Millisecond)
	c.load()
	c.plantAtRandom()
	c.after(c.between(time.Second, 4*time.Second), c.trouble)
	c.finish()
}

// finish plays the world to its end, all well again, and audits it.
func (c *campaign) finish() {
	c.runUntil(worldLength)
	c.heal()
	c.runUntil(c.now + healing)
	c.audit()
}

// load submits batch jobs all the time.
func (c *campaign) load() {
	if c.calm {
		return
	}
	c.submitted++
	c.clients.submit(fmt.Sprintf("job-%d", c.submitted), 1+c.random.IntN(6))
	c.after(c.between(100*time.Millisecond, 2*time.Second), c.load)
}

// trouble brings one trouble, and the next when that is over.
func (c *campaign) trouble() {
	if c.calm || c.now > worldLength-2*time.Second {
		return
	}
	c.troubles++
	list := c.there()
	c.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	lost := list[:1+c.random.IntN(c.tolerance)]
	down := c.between(50*time.Millisecond, 4*time.Second)
	kinds := c.kinds()
	if len(c.focus) > 0 {
		kinds = slices.DeleteFunc(kinds, func(kind trouble) bool { return !slices.Contains(c.focus, kind.name) })
	}
	kind := kinds[c.random.IntN(len(kinds))]
	c.note("%s for %v", kind.name, down)
	kind.strike(lost, down)
	c.after(c.between(0, down), c.next)
}

// lasts notes that what was lost is back only after a time.
func (c *campaign) lasts(down time.Duration) { c.endsAt = max(c.endsAt, c.now+down) }

// next brings the next trouble once the stores have caught up.
func (c *campaign) next() {
	if c.borne() {
		c.trouble()
		return
	}
	c.after(20*time.Millisecond, c.next)
}

// borne tells whether the next loss is to be borne: all is back, for as long as stores may take to catch up, or they have.
func (c *campaign) borne() bool {
	return c.now > c.endsAt && (c.now-c.endsAt >= catchUp || c.impatient && c.settled())
}

// kinds lists the troubles. Each is over after the time that it is given.
func (c *campaign) kinds() []trouble {
	each := func(call func(s *store, down time.Duration)) func([]*store, time.Duration) {
		return func(lost []*store, down time.Duration) {
			c.lasts(down)
			for _, s := range lost {
				call(s, down)
			}
		}
	}
	restarted := func(call func(s *store)) func([]*store, time.Duration) {
		return each(func(s *store, down time.Duration) {
			call(s)
			c.after(down, s.restart)
		})
	}
	kinds := []trouble{
		{troubleKill, restarted((*store).kill)},
		{troublePower, restarted((*store).losePower)},
		{troubleWipe, restarted((*store).wipe)},
		{troubleWipe, restarted((*store).wipe)},
		{troubleReplace, each(c.replace)},
		{troubleFreeze, each((*store).freeze)},
		{troubleFreeze, each((*store).freeze)},
		{troubleCut, each(c.cutOff)},
		{troubleCut, each(c.cutOneWay)},
		{troubleSlowDisk, each(c.slowDisk)},
		{troubleFullDisk, each(func(s *store, down time.Duration) { s.fill(int64(c.random.IntN(2000)), down) })},
		{troubleTornOperation, each(func(s *store, _ time.Duration) { s.disk.FailAt(1 + c.random.IntN(40)) })},
		{troubleKill, each(c.killOften)},
		{troubleGrow, c.grow},
		{troubleRetire, c.retire},
		{troubleRetire, c.retire},
		{troubleKillThenPower, c.killThenAllLosePower},
		{troubleAllPower, c.allLosePower},
		{troubleAllPower, c.allLosePower},
		{troubleAllPowerDisks, c.allLosePowerDisks},
		{troubleAllPowerDisks, c.disksAfterAcceptance},
	}
	if slices.Contains(c.focus, troubleDamage) { // disks keep what was synced: it comes only where it is asked for
		kinds = append(kinds, trouble{troubleDamage, each(c.damage)}, trouble{troubleDamage, each(c.damage)})
	}
	return kinds
}

// replace takes a store for good; an empty one comes in its place at another address, under its name or another.
func (c *campaign) replace(s *store, down time.Duration) {
	s.remove()
	c.note("%s is taken away", s.node)
	c.after(down, func() {
		if c.random.IntN(2) == 0 {
			c.addStore()
			return
		}
		fresh := newStore(c.world, s.node, fmt.Sprintf("ip-%d", 100+len(c.stores)), s.zone)
		c.stores = append(c.stores, fresh)
		fresh.start()
	})
}

// cutOff cuts a store from all others, and from control in most cases.
func (c *campaign) cutOff(s *store, down time.Duration) {
	c.note("%s is cut off", s.node)
	for _, other := range c.peersOf(s) {
		c.cut(s.node, other, down)
		c.cut(other, s.node, down)
	}
}

// cutOneWay lets nothing through from a store, or to it.
func (c *campaign) cutOneWay(s *store, down time.Duration) {
	from := c.random.IntN(2) == 0
	c.note("%s is cut off one way, from it: %v", s.node, from)
	for _, other := range c.peersOf(s) {
		if from {
			c.cut(s.node, other, down)
		} else {
			c.cut(other, s.node, down)
		}
	}
}

func (c *campaign) peersOf(s *store) []string {
	var names []string
	if c.random.IntN(4) > 0 {
		names = append(names, controlName)
	}
	for _, other := range c.there() {
		if other != s {
			names = append(names, other.node)
		}
	}
	return names
}

func (c *campaign) slowDisk(s *store, down time.Duration) {
	stalled := c.random.IntN(2) == 0
	c.note("the disk of %s is slow, stalled: %v", s.node, stalled)
	s.stalled, s.slow = stalled, 40
	c.after(down, func() { s.stalled, s.slow = false, 1 })
}

// killOften kills a store again and again, each time soon after its start.
func (c *campaign) killOften(s *store, down time.Duration) {
	for range 3 {
		c.after(c.between(0, down), func() {
			if s.up {
				s.kill()
			}
			c.after(c.between(10*time.Millisecond, 100*time.Millisecond), s.restart)
		})
	}
	c.lasts(down + 100*time.Millisecond)
}

func (c *campaign) grow([]*store, time.Duration) {
	if len(c.there()) < mostStores {
		c.addStore()
	}
}

// retire empties a store; once that is done it is taken away, and right after that disks are lost.
func (c *campaign) retire(lost []*store, _ time.Duration) {
	s := lost[0]
	if len(c.there()) == c.copies {
		return
	}
	outcome := c.command(statemachine.Command{Retire: &statemachine.Retire{Node: s.node, Remain: c.copies}})
	c.note("%s is to be emptied: %d", s.node, outcome)
	if outcome == statemachine.StoreChanged {
		c.awaitRetired(s)
	}
}

func (c *campaign) awaitRetired(s *store) {
	if c.control.Retirement(s.node) != statemachine.RetirementCompleted {
		c.after(30*time.Millisecond, func() { c.awaitRetired(s) })
		return
	}
	c.after(c.between(0, time.Second), func() {
		c.note("%s is emptied and taken away", s.node)
		borne := !c.calm && c.borne()
		s.remove()
		if borne && c.random.IntN(2) == 0 {
			c.loseDisks()
		}
	})
}

// loseDisks takes as many disks as may be lost at once.
func (c *campaign) loseDisks() {
	list := c.there()
	c.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	c.lasts(time.Second)
	for _, s := range list[:c.tolerance] {
		s.wipe()
		c.after(c.between(100*time.Millisecond, time.Second), s.restart)
	}
}

// killThenAllLosePower kills stores, which start again at once, and takes all power soon after.
func (c *campaign) killThenAllLosePower(lost []*store, down time.Duration) {
	c.lasts(down)
	for _, s := range c.there() {
		if c.random.IntN(2) == 0 && s.up {
			s.kill()
			c.after(c.between(10*time.Millisecond, 100*time.Millisecond), s.restart)
		}
	}
	c.after(down/2, func() { c.takePower(nil, down/2) })
}

func (c *campaign) allLosePower(_ []*store, down time.Duration) { c.takePower(nil, down) }

func (c *campaign) allLosePowerDisks(lost []*store, down time.Duration) { c.takePower(lost, down) }

// disksAfterAcceptance takes all power and some disks right after an acceptance.
func (c *campaign) disksAfterAcceptance(lost []*store, down time.Duration) {
	c.lasts(down)
	c.clients.onAccept = func() {
		if !c.calm {
			c.takePower(lost, time.Second)
		}
	}
	c.after(down, func() { c.clients.onAccept = nil })
}

// takePower takes the power from all stores within milliseconds, and the disks of some.
func (c *campaign) takePower(wiped []*store, down time.Duration) {
	c.note("all lose power, %d their disks", len(wiped))
	c.lasts(down + 10*time.Millisecond)
	for _, s := range c.there() {
		s := s
		c.after(c.between(0, 3*time.Millisecond), func() {
			s.losePower()
			for _, other := range wiped {
				if other == s && !s.gone {
					s.wipe()
				}
			}
			c.after(c.between(50*time.Millisecond, max(down, 60*time.Millisecond)), s.restart)
		})
	}
}

// heal ends all troubles.
func (w *world) heal() {
	w.note("all troubles end")
	w.calm, w.loss = true, 0
	clear(w.cuts)
	w.clients.onAccept = nil
	for _, s := range w.there() {
		s.thaw()
		s.stalled, s.slow = false, 1
		s.disk.SetCapacity(0)
		if s.up {
			s.disk.FailAt(0)
		}
		s.restart()
	}
}

// audit holds the settled world to what must be there: all that was accepted, whole and on enough disks, and all that was
// read.
func (w *world) audit() {
	if w.failure != nil {
		return
	}
	if !w.wellAgain() {
		return
	}
	w.auditRoom()
	w.clients.quiet = true
	for _, j := range w.clients.order {
		w.auditJob(j)
	}
	w.runUntil(w.now + auditing)
}

// wellAgain wants all stores to stand whole, and none to be retiring still.
func (w *world) wellAgain() bool {
	view := w.view()
	for _, member := range view.Members {
		if member.State == protocol.StoreRetiring && !w.holdsExpired(placement.KeyOf(member.Process)) {
			w.fail("%s is still not emptied:%s", member.Node, w.describeUndrained(member.Node))
		}
	}
	for _, s := range w.there() {
		if !s.up || w.isMember(s.key()) && s.machine.reconciledEpoch != view.Epoch {
			w.fail("%s doesn't stand whole, up %v settled %d of %d", s.node, s.up, s.machine.reconciledEpoch, view.Epoch)
		}
	}
	return w.failure == nil
}

// holdsExpired tells whether a store still holds something whose time is over: its owner may have dropped it before, by another
// clock.
func (w *world) holdsExpired(key placement.Key) bool {
	s := w.storeOf(key)
	return s != nil && slices.ContainsFunc(s.machine.order, func(h *storedJob) bool {
		return !h.handedOver && w.clients.expired(w.clients.jobs[h.id])
	})
}

func (w *world) auditJob(j *clientJob) {
	if w.clients.expired(j) {
		return
	}
	w.clients.checkPromise(j)
	if !j.accepted {
		return
	}
	w.auditCopies(j)
	sent, answered := w.now, false
	call := protocol.BatchCall{Operation: protocol.BatchRead, BatchJob: j.id, Tenant: "t"}
	w.clients.ask(w.someMember(), call, nil, callHops, func(answer protocol.BatchAnswer) {
		answered = true
		read := len(j.seen)
		w.clients.take(j, 0, sent, answer)
		switch {
		case w.clients.expired(j):
		case answer.Status != 200:
			w.fail("%s: can't be read in calm, %d:%s", j.id, answer.Status, w.describe(j.id))
		case !j.ending && !j.whole():
			w.fail("%s: accepted at %v, %d (before: %d) of %d results were read:%s", j.id, j.acceptedAt, len(j.seen), read, len(j.items),
				w.describe(j.id))
		}
	})
	w.after(auditing-time.Second, func() {
		if !answered {
			w.fail("%s: isn't answered in calm:%s", j.id, w.describe(j.id))
		}
	})
}

// auditCopies wants a batch job's newest version on enough disks, with all that was shown.
func (w *world) auditCopies(j *clientJob) {
	newest, count := Version(0), 0
	for _, s := range w.there() {
		h := s.machine.jobs[j.id]
		switch {
		case h == nil || h.version < newest || !h.versionDurable:
		case h.version > newest:
			newest, count = h.version, 0
			fallthrough
		default:
			if h.durableResults >= len(j.seen) || j.ending {
				count++
			}
		}
	}
	if count < w.copies {
		w.fail("%s: is whole on %d stores:%s", j.id, count, w.describe(j.id))
	}
}

func (w *world) someMember() *store {
	for {
		if s := w.anyStore(); s.up && w.isMember(s.key()) {
			return s
		}
	}
}

// describeUndrained tells what keeps a retiring store.
func (w *world) describeUndrained(node string) string {
	text := ""
	for _, s := range w.there() {
		if s.node != node {
			continue
		}
		m := s.machine
		text += fmt.Sprintf(" settled %v, %d acceptances", m.reconciled, len(m.acceptances))
		for _, h := range m.order {
			if !h.handedOver {
				text += "\n" + h.id + fmt.Sprintf(" handing %v", len(h.handoverReplicas)) + w.describe(h.id)
			}
		}
	}
	return text
}
