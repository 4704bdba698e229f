package control

import (
	"testing"
	"testing/synctest"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/protocol"
)

// simulatePause makes the process detect a pause of the given length that ends now.
func (c *Control) simulatePause(span time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pauses.lastRanAt -= span
}

// anySession returns one of the sessions of other processes; nil if there is none.
func anySession[V any](c *Control, sessions map[*transport.Session]V) *transport.Session {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for session := range sessions {
		return session
	}
	return nil
}

// awaitSession waits until another process has a session and returns it. Sessions that a process pause closed are
// reopened shortly afterwards.
func awaitSession[V any](t *testing.T, c *Control, sessions map[*transport.Session]V) *transport.Session {
	t.Helper()
	var session *transport.Session
	eventually(t, "a session", func() bool {
		session = anySession(c, sessions)
		return session != nil
	})
	return session
}

func (c *Control) knows(process protocol.Process) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, known := c.liveness.LastContact(process)
	return known
}

// TestProcessPause checks that messages that were in the sockets of a paused process are not processed after a pause
// longer than maxPause, and that messages over new connections are.
func TestProcessPause(t *testing.T) {
	for _, span := range []time.Duration{maxPause / 2, 20 * time.Second} {
		t.Run(span.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulatedSystem(t, 3, injectedBug{})
				store := s.startPoller(t, 0, storeProcess(1, "a"))
				eventually(t, "a lease", store.locked(func() bool { return store.grant.Lease > 0 }))
				c := s.running[0]
				awaitSession(t, c, c.peerSessions)
				subscriber := awaitSession(t, c, c.subscribers)
				short := span < maxPause

				c.simulatePause(span)
				c.handlePoll(subscriber, protocol.Poll{Process: storeProcess(2, "old")})
				if c.knows(storeProcess(2, "old")) != short {
					t.Errorf("after a pause of %v, a poll over an earlier connection was processed: %t", span, !short)
				}
				synctest.Wait() // until the sessions that were closed after the pause are removed
				reporter := awaitSession(t, c, c.peerSessions)
				c.simulatePause(span)
				report := &peerReport{Presence: true, Batch: []peerBatch{{Process: storeProcess(3, "old")}}}
				c.handleReport(reporter, report)
				if c.knows(storeProcess(3, "old")) != short {
					t.Errorf("after a pause of %v, a report over an earlier connection was processed: %t", span, !short)
				}
				time.Sleep(time.Second)
				c.handleReport(awaitSession(t, c, c.peerSessions), report)
				if !c.knows(storeProcess(3, "old")) {
					t.Error("a report over a new connection was not processed")
				}
				eventually(t, "a lease again", store.locked(func() bool { return store.grant.Lease > 0 }))
				s.finish()
			})
		})
	}
}
