package control

import (
	"context"
	"errors"
	"time"

	"sprucelane.example/sprucelane/internal/control/discovery"
)

// readLoop reads the platform's server list whenever the schedule says that this process must read it.
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

// nextRead returns when this process must read the list next.
func (c *Control) nextRead() time.Duration {
	rank := c.readerRank()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.schedule.SetRank(rank)
	return c.schedule.NextRead()
}

// readServers reads the list and sends it to the other control processes.
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
		c.log.Info().Int("servers", len(list.Servers)).Int("malformed", list.Malformed).Msg("server_list_changed")
		wake(c.wakePush)
	}
}

// readFailed schedules the next attempt, taking the platform's Retry-After into account if there was one.
func (c *Control) readFailed(err error) {
	var rate *discovery.RateLimitError
	var retryAfter time.Duration
	if errors.As(err, &rate) {
		retryAfter = rate.RetryAfter
	}
	c.mutex.Lock()
	c.schedule.ReadFailed(c.now(), retryAfter)
	c.mutex.Unlock()
	c.log.Warn().Err(err).Msg("server_list_read_failed")
}
