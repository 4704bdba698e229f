package control

import (
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/control/discovery"
	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverlist"
)

// told is what another control process has told over one connection.
type peerSession struct {
	firstContactAt time.Duration               // first heard
	gateways       map[string]protocol.Process // that poll there, by node
	servers        *protocol.ServerList
}

// reportLoop tells the other control processes who polls here.
func (c *Control) reportLoop() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ticker.C:
		case <-c.ctx.Done():
			return
		}
		c.peers.refresh()
		gateways, batch := c.pollers()
		head := hostOf(c.replica.View().Head().Address)
		c.peers.report(head, round%reportsPerBroadcast == 0, gateways, batch)
		wake(c.wakePush) // gateways that fell silent leave the list
	}
}

// pollers gives who polls here: gateways by node, and batch processes with their reports.
func (c *Control) pollers() (map[string]protocol.Process, []peerBatch) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	gateways := make(map[string]protocol.Process, len(c.subscribers))
	var batch []peerBatch
	for _, one := range c.subscribers {
		heard, known := c.liveness.LastContact(one.process)
		switch {
		case !known || now-heard.At > liveness.GatewayTimeout:
		case one.process.Role == protocol.RoleBatch:
			batch = append(batch, peerBatch{Process: heard.Process, Ready: heard.Ready, Report: heard.Batch, Ago: now - heard.At})
		case one.process.Role == protocol.RoleGateway && now-one.lastPollAt <= gatewayPollTimeout:
			gateways[one.process.Node] = one.process
		}
	}
	return gateways, batch
}

// gatewayQuiet is how long a gateway that stays connected may go without a poll before it is told to be gone.
const gatewayPollTimeout = 4 * protocol.PollInterval

// handleReport takes in what another control process tells.
func (c *Control) handleReport(session *transport.Session, report *peerReport) {
	from := session.Remote()
	if from.Role != protocol.RoleControl {
		return
	}
	now := c.now()
	c.mutex.Lock()
	c.checkPause()
	known := c.peerSessionOf(session)
	if !c.trustsSession(session) {
		c.mutex.Unlock()
		return
	}
	news := report.Presence && c.mergePollers(known, report, now)
	if report.Presence {
		c.liveness.ReportReceived(hostOf(from.Address), now)
	}
	changed := report.Servers != nil && c.mergeServers(known, report.Servers, now)
	c.mutex.Unlock()
	if news {
		wake(c.wakeRoles)
	}
	if changed {
		wake(c.wakePush)
	}
	if report.Servers != nil {
		wake(c.wakeDiscovery)
	}
}

func (c *Control) peerSessionOf(session *transport.Session) *peerSession {
	known := c.peerSessions[session]
	if known == nil {
		known = &peerSession{firstContactAt: c.now(), gateways: map[string]protocol.Process{}}
		c.peerSessions[session] = known
		session.OnClose(func() { go c.removePeerSession(session) })
	}
	return known
}

func (c *Control) removePeerSession(session *transport.Session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.peerSessions, session)
}

// takePresence takes in who polls at another process, and tells whether someone is new.
func (c *Control) mergePollers(known *peerSession, report *peerReport, now time.Duration) bool {
	if report.All {
		clear(known.gateways)
	}
	for _, process := range report.Gateways {
		known.gateways[process.Node] = process
	}
	for _, node := range report.Gone {
		delete(known.gateways, node)
	}
	news := false
	for _, process := range known.gateways {
		news = c.liveness.Observe(liveness.Contact{Process: process, At: now}) || news
	}
	for _, one := range report.Batch {
		heard := liveness.Contact{Process: one.Process, Ready: one.Ready, Batch: one.Report, At: now - max(one.Ago, 0)}
		news = c.liveness.Observe(heard) || news
	}
	return news
}

// takeShared takes in a list that another process read, and tells whether it changed the one held here.
func (c *Control) mergeServers(known *peerSession, shared *peerServers, now time.Duration) bool {
	if shared.List != nil {
		list, err := serverlist.ApplyUpdate(known.servers, shared.List)
		if err != nil {
			known.servers = nil // nothing that adds to it can be used: this process reads the list itself before long
			return false
		}
		known.servers = list
	}
	if known.servers == nil {
		return false
	}
	readAt := now - max(shared.Ago, 0)
	c.schedule.ListReceived(readAt, shared.Took, shared.Rank)
	return c.servers.update(discovery.List{Servers: known.servers.Servers, Digest: shared.Digest}, readAt)
}
