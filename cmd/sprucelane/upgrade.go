// This file owns the wiring of an upgrade: what this process takes over from the one before it, and what it gives the one
// that follows. It must never change what either holds: internal/handover carries it, internal/service says who serves.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/config"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/discovery"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/handover"
	"sprucelane.example/sprucelane/internal/peer"
)

const (
	// meetWait is how long a successor waits for a predecessor that is busy with another.
	meetWait = 2 * time.Second
	// portWait is how long an address that somebody else has is waited for.
	portWait = 10 * time.Second
	// wordEvery is how often a predecessor tells what it still holds.
	wordEvery = 25 * time.Millisecond
	// mostLate bounds what is sent on between two words, which have to fit in a frame.
	mostLate = 4096
	// carriedShare is the part of the memory limit, as a divisor, that the carried state of customers may take.
	carriedShare = 64
)

// meet finds the process that this one follows, nil where there is none or it can't be talked to. Without operators'
// calls or a folder that both processes have there are no upgrades.
func (g *gateway) meet(cfg *config.Config, getenv func(string) string) *handover.Heir {
	dir := getenv("TMPDIR")
	if cfg.Control == "" || dir == "" {
		return nil
	}
	var err error
	if g.path, err = handover.Path(dir, cfg.Name); err != nil {
		slog.Error("handover", "step", "off", "err", err)
		return nil
	}
	heir, err := handover.Meet(g.path, cfg.Name, meetWait)
	if err != nil && !errors.Is(err, handover.ErrNobody) {
		slog.Warn("handover", "step", "alone", "err", err)
	}
	if heir != nil && heir.Offer.Drained {
		g.state.Drain(time.Now())
	}
	return heir
}

// link opens the peers' socket, or takes it over; it is silent then until the predecessor has stopped.
func (g *gateway) link(cfg *config.Config, heir *handover.Heir) (*peer.Link, error) {
	if conn := heir.Packet(cfg.PeerListen.String()); conn != nil {
		link := peer.On(conn, cfg.Peers, cfg.PeersAll)
		link.Pause()
		return link, nil
	}
	conf := net.ListenConfig{}
	if g.path != "" {
		conf.Control = front.SetReusePort
	}
	conn, err := retry(func() (net.PacketConn, error) {
		return conf.ListenPacket(context.Background(), "udp", cfg.PeerListen.String())
	})
	if err != nil {
		return nil, err
	}
	return peer.On(conn.(*net.UDPConn), cfg.Peers, cfg.PeersAll), nil
}

// retry waits for an address that a process which can't hand over still has.
func retry[T any](open func() (T, error)) (T, error) {
	for until := time.Now().Add(portWait); ; time.Sleep(50 * time.Millisecond) {
		x, err := open()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return x, err
		}
	}
}

// state is what goes over beside the sockets.
type state struct {
	List     discovery.Carried `json:"list"`
	Module   []byte            `json:"module"`
	Checks   []byte            `json:"checks,omitempty"` // the module's of the introspection front
	InFlight uint16            `json:"in_flight"`
}

// words is what a predecessor tells once it has handed over.
type words struct {
	Use  handover.Use `json:"use"`
	Sent []core.Sent  `json:"sent,omitempty"`
}

// inherit takes over from the predecessor: what waits in the ports' queues meanwhile is this process's. It tells whether
// the list came over too. A state that doesn't come whole is left: this process begins like after a restart.
func (g *gateway) inherit(heir *handover.Heir) (list bool) {
	if heir == nil {
		return false
	}
	g.beside(&heir.Offer.Use)
	carried, err := heir.Take()
	var s state
	if err == nil {
		if err = json.Unmarshal(carried, &s); err == nil {
			err = g.decisions.ImportState(s.Module)
		}
		if err == nil {
			err = g.roster.Restore(s.List)
			list = err == nil
		}
		g.checks = s.Checks
		g.seq = s.InFlight
		if done := heir.Done(); err == nil {
			err = done
		}
	}
	for _, s := range g.servers {
		s.Resume()
	}
	if g.peers != nil {
		g.peers.Resume()
	}
	slog.Info("handover", "step", "taken", "drained", heir.Offer.Drained, "bytes", len(carried), "err", err)
	go func() {
		heir.Words(func(content []byte) {
			var w words
			if err := json.Unmarshal(content, &w); err != nil {
				slog.Warn("handover", "step", "word", "err", err)
				return
			}
			g.beside(&w.Use)
			g.decisions.SentElsewhere(w.Sent)
		})
		g.beside(nil)
		slog.Info("handover", "step", "alone")
	}()
	return list
}

// clients counts the connections of clients.
func (g *gateway) clients() (n int) {
	for _, s := range g.servers {
		n += s.OpenConnections()
	}
	return n
}

// give lets a successor find this process.
func (g *gateway) give() {
	if g.path == "" {
		return
	}
	giver, err := handover.Give(g.path, g.cfg.Name, &predecessor{gateway: g})
	if err != nil {
		slog.Error("handover", "step", "off", "err", err)
		return
	}
	g.given = giver
	g.closers = append(g.closers, giver.Close)
}

// predecessor is this process as one that hands over.
type predecessor struct {
	*gateway
	stop chan struct{} // ends the telling; nil: nothing is told

	late sync.Mutex // taken under the core's
	sent []core.Sent
}

// use is what this process has of the limits, and what it may still need: a client that it holds may ask once more.
func (p *predecessor) use() handover.Use {
	p.mu.Lock()
	most := p.cfg.MemberSockets / 2 // the rest is the other's, however many clients stay
	p.mu.Unlock()
	clients := p.clients()
	return handover.Use{Clients: clients, Members: max(p.members.Stats().Open, min(clients, most))}
}

func (p *predecessor) Offer() (offer handover.Offer, files []*os.File, err error) {
	offer.Drained, offer.Use = p.state.DrainRequested(), p.use()
	add := func(name string, open func() (*os.File, error)) {
		f, failed := open()
		if err = errors.Join(err, failed); failed == nil {
			offer.Files, files = append(offer.Files, name), append(files, f)
		}
	}
	for _, s := range p.servers {
		add(handover.ListenerName(s.Addr()), s.File)
	}
	if p.peers != nil {
		add(handover.PacketName(p.peers.Addr().String()), p.peers.File)
	}
	return offer, files, err
}

func (p *predecessor) Freeze() []byte {
	for _, s := range p.servers {
		s.Pause()
	}
	if p.peers != nil {
		p.peers.Pause()
	}
	var all state
	p.mu.Lock()
	most := int(p.cfg.MemoryBytes / carriedShare)
	p.mu.Unlock()
	all.Module = p.decisions.ExportState(most, p.note)
	all.List = p.roster.Carry() // after the module: it may know more members by then, but each by its number
	if p.checker != nil {
		all.Checks = p.checker.ExportState(most)
	}
	if p.crowd != nil {
		all.InFlight = p.crowd.Seq()
	}
	carried, _ := json.Marshal(all)
	return carried
}

// note keeps what this process still sends on, for the next word.
func (p *predecessor) note(s core.Sent) {
	p.late.Lock()
	defer p.late.Unlock()
	if len(p.sent) < mostLate {
		p.sent = append(p.sent, s)
	}
}

func (p *predecessor) word() []byte {
	p.late.Lock()
	sent := p.sent
	p.sent = nil
	p.late.Unlock()
	content, _ := json.Marshal(words{Use: p.use(), Sent: sent})
	return content
}

func (p *predecessor) Given() {
	p.state.HandOver(time.Now())
	use := p.use() // from now on it only gets less: the rest is the other's
	p.mu.Lock()
	p.other = &handover.Use{Clients: p.cfg.ClientSockets - use.Clients, Members: p.cfg.MemberSockets - use.Members}
	p.stop = make(chan struct{})
	go p.tell(p.stop)
	p.mu.Unlock()
	p.share()
}

func (p *predecessor) tell(stop chan struct{}) {
	debug.FreeOSMemory()
	tick := time.NewTicker(wordEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			p.given.Tell(p.word())
		}
	}
}

func (p *predecessor) Resume() {
	p.mu.Lock()
	if p.stop != nil {
		close(p.stop)
		p.stop = nil
	}
	p.mu.Unlock()
	p.decisions.StopExport()
	p.word()
	p.state.TakeBack()
	p.beside(nil)
	for _, s := range p.servers {
		s.Resume()
	}
	if p.peers != nil {
		p.peers.Resume()
	}
}
