package control

import (
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Intervals of the reports between control processes.
const (
	// reportInterval is the interval of reports to the head of the chain, which maintains the store membership.
	reportInterval = 400 * time.Millisecond
	// minReportInterval is the minimum time between two reports to the head. When the view changes, all batch
	// processes poll with new reports within a short time.
	minReportInterval   = 40 * time.Millisecond
	reportsPerBroadcast = 2 // reports to the head for each report to the others
)

// peers holds this process's connections to the other control processes, over which it sends its reports.
type peers struct {
	control *Control
	mutex   sync.Mutex // guards byIP and the peers in it
	byIP    map[string]*peer
}

// peer is the connection to one other control process. Its fields are guarded by peers.mutex.
type peer struct {
	client         *transport.Client
	serversVersion uint64                      // version of the server list that was sent; 0: none
	gateways       map[string]protocol.Process // reported gateways, by node
	sentAll        bool                        // a report with All set was sent over this connection
	present        bool                        // used by refresh: the peer is still a known control process
}

// newPeers returns peers without connections; refresh opens them.
func newPeers(c *Control) *peers { return &peers{control: c, byIP: map[string]*peer{}} }

// refresh connects to new control processes and closes the connections to departed ones.
func (p *peers) refresh() {
	self := p.control.settings.IP
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, other := range p.byIP {
		other.present = false
	}
	for _, ip := range p.control.controlIPs() {
		if ip == self {
			continue
		}
		if p.byIP[ip] == nil {
			p.byIP[ip] = p.connect(ip)
		}
		p.byIP[ip].present = true
	}
	for ip, other := range p.byIP {
		if !other.present {
			other.client.Close()
			delete(p.byIP, ip)
		}
	}
}

// connect opens a connection. It is called with peers.mutex held. After each reconnection everything is sent
// again, because the other side has dropped what it received over the former connection.
func (p *peers) connect(ip string) *peer {
	other := &peer{gateways: map[string]protocol.Process{}}
	onReconnect := func(bool) {
		p.mutex.Lock()
		other.serversVersion = 0
		other.sentAll = false
		clear(other.gateways)
		p.mutex.Unlock()
	}
	other.client = transport.NewClient(
		p.control.settings.EndpointAt(ip, node.PortControl),
		p.control.transportOptions(),
		nil,
		onReconnect,
	)
	return other
}

// close closes all connections.
func (p *peers) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, other := range p.byIP {
		other.client.Close()
	}
}

// report sends the gateways that poll this process to the head of the chain and, if toAll is set, to all other
// control processes. The head also gets the batch processes, because it maintains the store membership.
func (p *peers) report(head string, toAll bool, gateways map[string]protocol.Process, batch []peerBatch) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for ip, other := range p.byIP {
		if ip != head && !toAll {
			continue
		}
		report := other.pollersDelta(gateways)
		if ip == head {
			report.Batch = batch
		}
		if other.client.Send(report) == nil {
			other.markSent(&report)
		}
	}
}

// pollersDelta returns a report with the differences between gateways and the gateways that were reported
// before.
func (p *peer) pollersDelta(gateways map[string]protocol.Process) peerReport {
	report := peerReport{Presence: true, All: !p.sentAll}
	for node, process := range gateways {
		if p.gateways[node] != process {
			report.Gateways = append(report.Gateways, process)
		}
	}
	for node := range p.gateways {
		if _, here := gateways[node]; !here {
			report.Gone = append(report.Gone, node)
		}
	}
	return report
}

// markSent records that a report was sent.
func (p *peer) markSent(report *peerReport) {
	p.sentAll = true
	for _, process := range report.Gateways {
		p.gateways[process.Node] = process
	}
	for _, node := range report.Gone {
		delete(p.gateways, node)
	}
}

// sendServers sends the server list that was just read to all other control processes, as a delta to those
// that have an earlier version.
func (p *peers) sendServers() {
	c := p.control
	rank := c.readerRank()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, other := range p.byIP {
		servers, version := c.peerServersSince(rank, other.serversVersion)
		if other.client.Send(peerReport{Servers: servers}) == nil {
			other.serversVersion = version
		}
	}
}

// peerServersSince returns the message that brings a peer from version has of the server list to the newest
// version, and that newest version.
func (c *Control) peerServersSince(rank int, has uint64) (*peerServers, uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	table := &c.servers
	servers := &peerServers{
		Digest: table.list.Digest,
		Ago:    c.now() - table.readAt,
		Took:   c.schedule.ReadDuration(),
		Rank:   rank,
	}
	if has != table.version {
		servers.List = table.messageFrom(c.incarnation, has, c.now())
	}
	return servers, table.version
}

// reportLoop reports the processes that poll this one to the other control processes at regular intervals. It
// reports to the head at once after a poll that the head waits for (wakeReport).
func (c *Control) reportLoop() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reportedAt := c.now()
	for round := 0; ; {
		toAll := false
		select {
		case <-ticker.C:
			toAll = round%reportsPerBroadcast == 0
			round++
		case <-c.wakeReport:
			if c.now()-reportedAt < minReportInterval {
				c.sleep(minReportInterval - (c.now() - reportedAt))
			}
		case <-c.ctx.Done():
			return
		}
		reportedAt = c.now()
		c.peers.refresh()
		gateways, batch := c.pollers()
		head := hostOf(c.replica.View().Head().Address)
		c.peers.report(head, toAll, gateways, batch)
		wake(c.wakePush) // gateways may have timed out, which removes them from the member list
	}
}

// sleep waits for the given duration, or until the process stops.
func (c *Control) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// pollers returns the gateways that poll this process, by node, and the batch processes that poll it, with
// their newest reports.
func (c *Control) pollers() (map[string]protocol.Process, []peerBatch) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	gateways := make(map[string]protocol.Process, len(c.subscribers))
	var batch []peerBatch
	for _, sub := range c.subscribers {
		last, known := c.liveness.LastContact(sub.process)
		switch {
		case !known || now-last.At > liveness.GatewayTimeout:
		case sub.process.Role == protocol.RoleBatch:
			batch = append(batch,
				peerBatch{Process: last.Process, Ready: last.Ready, Report: last.Batch, Ago: now - last.At})
		case sub.process.Role == protocol.RoleGateway && now-sub.lastPollAt <= gatewayPollTimeout:
			gateways[sub.process.Node] = sub.process
		}
	}
	return gateways, batch
}

// gatewayPollTimeout is how long a connected gateway may go without a poll before it is reported to the other
// control processes as departed (peerReport.Gone).
const gatewayPollTimeout = 4 * protocol.PollInterval
