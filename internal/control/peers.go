package control

import (
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Times of what control processes tell each other.
const (
	reportInterval      = 400 * time.Millisecond // to the head of the chain, which keeps the set of batch processes
	reportsPerBroadcast = 2                      // reports to the head for one to the others
)

// peerReport is what a control process tells another. Ages are as of when it was sent. What goes over one connection adds up: the
// gateways that were named and aren't gone still poll there, and a list of servers may be the difference to the one before.
type peerReport struct {
	Presence bool               // Gateways, Gone and Batch tell who polls there now
	All      bool               // Gateways holds all, whatever was told before
	Gateways []protocol.Process // new since the report before
	Gone     []string           // nodes of gateways
	Batch    []peerBatch        // to the head of the chain only
	Servers  *peerServers
}

// peerBatch is a batch process that polls.
type peerBatch struct {
	Process protocol.Process
	Ready   bool
	Report  *protocol.BatchReport
	Ago     time.Duration // of its newest poll
}

// peerServers is the platform's list as a control process has read it.
type peerServers struct {
	Digest uint64
	Ago    time.Duration        // when the reading began
	Took   time.Duration        // to read it
	Rank   int                  // of who read it
	List   *protocol.ServerList // nil: the list with this digest was sent before
}

// The name of peerReport on the wire stays when the type is renamed or moved.
func init() {
	transport.RegisterNamed(transport.NamedType{Name: "sprucelane.example/sprucelane/internal/control.peerReport", Sample: peerReport{}})
}

// peers are the connections to the other control processes.
type peers struct {
	control *Control
	mutex   sync.Mutex
	byIP    map[string]*peer
}

// peer is one other control process, and what it was told over this connection.
type peer struct {
	client         *transport.Client
	serversVersion uint64                      // version of the list
	gateways       map[string]protocol.Process // by node
	sentAll        bool                        // gateways were told at all
	present        bool                        // still a control process
}

func newPeers(c *Control) *peers { return &peers{control: c, byIP: map[string]*peer{}} }

// refresh connects to new control processes and leaves those that are gone.
func (p *peers) refresh() {
	self := p.control.settings.IP
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, one := range p.byIP {
		one.present = false
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
	for ip, one := range p.byIP {
		if !one.present {
			one.client.Close()
			delete(p.byIP, ip)
		}
	}
}

func (p *peers) connect(ip string) *peer {
	one := &peer{gateways: map[string]protocol.Process{}}
	forget := func(bool) {
		p.mutex.Lock()
		one.serversVersion = 0
		one.sentAll = false
		clear(one.gateways)
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

// tell tells the head of the chain, and every other where all is set, who polls here.
func (p *peers) report(head string, all bool, gateways map[string]protocol.Process, batch []peerBatch) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for ip, one := range p.byIP {
		if ip != head && !all {
			continue
		}
		report := one.pollersDelta(gateways)
		if ip == head {
			report.Batch = batch
		}
		if one.client.Send(report) == nil {
			one.markSent(&report)
		}
	}
}

// presence gives what differs from what was told.
func (o *peer) pollersDelta(gateways map[string]protocol.Process) peerReport {
	report := peerReport{Presence: true, All: !o.sentAll}
	for node, process := range gateways {
		if o.gateways[node] != process {
			report.Gateways = append(report.Gateways, process)
		}
	}
	for node := range o.gateways {
		if _, here := gateways[node]; !here {
			report.Gone = append(report.Gone, node)
		}
	}
	return report
}

func (o *peer) markSent(report *peerReport) {
	o.sentAll = true
	for _, process := range report.Gateways {
		o.gateways[process.Node] = process
	}
	for _, node := range report.Gone {
		delete(o.gateways, node)
	}
}

// shareServers tells all the list that was just read, as far as they haven't had it.
func (p *peers) sendServers() {
	c := p.control
	rank := c.readerRank()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, one := range p.byIP {
		share, version := c.peerServersSince(rank, one.serversVersion)
		if one.client.Send(peerReport{Servers: share}) == nil {
			one.serversVersion = version
		}
	}
}

// sharedServers gives the list for a process that has a version.
func (c *Control) peerServersSince(rank int, has uint64) (*peerServers, uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	table := &c.servers
	share := &peerServers{Digest: table.list.Digest, Ago: c.now() - table.readAt, Took: c.schedule.ReadDuration(), Rank: rank}
	if has != table.version {
		share.List = table.messageFrom(c.incarnation, has, c.now())
	}
	return share, table.version
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
