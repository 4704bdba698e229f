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
type generation struct {
	number           int
	cfg              policy.Settings
	module           *policy.Gateway
	openTransactions int  // transactions that something may still come for
	retired          bool // nothing more comes for it
	replacedAt       Time // when it was followed by another
}

// eraKept is how long after its end an era takes what a front had begun to read under its settings.
const retireDelay = 5 * time.Second

// mostCarried bounds the bytes in which a module's knowledge goes to the next.
const maxStateBytes = 4 << 20

// newEra makes a module of settings.
func (c *Core) newGeneration(number int, set policy.Settings, seed uint64) (*generation, error) {
	module, err := policy.New(set, seed)
	if err != nil {
		return nil, err
	}
	e := &generation{number: number, cfg: set, module: module}
	module.Attach(host{c, e})
	return e, nil
}

// eraOf gives the era of a number, nil where it is over. The mutex is held.
func (c *Core) generationByNumber(number int) *generation {
	if number == c.current.number {
		return c.current
	}
	for _, e := range c.retiring {
		if e.number == number {
			return e
		}
	}
	return nil
}

// Retune puts other settings in force for all that is taken from now on, and gives the number of their era. What is open
// keeps the settings that it was taken under. Settings that can't be used change nothing.
func (c *Core) Reconfigure(set policy.Settings, seed uint64) (number int, err error) {
	set.Peers = set.Peers && c.sendToPeer != nil
	c.handle(func(now Time) {
		next, failed := c.newGeneration(c.current.number+1, set, seed)
		if err = failed; err != nil {
			return
		}
		old := c.current
		c.current = next // the next one's first words to peers are the gateway's
		if err = next.module.ImportState(now, old.module.ExportState(now, maxStateBytes)); err != nil {
			c.current, next.retired = old, true
			return
		}
		old.replacedAt = now
		c.retiring = append(c.retiring, old)
		c.storm.reconfigure(set)
		number = next.number
		time.AfterFunc(retireDelay, func() { c.handle(func(Time) { c.prune() }) })
	})
	return number, err
}

// prune drops the eras that nothing more comes for. The mutex is held.
func (c *Core) prune() {
	c.retiring = slices.DeleteFunc(c.retiring, func(e *generation) bool {
		e.retired = e.openTransactions == 0 && c.Now()-e.replacedAt >= retireDelay
		return e.retired
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
func (c *Core) announceSend(t *transaction, to policy.ServerID) {
	if len(c.retiring) == 0 && c.onSend == nil {
		return
	}
	s := Sent{Customer: t.Customer, Plan: t.generation.cfg.Plans[t.Plan].Name, Units: t.Units, SetSize: t.SetSize, FirstDoor: t.FirstGateway,
		Server: to, First: t.attemptsStarted == 1}
	for _, e := range append([]*generation{c.current}, c.retiring...) {
		if e != t.generation {
			e.sentElsewhere(c.Now(), s, e == c.current)
		}
	}
	if c.onSend != nil {
		c.onSend(s)
	}
}

// elsewhere tells a module of a flow that another has started. An era that is past draws from a store no longer.
func (e *generation) sentElsewhere(now Time, s Sent, draws bool) {
	plan := slices.IndexFunc(e.cfg.Plans, func(p policy.Plan) bool { return p.Name == s.Plan })
	e.module.SentElsewhere(now, policy.Request{Customer: s.Customer, Plan: plan, Units: s.Units, SetSize: s.SetSize, FirstGateway: s.FirstDoor},
		s.Server, draws && s.First && plan >= 0)
}

// Carry gives what the gateway knows, for Follow, in about so many bytes at most. From then on tap is told of each flow
// that is started; it is called with the mutex held, and must only queue.
func (c *Core) ExportState(most int, tap func(Sent)) (carried []byte) {
	c.handle(func(now Time) {
		carried = c.current.module.ExportState(now, most)
		c.onSend = tap
	})
	return carried
}

// Untap ends what Carry began.
func (c *Core) StopExport() {
	c.mu.Lock()
	c.onSend = nil
	c.mu.Unlock()
}

// Follow takes over what another process of this gateway knew. It comes before anything else, and takes all or nothing.
func (c *Core) ImportState(carried []byte) (err error) {
	c.handle(func(now Time) {
		if err = c.current.module.ImportState(now, carried); err == nil {
			c.recovery.Received(recovery.Predecessor)
		}
	})
	return err
}

// Elsewhere takes in what another process of this gateway has started.
func (c *Core) SentElsewhere(list []Sent) {
	c.handle(func(now Time) {
		for _, s := range list {
			c.current.sentElsewhere(now, s, true)
		}
	})
}

// retune gives the storm module the classes and plans that are in force.
func (g *stormGuard) reconfigure(set policy.Settings) {
	if g != nil {
		g.Configure(stormClasses(set), stormPrices(set))
	}
}

func stormClasses(set policy.Settings) (list []storm.Class) {
	for _, class := range set.Classes {
		list = append(list, storm.Class{LatencyTarget: class.LatencyTarget, Value: class.Value, NonIdempotent: class.Idempotency == policy.NotIdempotent})
	}
	return list
}

func stormPrices(set policy.Settings) (list []float64) {
	for _, p := range set.Plans {
		list = append(list, p.ValueMultiplier)
	}
	return list
}
