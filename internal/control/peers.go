package control

import (
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/control/discovery"
	"sprucelane.example/sprucelane/internal/control/presence"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Times of what control processes tell each other.
const (
	reportEvery   = 400 * time.Millisecond
	gatewaysEvery = 3 // reports that go by between two with gateways; batch processes are in each
)

// peerReport is what a control process tells the others. Ages are as of when it was sent.
type peerReport struct {
	Heard   []peerHeard // who polled there since the report before
	Servers *peerServers
}

// peerHeard is one process that polled.
type peerHeard struct {
	Process protocol.Process
	Ready   bool
	Batch   *protocol.BatchReport
	Ago     time.Duration
}

// peerServers is the platform's list as a control process has it.
type peerServers struct {
	Digest  uint64
	Ago     time.Duration
	Rank    int  // of who read it
	Whole   bool // else the list with this digest was sent before, and Servers is empty
	Servers []protocol.Server
}

func init() { transport.Register(peerReport{}) }

// peers are the connections to the other control processes.
type peers struct {
	control *Control
	mutex   sync.Mutex
	byIP    map[string]*peer
}

// peer is one other control process.
type peer struct {
	client *transport.Client
	sent   uint64 // digest of the list that it was sent last over this connection
	wanted bool   // still a control process
}

func newPeers(c *Control) *peers { return &peers{control: c, byIP: map[string]*peer{}} }

// refresh connects to new control processes and leaves those that are gone.
func (p *peers) refresh() {
	self := p.control.settings.IP
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, one := range p.byIP {
		one.wanted = false
	}
	for _, ip := range p.control.controlIPs() {
		if ip == self {
			continue
		}
		if p.byIP[ip] == nil {
			p.byIP[ip] = p.connect(ip)
		}
		p.byIP[ip].wanted = true
	}
	for ip, one := range p.byIP {
		if !one.wanted {
			one.client.Close()
			delete(p.byIP, ip)
		}
	}
}

func (p *peers) connect(ip string) *peer {
	one := &peer{}
	forget := func(bool) {
		p.mutex.Lock()
		one.sent = 0
		p.mutex.Unlock()
	}
	one.client = transport.NewClient(p.control.settings.EndpointAt(ip, node.PortControl), p.control.transportOptions(), nil, forget)
	return one
}

func (p *peers) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, one := range p.byIP {
		one.client.Close()
	}
}

// tell sends a report to all.
func (p *peers) tell(report peerReport) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, one := range p.byIP {
		_ = one.client.Send(report) // the next report tells all again
	}
}

// shareServers tells all the list that was just read; the list itself only to who hasn't had it.
func (p *peers) shareServers() {
	whole, list := p.control.sharedServers()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, one := range p.byIP {
		share := whole
		if one.sent != whole.Digest {
			share.Whole, share.Servers = true, list
		}
		if one.client.Send(peerReport{Servers: &share}) == nil {
			one.sent = whole.Digest
		}
	}
}

func (c *Control) sharedServers() (peerServers, []protocol.Server) {
	rank := c.rank()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.servers.list
	return peerServers{Digest: list.Digest, Ago: c.now() - c.servers.readAt, Rank: rank}, list.Servers
}

// controlIPs gives the addresses of all control processes that are known.
func (c *Control) controlIPs() []string {
	seen := map[string]bool{}
	var list []string
	add := func(address string) {
		if ip := hostOf(address); ip != "" && !seen[ip] {
			seen[ip] = true
			list = append(list, ip)
		}
	}
	for _, member := range c.replica.View().Chain {
		add(member.Address)
	}
	for _, one := range c.replica.Members() {
		add(one.Member.Address)
	}
	return list
}

// reportLoop tells the others who polled here.
func (c *Control) reportLoop() {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var batchFrom, gatewaysFrom time.Duration
	for round := 0; ; round++ {
		select {
		case <-ticker.C:
		case <-c.ended.Done():
			return
		}
		c.peers.refresh()
		now := c.now()
		report := c.reportSince(protocol.RoleBatch, batchFrom, now)
		batchFrom = now
		if round%gatewaysEvery == 0 {
			report = append(report, c.reportSince(protocol.RoleGateway, gatewaysFrom, now)...)
			gatewaysFrom = now
		}
		c.peers.tell(peerReport{Heard: report})
		wake(c.changed) // gateways that fell silent leave the list
	}
}

// reportSince gives the processes with a role that polled here since a time.
func (c *Control) reportSince(role string, from, now time.Duration) []peerHeard {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var list []peerHeard
	for _, one := range c.presence.Since(from) {
		if one.Process.Role == role && c.polledHere(one.Process) {
			list = append(list, peerHeard{Process: one.Process, Ready: one.Ready, Batch: one.Batch, Ago: now - one.At})
		}
	}
	return list
}

func (c *Control) polledHere(process protocol.Process) bool {
	for _, one := range c.subscribers {
		if one.process == process {
			return true
		}
	}
	return false
}

// handleReport takes in what another control process tells.
func (c *Control) handleReport(from transport.Identity, report peerReport) {
	if from.Role != protocol.RoleControl {
		return
	}
	now := c.now()
	c.mutex.Lock()
	news := false
	for _, one := range report.Heard {
		heard := presence.Heard{Process: one.Process, Ready: one.Ready, Batch: one.Batch, At: now - max(one.Ago, 0)}
		news = c.presence.Observe(heard) || news
	}
	if report.Servers == nil {
		c.presence.Cover(hostOf(from.Address), now)
	}
	changed := report.Servers != nil && c.takeShared(report.Servers, now)
	c.mutex.Unlock()
	if news {
		wake(c.wakeRoles)
	}
	if changed {
		wake(c.changed)
	}
	if report.Servers != nil {
		wake(c.wakeRead)
	}
}

// takeShared takes in a list that another process read.
func (c *Control) takeShared(shared *peerServers, now time.Duration) bool {
	readAt := now - max(shared.Ago, 0)
	list := discovery.List{Servers: shared.Servers, Digest: shared.Digest}
	if !shared.Whole {
		if c.servers.version == 0 || c.servers.list.Digest != shared.Digest {
			return false // its content didn't arrive: this process reads the list itself before long
		}
		list = c.servers.list
	}
	c.schedule.Received(readAt, shared.Rank)
	return c.servers.take(list, readAt)
}
