package control

import (
	"testing"
	"testing/synctest"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/protocol"
)

// standStill has a process find that it stood still until now.
func (c *Control) standStill(span time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.still.beatAt -= span
}

// anySession gives a session of the connections of others.
func anySession[V any](c *Control, sessions map[*transport.Session]V) *transport.Session {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for session := range sessions {
		return session
	}
	return nil
}

func (c *Control) hears(process protocol.Process) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, known := c.presence.Newest(process)
	return known
}

// TestStandstill checks that what lay in the sockets of a process that stood still isn't taken for news, and that the next
// connections bring some.
func TestStandstill(t *testing.T) {
	for _, span := range []time.Duration{standstillMost / 2, 20 * time.Second} {
		t.Run(span.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newBubbleSystem(t, 3, nil)
				store := s.follow(t, 0, storeProcess(1, "a"))
				eventually(t, "a lease", store.see(func() bool { return store.grant.Lease > 0 }))
				c := s.running[0]
				eventually(t, "reports of others", func() bool { return anySession(c, c.told) != nil })
				short := span < standstillMost

				c.standStill(span)
				c.handlePoll(anySession(c, c.subscribers), protocol.Poll{Process: storeProcess(2, "old")})
				if c.hears(storeProcess(2, "old")) != short {
					t.Errorf("after %v, a poll from before was taken for news: %t", span, !short)
				}
				c.standStill(span)
				report := &peerReport{Presence: true, Batch: []peerBatch{{Process: storeProcess(3, "old")}}}
				c.handleReport(anySession(c, c.told), report)
				if c.hears(storeProcess(3, "old")) != short {
					t.Errorf("after %v, a report from before was taken for news: %t", span, !short)
				}
				time.Sleep(time.Second)
				c.handleReport(anySession(c, c.told), report)
				if !c.hears(storeProcess(3, "old")) {
					t.Error("a report over a new connection isn't taken in")
				}
				eventually(t, "a lease again", store.see(func() bool { return store.grant.Lease > 0 }))
				s.finish()
			})
		})
	}
}
