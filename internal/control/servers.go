package control

import (
	"context"
	"errors"
	"time"

	"sprucelane.example/sprucelane/internal/control/discovery"
)

// readLoop reads the platform's list when it is this process's turn.
func (c *Control) readLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-c.wakeDiscovery:
		case <-c.ctx.Done():
			return
		}
		if c.nextRead() <= c.now() {
			c.readServers()
		}
		timer.Reset(max(c.nextRead()-c.now(), time.Millisecond))
	}
}

func (c *Control) nextRead() time.Duration {
	rank := c.readerRank()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.schedule.SetRank(rank)
	return c.schedule.NextRead()
}

// rank gives this process's place among those of the chain, by their addresses.
func (c *Control) readerRank() int {
	self := c.replica.Self()
	rank := 0
	for _, member := range c.replica.View().Chain {
		if !member.Same(self) && member.Address < self.Address {
			rank++
		}
	}
	return rank
}

func (c *Control) readServers() {
	began := c.now()
	list, err := c.reader.Read(c.ctx)
	if errors.Is(err, context.Canceled) {
		return
	}
	if err != nil {
		c.readFailed(err)
		return
	}
	c.mutex.Lock()
	c.schedule.ReadSucceeded(began, c.now()-began)
	changed := c.servers.update(list, began)
	c.mutex.Unlock()
	c.peers.sendServers()
	if changed {
		c.log.Info().Int("servers", len(list.Servers)).Msg("servers-changed")
		wake(c.wakePush)
	}
}

func (c *Control) readFailed(err error) {
	var rate *discovery.RateLimitError
	var patience time.Duration
	if errors.As(err, &rate) {
		patience = rate.RetryAfter
	}
	c.mutex.Lock()
	c.schedule.ReadFailed(c.now(), patience)
	c.mutex.Unlock()
	c.log.Warn().Err(err).Msg("servers-not-read")
}
