package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/control/discovery"
	"sprucelane.example/sprucelane/internal/protocol"
)

// serverTable is the newest list of servers, as this process numbers it.
type serverTable struct {
	list    discovery.List
	version uint64 // 0: no list was had
	readAt  time.Duration
}

// take takes a list in, and tells whether its content changed.
func (t *serverTable) take(list discovery.List, readAt time.Duration) bool {
	if t.version > 0 && readAt < t.readAt {
		return false
	}
	t.readAt = readAt
	if t.version > 0 && t.list.Digest == list.Digest {
		return false
	}
	t.list = list
	t.version++
	return true
}

// message gives the list for subscribers, with the time that servers stay cold brought up to date.
func (t *serverTable) message(source string, now time.Duration) *protocol.ServerList {
	servers := slices.Clone(t.list.Servers)
	for i := range servers {
		servers[i].Cold = max(0, servers[i].Cold-(now-t.readAt))
	}
	return &protocol.ServerList{Version: t.version, Source: source, Servers: servers}
}

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
	c.schedule.Read(began)
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
