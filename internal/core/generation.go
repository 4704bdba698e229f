package core

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/recovery"
	"sprucelane.example/sprucelane/policy"
)

// generation is one version of the settings and the gateway that decides by it. The transactions that arrive while the
// version is in force stay with the generation until they end.
type generation struct {
	number           int
	cfg              policy.Settings
	gateway          *policy.Gateway
	openTransactions int  // transactions that are unanswered or have attempts in flight
	retired          bool // has no open transactions and takes no new ones
	replacedAt       Time // when the next generation came into force; 0 for the current one
}

// retireDelay is how long a replaced generation is kept at least, for transactions that a front had begun to read under
// its settings.
const retireDelay = 5 * time.Second

// maxStateBytes bounds the state that a generation's gateway exports to that of the next generation.
const maxStateBytes = 4 << 20

// newGeneration returns a generation with a new gateway. The error is that of policy.New.
func (c *Core) newGeneration(number int, cfg policy.Settings, seed uint64) (*generation, error) {
	gateway, err := policy.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	g := &generation{number: number, cfg: cfg, gateway: gateway}
	gateway.Attach(host{c, g})
	return g, nil
}

// generations returns the current generation and the retiring ones, in a new slice. The mutex is held.
func (c *Core) generations() []*generation {
	return append([]*generation{c.current}, c.retiring...)
}

// generationByNumber returns the generation with a number, or nil if it is retired or unknown. The mutex is held.
func (c *Core) generationByNumber(number int) *generation {
	if number == c.current.number {
		return c.current
	}
	for _, g := range c.retiring {
		if g.number == number {
			return g
		}
	}
	return nil
}

// Reconfigure puts other settings in force for transactions that arrive from now on, and returns the number of their
// generation. Open transactions keep the settings under which they arrived. On an error, which is that of policy.New or
// policy.ErrState, the settings stay as they were.
func (c *Core) Reconfigure(cfg policy.Settings, seed uint64) (number int, err error) {
	cfg.Peers = cfg.Peers && c.sendToPeer != nil
	c.handle(func(now Time) {
		var next *generation
		if next, err = c.newGeneration(c.current.number+1, cfg, seed); err != nil {
			return
		}
		old := c.current
		c.current = next // before the import, during which the new gateway sends its first messages to peers
		if err = next.gateway.ImportState(now, old.gateway.ExportState(now, maxStateBytes)); err != nil {
			c.current, next.retired = old, true
			return
		}
		old.replacedAt = now
		c.retiring = append(c.retiring, old)
		c.storm.reconfigure(cfg)
		number = next.number
		time.AfterFunc(retireDelay, func() { c.handle(func(Time) { c.prune() }) })
	})
	return number, err
}

// prune retires the replaced generations that have no open transactions and whose retireDelay has passed. The mutex is
// held.
func (c *Core) prune() {
	c.retiring = slices.DeleteFunc(c.retiring, func(g *generation) bool {
		g.retired = g.openTransactions == 0 && c.Now()-g.replacedAt >= retireDelay
		return g.retired
	})
}

// Sent describes an attempt that was started, to the gateways of this process's other generations and to the process
// that takes over from this one. Processes exchange it as JSON.
type Sent struct {
	Customer  policy.CustomerID `json:"customer"`
	Plan      string            `json:"plan"` // by name, because the index differs between settings
	Units     float64           `json:"units"`
	SetSize   int               `json:"set"`
	FirstDoor int               `json:"door"` // policy.Request.FirstGateway
	Server    policy.ServerID   `json:"server"`
	First     bool              `json:"first"` // first attempt of its transaction, which draws the units
}

// announceSend reports an attempt to the other generations' gateways and to a process that takes over. The mutex is
// held.
func (c *Core) announceSend(tx *transaction, to policy.ServerID) {
	if len(c.retiring) == 0 && c.onSend == nil {
		return
	}
	s := Sent{Customer: tx.Customer, Plan: tx.generation.cfg.Plans[tx.Plan].Name, Units: tx.Units,
		SetSize: tx.SetSize, FirstDoor: tx.FirstGateway, Server: to, First: tx.attemptsStarted == 1}
	for _, g := range c.generations() {
		if g != tx.generation {
			g.sentElsewhere(c.Now(), s, g == c.current)
		}
	}
	if c.onSend != nil {
		c.onSend(s)
	}
}

// sentElsewhere reports an attempt that another gateway has started to the generation's gateway. draws is whether the
// first attempt of a transaction draws its units. It draws none at a retiring generation's gateway, which admits
// nothing any more.
func (g *generation) sentElsewhere(now Time, s Sent, draws bool) {
	plan := slices.IndexFunc(g.cfg.Plans, func(p policy.Plan) bool { return p.Name == s.Plan })
	request := policy.Request{Customer: s.Customer, Plan: plan, Units: s.Units, SetSize: s.SetSize,
		FirstGateway: s.FirstDoor}
	g.gateway.SentElsewhere(now, request, s.Server, draws && s.First && plan >= 0)
}

// ExportState returns the current gateway's state for ImportState, of about maxBytes at most. From then on onSend is
// called for each attempt that is started. The mutex is held during the call, so onSend must only queue.
func (c *Core) ExportState(maxBytes int, onSend func(Sent)) (state []byte) {
	c.handle(func(now Time) {
		state = c.current.gateway.ExportState(now, maxBytes)
		c.onSend = onSend
	})
	return state
}

// StopExport ends the calls of the function that was passed to ExportState.
func (c *Core) StopExport() {
	c.mu.Lock()
	c.onSend = nil
	c.mu.Unlock()
}

// ImportState imports the state that another process of this gateway has exported, wholly or not at all. It must be
// called before any other event. The error is policy.ErrState.
func (c *Core) ImportState(state []byte) (err error) {
	c.handle(func(now Time) {
		if err = c.current.gateway.ImportState(now, state); err == nil {
			c.recovery.Received(recovery.Predecessor)
		}
	})
	return err
}

// SentElsewhere handles attempts that another process of this gateway has started.
func (c *Core) SentElsewhere(list []Sent) {
	c.handle(func(now Time) {
		for _, s := range list {
			c.current.sentElsewhere(now, s, true)
		}
	})
}
