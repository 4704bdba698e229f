package control

import (
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/control/discovery"
	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverlist"
)

// peerSession holds what another control process has reported over one connection. It is guarded by
// Control.mutex.
type peerSession struct {
	firstContactAt time.Duration               // when its first message was received
	gateways       map[string]protocol.Process // gateways that poll the other process, by node
	servers        *protocol.ServerList        // last server list received, complete; nil: none
}

// handleReport processes a report of another control process.
func (c *Control) handleReport(session *transport.Session, report *peerReport) {
	from := session.Remote()
	if from.Role != protocol.RoleControl {
		return
	}
	now := c.now()
	c.mutex.Lock()
	c.checkPause()
	peer := c.peerSessionOf(session)
	if !c.trustsSession(session) {
		c.mutex.Unlock()
		return
	}
	urgent := report.Presence && c.mergePollers(peer, report, now)
	if report.Presence {
		c.liveness.ReportReceived(hostOf(from.Address), now)
	}
	changed := report.Servers != nil && c.mergeServers(peer, report.Servers, now)
	c.mutex.Unlock()
	if urgent {
		wake(c.wakeRoles)
	}
	if changed {
		wake(c.wakePush)
	}
	if report.Servers != nil {
		wake(c.wakeDiscovery)
	}
}

// peerSessionOf returns the state of a session, and creates it on the first report. It is called with the
// mutex held.
func (c *Control) peerSessionOf(session *transport.Session) *peerSession {
	peer := c.peerSessions[session]
	if peer == nil {
		peer = &peerSession{firstContactAt: c.now(), gateways: map[string]protocol.Process{}}
		c.peerSessions[session] = peer
		// If the session has already ended, OnClose calls the function immediately, while the mutex is held here.
		session.OnClose(func() { go c.removePeerSession(session) })
	}
	return peer
}

// removePeerSession drops the state of a session that has closed.
func (c *Control) removePeerSession(session *transport.Session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.peerSessions, session)
}

// mergePollers records the processes that poll another control process, and reports whether the leader should
// act on them without delay (see liveness.Table.Observe). It is called with the mutex held.
func (c *Control) mergePollers(peer *peerSession, report *peerReport, now time.Duration) bool {
	if report.All {
		clear(peer.gateways)
	}
	for _, process := range report.Gateways {
		peer.gateways[process.Node] = process
	}
	for _, node := range report.Gone {
		delete(peer.gateways, node)
	}
	urgent := false
	for _, process := range peer.gateways {
		urgent = c.liveness.Observe(liveness.Contact{Process: process, At: now}) || urgent
	}
	for _, batch := range report.Batch {
		contact := liveness.Contact{
			Process: batch.Process,
			Ready:   batch.Ready,
			Batch:   batch.Report,
			At:      now - max(batch.Ago, 0),
		}
		urgent = c.liveness.Observe(contact) || urgent
	}
	return urgent
}

// mergeServers applies a server list that another control process has read, and reports whether the list held
// here has changed. It is called with the mutex held.
func (c *Control) mergeServers(peer *peerSession, received *peerServers, now time.Duration) bool {
	if received.List != nil {
		list, err := serverlist.ApplyUpdate(peer.servers, received.List)
		if err != nil {
			// Later deltas can't be applied either. Without lists from its peers this process soon reads the list
			// itself.
			peer.servers = nil
			return false
		}
		peer.servers = list
	}
	if peer.servers == nil {
		return false
	}
	readAt := now - max(received.Ago, 0)
	c.schedule.ListReceived(readAt, received.Took, received.Rank)
	return c.servers.update(discovery.List{Servers: peer.servers.Servers, Digest: received.Digest}, readAt)
}
