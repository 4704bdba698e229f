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
		case <-c.wakeRead:
		case <-c.ended.Done():
			return
		}
		if c.nextRead() <= c.now() {
			c.readServers()
		}
		timer.Reset(max(c.nextRead()-c.now(), time.Millisecond))
	}
}

func (c *Control) nextRead() time.Duration {
	rank := c.rank()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.schedule.Rank(rank)
	return c.schedule.Next()
}

// rank gives this process's place among those of the chain, by their addresses.
func (c *Control) rank() int {
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
	list, err := c.reader.Read(c.ended)
	if errors.Is(err, context.Canceled) {
		return
	}
	if err != nil {
		c.readFailed(err)
		return
	}
	c.mutex.Lock()
	c.schedule.Read(began, c.now()-began)
	changed := c.servers.take(list, began)
	c.mutex.Unlock()
	c.peers.shareServers()
	if changed {
		c.log.Info().Int("servers", len(list.Servers)).Msg("servers-changed")
		wake(c.changed)
	}
}

func (c *Control) readFailed(err error) {
	var rate *discovery.RateError
	var patience time.Duration
	if errors.As(err, &rate) {
		patience = rate.RetryAfter
	}
	c.mutex.Lock()
	c.schedule.Failed(c.now(), patience)
	c.mutex.Unlock()
	c.log.Warn().Err(err).Msg("servers-not-read")
}
