package replica

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

var (
	seedCount = flag.Int("seeds", 25, "worlds to simulate of each kind")
	firstSeed = flag.Uint64("seed", 1, "the first world's seed")
)

// trouble strikes a world; it keeps to what may be lost at once.
type trouble func(w *world)

func simulate(t *testing.T, stores, copies int, strike trouble) {
	t.Helper()
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		if err := play(seed, stores, copies, strike); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func play(seed uint64, stores, copies int, strike trouble) (err error) {
	w := newWorld(seed, stores, copies)
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("at %v: panic: %v", w.now, r)
			panic(fmt.Sprintf("seed %d: %v", seed, err))
		}
	}()
	w.runUntil(3 * time.Second)
	for i := range 12 {
		w.after(w.between(0, 12*time.Second), func() { w.clients.submit(fmt.Sprintf("job-%d", i), 1+w.random.IntN(8)) })
	}
	w.after(w.between(0, 10*time.Second), func() { w.endSome() })
	strike(w)
	w.runUntil(w.now + 20*time.Second)
	w.quiet()
	w.runUntil(w.now + 25*time.Second)
	w.audit()
	return w.failure
}

func (w *world) endSome() {
	for _, j := range w.clients.order {
		if j.accepted && w.random.IntN(3) == 0 {
			w.clients.end(j)
		}
	}
	w.after(w.between(time.Second, 4*time.Second), w.endSome)
}

// quiet ends all troubles.
func (w *world) quiet() {
	w.loss = 0
	w.calm = true
	for _, s := range w.stores {
		if s.up && s.frozen {
			s.thaw()
		}
		if !s.up && !s.retired {
			s.start()
		}
	}
}

// audit holds the settled world to what must be there.
func (w *world) audit() {
	for _, j := range w.clients.order {
		if !j.accepted || w.failure != nil {
			continue
		}
		if !j.ended && len(j.seen) != len(j.items) {
			w.fail("%s: accepted at %v, %d of %d results were read:%s", j.id, j.acceptedAt, len(j.seen), len(j.items), w.describe(j.id))
		}
		sent := w.now
		call := protocol.BatchCall{Operation: protocol.BatchRead, BatchJob: j.id, Tenant: "t"}
		answered := false
		w.clients.ask(w.someMember(), call, nil, 3, func(answer protocol.BatchAnswer) {
			answered = answer.Status == 200
			w.clients.take(j, 0, sent, answer)
		})
		w.runUntil(w.now + 4*time.Second)
		if !answered {
			w.fail("%s: can't be read in calm:%s", j.id, w.describe(j.id))
		}
	}
}

// describe tells what each store knows of a batch job.
func (w *world) describe(id string) string {
	text := fmt.Sprintf("\nepoch %d", w.view.Epoch)
	for _, s := range w.stores {
		m := s.machine
		text += fmt.Sprintf("\n%s up %v member %v epoch %d settled %v allowed %v directory %q", s.key(), s.up, w.isMember(s.key()),
			m.view.Epoch, m.settled, m.Allowed(), m.directory[id])
		if h := m.jobs[id]; h != nil {
			text += fmt.Sprintf(" version %x owner %v whole %v durable %d shown %d of %d ended %v", uint64(h.version), h.owner, h.whole,
				h.durable, h.shown, len(h.items), h.ended)
			for _, p := range h.replicas {
				text += " " + string(placement.KeyOf(p))
			}
			text += fmt.Sprintf(" peers %+v", h.peers)
		}
	}
	return text
}

// describeUndrained tells what keeps a retiring store.
func (w *world) describeUndrained(leaving *store) string {
	m := leaving.machine
	text := fmt.Sprintf(" settled %v, %d acceptances", m.settled, len(m.acceptances))
	for _, h := range m.order {
		if !h.handed {
			text += "\n" + h.id + fmt.Sprintf(" handing %v", len(h.handing)) + w.describe(h.id)
		}
	}
	return text
}

func (w *world) someMember() *store {
	for {
		if s := w.anyStore(); s.up && w.isMember(s.key()) {
			return s
		}
	}
}

func TestCalm(t *testing.T) {
	simulate(t, 3, 2, func(*world) {})
}

func TestLossyLinks(t *testing.T) {
	simulate(t, 3, 2, func(w *world) { w.loss = 0.1 })
}

// TestOneAtATime strikes one store after the other, as tolerance allows: the next only once the last is whole again.
func TestOneAtATime(t *testing.T) {
	simulate(t, 3, 2, func(w *world) { w.strikeOne() })
}

func (w *world) strikeOne() {
	w.after(w.between(500*time.Millisecond, 4*time.Second), func() {
		if w.calm {
			return
		}
		s := w.anyStore()
		down := w.between(100*time.Millisecond, 4*time.Second)
		switch w.random.IntN(4) {
		case 0:
			s.stop()
		case 1:
			s.losePower()
		case 2:
			s.wipe()
		case 3:
			s.freeze(down)
			w.after(down+5*time.Second, w.strikeOne)
			return
		}
		w.after(down, s.restart)
		w.after(down+5*time.Second, w.strikeOne)
	})
}

// TestAllLosePower takes the power from all stores at once, twice.
func TestAllLosePower(t *testing.T) {
	simulate(t, 3, 2, func(w *world) {
		for range 2 {
			w.after(w.between(time.Second, 14*time.Second), func() {
				for _, s := range w.stores {
					if s.up {
						s.losePower()
						w.after(w.between(100*time.Millisecond, 3*time.Second), func() {
							if !s.up {
								s.start()
							}
						})
					}
				}
			})
		}
	})
}

// TestAllLosePowerOneDisk wipes one disk while all others lose power.
func TestAllLosePowerOneDisk(t *testing.T) {
	simulate(t, 3, 2, func(w *world) {
		w.after(w.between(time.Second, 14*time.Second), func() {
			w.stores[0].wipe()
			for _, s := range w.stores[1:] {
				s.losePower()
			}
			for _, s := range w.stores {
				w.after(w.between(100*time.Millisecond, time.Second), s.restart)
			}
		})
	})
}

// TestRetire empties a store, takes its disk, and right after that another one's.
func TestRetire(t *testing.T) {
	simulate(t, 4, 2, retireOne)
}

func retireOne(w *world) {
	w.after(w.between(4*time.Second, 8*time.Second), func() {
		leaving := w.stores[w.random.IntN(len(w.stores))]
		w.setState(leaving.key(), protocol.StoreRetiring)
		w.awaitDrained(leaving)
	})
}

// TestRetireWhileAccepting empties a store that waits for a slow replica of a batch job which it accepts.
func TestRetireWhileAccepting(t *testing.T) {
	if err := play(1384, 4, 2, retireOne); err != nil {
		t.Fatal(err)
	}
}

func (w *world) awaitDrained(leaving *store) {
	if !leaving.machine.Report().DrainedDown {
		if w.now > 18*time.Second {
			w.fail("%s isn't drained:%s", leaving.node, w.describeUndrained(leaving))
		}
		w.after(50*time.Millisecond, func() { w.awaitDrained(leaving) })
		return
	}
	leaving.retired = true
	key := leaving.key()
	if w.random.IntN(2) == 0 {
		w.setState(key, protocol.StoreRetired)
	}
	w.after(w.between(500*time.Millisecond, time.Second), func() { w.takeAway(leaving) })
	w.removed[key] = true
}

// takeAway removes an emptied store with its disk, and right after that the disk of another one.
func (w *world) takeAway(leaving *store) {
	leaving.wipe()
	w.after(w.between(0, 100*time.Millisecond), func() {
		for {
			if s := w.anyStore(); s != leaving {
				s.wipe()
				w.after(time.Second, s.restart)
				break
			}
		}
	})
}

// TestGrow adds stores while batch jobs come.
func TestGrow(t *testing.T) {
	simulate(t, 3, 2, func(w *world) {
		w.after(w.between(2*time.Second, 6*time.Second), func() { w.addStore("store-9", "zone-1") })
		w.after(w.between(2*time.Second, 9*time.Second), func() { w.addStore("store-8", "zone-2") })
		w.strikeOne()
	})
}

// TestThreeCopies bears the loss of two at once.
func TestThreeCopies(t *testing.T) {
	simulate(t, 6, 3, func(w *world) {
		w.strikeTwo()
	})
}

func (w *world) strikeTwo() {
	w.after(w.between(500*time.Millisecond, 4*time.Second), func() {
		if w.calm {
			return
		}
		first := w.random.IntN(len(w.stores))
		for _, s := range []*store{w.stores[first], w.stores[(first+1+w.random.IntN(len(w.stores)-1))%len(w.stores)]} {
			if w.random.IntN(2) == 0 {
				s.wipe()
			} else {
				s.losePower()
			}
			w.after(w.between(100*time.Millisecond, 4*time.Second), s.restart)
		}
		w.after(9*time.Second, w.strikeTwo)
	})
}

// TestChaos strikes without any limit but that disks stay: nothing may be wrong, though not all may be served.
func TestChaos(t *testing.T) {
	simulate(t, 4, 2, func(w *world) {
		w.loss = 0.05
		for range 12 {
			w.after(w.between(0, 18*time.Second), func() {
				s := w.anyStore()
				if !s.up {
					return
				}
				if w.random.IntN(2) == 0 {
					s.freeze(w.between(0, 5*time.Second))
					return
				}
				s.losePower()
				w.after(w.between(0, 4*time.Second), func() {
					if !s.up {
						s.start()
					}
				})
			})
		}
	})
}

func TestKeys(t *testing.T) {
	if placement.KeyOf(protocol.Process{Node: "a", Incarnation: "1"}) == placement.KeyOf(protocol.Process{Node: "a", Incarnation: "2"}) {
		t.Fatal("two lives of a disk have one key")
	}
}
