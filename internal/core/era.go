package core

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/recovery"
	"sprucelane.example/sprucelane/internal/storm"
	"sprucelane.example/sprucelane/policy"
)

// This file owns the eras of a gateway's settings: each has a module of its own, which keeps the transactions that it has
// taken to their end. It must never carry a transaction from one to another.

// era is the time in which some settings are in force.
type era struct {
	number int
	set    policy.Settings
	module *policy.Gateway
	open   int  // transactions that something may still come for
	over   bool // nothing more comes for it
	until  Time // when it was followed by another
}

// eraKept is how long after its end an era takes what a front had begun to read under its settings.
const eraKept = 5 * time.Second

// mostCarried bounds the bytes in which a module's knowledge goes to the next.
const mostCarried = 4 << 20

// newEra makes a module of settings.
func (c *Core) newEra(number int, set policy.Settings, seed uint64) (*era, error) {
	module, err := policy.New(set, seed)
	if err != nil {
		return nil, err
	}
	e := &era{number: number, set: set, module: module}
	module.Attach(host{c, e})
	return e, nil
}

// eraOf gives the era of a number, nil where it is over. The mutex is held.
func (c *Core) eraOf(number int) *era {
	if number == c.era.number {
		return c.era
	}
	for _, e := range c.past {
		if e.number == number {
			return e
		}
	}
	return nil
}

// Retune puts other settings in force for all that is taken from now on, and gives the number of their era. What is open
// keeps the settings that it was taken under. Settings that can't be used change nothing.
func (c *Core) Retune(set policy.Settings, seed uint64) (number int, err error) {
	set.Peers = set.Peers && c.tell != nil
	c.event(func(now Time) {
		next, failed := c.newEra(c.era.number+1, set, seed)
		if err = failed; err != nil {
			return
		}
		old := c.era
		c.era = next // the next one's first words to peers are the gateway's
		if err = next.module.ImportState(now, old.module.ExportState(now, mostCarried)); err != nil {
			c.era, next.over = old, true
			return
		}
		old.until = now
		c.past = append(c.past, old)
		c.guard.retune(set)
		number = next.number
		time.AfterFunc(eraKept, func() { c.event(func(Time) { c.prune() }) })
	})
	return number, err
}

// prune drops the eras that nothing more comes for. The mutex is held.
func (c *Core) prune() {
	c.past = slices.DeleteFunc(c.past, func(e *era) bool {
		e.over = e.open == 0 && c.Now()-e.until >= eraKept
		return e.over
	})
}

// Sent is a flow that was started, as another of the gateway's modules is told of it.
type Sent struct {
	Customer  policy.CustomerID `json:"customer"`
	Plan      string            `json:"plan"`
	Units     float64           `json:"units"`
	SetSize   int               `json:"set"`
	FirstDoor int               `json:"door"`
	Server    policy.ServerID   `json:"server"`
	First     bool              `json:"first"` // of its transaction: its units are drawn
}

// sent tells the gateway's other modules of a flow. The mutex is held.
func (c *Core) sent(t *transaction, to policy.ServerID) {
	if len(c.past) == 0 && c.tap == nil {
		return
	}
	s := Sent{Customer: t.Customer, Plan: t.era.set.Plans[t.Plan].Name, Units: t.Units, SetSize: t.SetSize, FirstDoor: t.FirstGateway,
		Server: to, First: t.sent == 1}
	for _, e := range append([]*era{c.era}, c.past...) {
		if e != t.era {
			e.elsewhere(c.Now(), s, e == c.era)
		}
	}
	if c.tap != nil {
		c.tap(s)
	}
}

// elsewhere tells a module of a flow that another has started. An era that is past draws from a store no longer.
func (e *era) elsewhere(now Time, s Sent, draws bool) {
	plan := slices.IndexFunc(e.set.Plans, func(p policy.Plan) bool { return p.Name == s.Plan })
	e.module.SentElsewhere(now, policy.Request{Customer: s.Customer, Plan: plan, Units: s.Units, SetSize: s.SetSize, FirstGateway: s.FirstDoor},
		s.Server, draws && s.First && plan >= 0)
}

// Carry gives what the gateway knows, for Follow, in about so many bytes at most. From then on tap is told of each flow
// that is started; it is called with the mutex held, and must only queue.
func (c *Core) Carry(most int, tap func(Sent)) (carried []byte) {
	c.event(func(now Time) {
		carried = c.era.module.ExportState(now, most)
		c.tap = tap
	})
	return carried
}

// Untap ends what Carry began.
func (c *Core) Untap() {
	c.mu.Lock()
	c.tap = nil
	c.mu.Unlock()
}

// Follow takes over what another process of this gateway knew. It comes before anything else, and takes all or nothing.
func (c *Core) Follow(carried []byte) (err error) {
	c.event(func(now Time) {
		if err = c.era.module.ImportState(now, carried); err == nil {
			c.back.Heard(recovery.Predecessor)
		}
	})
	return err
}

// Elsewhere takes in what another process of this gateway has started.
func (c *Core) Elsewhere(list []Sent) {
	c.event(func(now Time) {
		for _, s := range list {
			c.era.elsewhere(now, s, true)
		}
	})
}

// retune gives the storm module the classes and plans that are in force.
func (g *guard) retune(set policy.Settings) {
	if g != nil {
		g.Retune(stormClasses(set), stormPrices(set))
	}
}

func stormClasses(set policy.Settings) (list []storm.Class) {
	for _, class := range set.Classes {
		list = append(list, storm.Class{Aim: class.LatencyTarget, Worth: class.Value, Unsafe: class.Idempotency == policy.NotIdempotent})
	}
	return list
}

func stormPrices(set policy.Settings) (list []float64) {
	for _, p := range set.Plans {
		list = append(list, p.ValueMultiplier)
	}
	return list
}
