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
	predecessorTimeout = 2 * time.Second
	// portWait is how long an address that somebody else has is waited for.
	bindTimeout = 10 * time.Second
	// wordEvery is how often a predecessor tells what it still holds.
	updateInterval = 25 * time.Millisecond
	// mostLate bounds what is sent on between two words, which have to fit in a frame.
	maxQueuedSends = 4096
	// carriedShare is the part of the memory limit, as a divisor, that the carried state of customers may take.
	stateMemoryDivisor = 64
)

// meet finds the process that this one follows, nil where there is none or it can't be talked to. Without operators'
// calls or a folder that both processes have there are no upgrades.
func (g *gateway) connectPredecessor(cfg *config.Config, getenv func(string) string) *handover.Successor {
	dir := getenv("TMPDIR")
	if cfg.Control == "" || dir == "" {
		return nil
	}
	var err error
	if g.handoverPath, err = handover.Path(dir, cfg.Name); err != nil {
		slog.Error("handover", "step", "off", "err", err)
		return nil
	}
	heir, err := handover.Connect(g.handoverPath, cfg.Name, predecessorTimeout)
	if err != nil && !errors.Is(err, handover.ErrNoPredecessor) {
		slog.Warn("handover", "step", "alone", "err", err)
	}
	if heir != nil && heir.Offer.DrainRequested {
		g.phase.Drain(time.Now())
	}
	return heir
}

// link opens the peers' socket, or takes it over; it is silent then until the predecessor has stopped.
func (g *gateway) openPeerLink(cfg *config.Config, heir *handover.Successor) (*peer.Link, error) {
	if conn := heir.PacketConn(cfg.PeerListen.String()); conn != nil {
		link := peer.NewLink(conn, cfg.Peers, cfg.PeerBroadcast)
		link.Pause()
		return link, nil
	}
	conf := net.ListenConfig{}
	if g.handoverPath != "" {
		conf.Control = front.SetReusePort
	}
	conn, err := retryAddressInUse(func() (net.PacketConn, error) {
		return conf.ListenPacket(context.Background(), "udp", cfg.PeerListen.String())
	})
	if err != nil {
		return nil, err
	}
	return peer.NewLink(conn.(*net.UDPConn), cfg.Peers, cfg.PeerBroadcast), nil
}

// retry waits for an address that a process which can't hand over still has.
func retryAddressInUse[T any](open func() (T, error)) (T, error) {
	for until := time.Now().Add(bindTimeout); ; time.Sleep(50 * time.Millisecond) {
		x, err := open()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return x, err
		}
	}
}

// state is what goes over beside the sockets.
type handoverState struct {
	List     discovery.State `json:"list"`
	Module   []byte          `json:"module"`
	Checks   []byte          `json:"checks,omitempty"` // the module's of the introspection front
	InFlight uint16          `json:"in_flight"`
}

// words is what a predecessor tells once it has handed over.
type handoverUpdate struct {
	Usage handover.Usage `json:"use"`
	Sent  []core.Sent    `json:"sent,omitempty"`
}

// inherit takes over from the predecessor: what waits in the ports' queues meanwhile is this process's. It tells whether
// the list came over too. A state that doesn't come whole is left: this process begins like after a restart.
func (g *gateway) takeOver(heir *handover.Successor) (list bool) {
	if heir == nil {
		return false
	}
	g.setOtherUsage(&heir.Offer.Usage)
	carried, err := heir.ReceiveState()
	var s handoverState
	if err == nil {
		if err = json.Unmarshal(carried, &s); err == nil {
			err = g.core.ImportState(s.Module)
		}
		if err == nil {
			err = g.membership.ImportState(s.List)
			list = err == nil
		}
		g.checkerState = s.Checks
		g.loadExchangeSeq = s.InFlight
		if done := heir.Confirm(); err == nil {
			err = done
		}
	}
	for _, s := range g.fronts {
		s.Resume()
	}
	if g.peerLink != nil {
		g.peerLink.Resume()
	}
	slog.Info("handover", "step", "taken", "drained", heir.Offer.DrainRequested, "bytes", len(carried), "err", err)
	go func() {
		heir.ReceiveUpdates(func(content []byte) {
			var w handoverUpdate
			if err := json.Unmarshal(content, &w); err != nil {
				slog.Warn("handover", "step", "word", "err", err)
				return
			}
			g.setOtherUsage(&w.Usage)
			g.core.SentElsewhere(w.Sent)
		})
		g.setOtherUsage(nil)
		slog.Info("handover", "step", "alone")
	}()
	return list
}

// clients counts the connections of clients.
func (g *gateway) clientConns() (n int) {
	for _, s := range g.fronts {
		n += s.OpenConnections()
	}
	return n
}

// give lets a successor find this process.
func (g *gateway) listenForSuccessor() {
	if g.handoverPath == "" {
		return
	}
	giver, err := handover.Listen(g.handoverPath, g.cfg.Name, &handoverProcess{gateway: g})
	if err != nil {
		slog.Error("handover", "step", "off", "err", err)
		return
	}
	g.predecessor = giver
	g.closers = append(g.closers, giver.Close)
}

// predecessor is this process as one that hands over.
type handoverProcess struct {
	*gateway
	stopUpdates chan struct{} // ends the telling; nil: nothing is told

	sentMu sync.Mutex // taken under the core's
	sent   []core.Sent
}

// use is what this process has of the limits, and what it may still need: a client that it holds may ask once more.
func (p *handoverProcess) usage() handover.Usage {
	p.mu.Lock()
	most := p.cfg.ServerConns / 2 // the rest is the other's, however many clients stay
	p.mu.Unlock()
	clients := p.clientConns()
	return handover.Usage{ClientConns: clients, ServerConns: max(p.servers.Stats().Open, min(clients, most))}
}

func (p *handoverProcess) Offer() (offer handover.Offer, files []*os.File, err error) {
	offer.DrainRequested, offer.Usage = p.phase.DrainRequested(), p.usage()
	add := func(name string, open func() (*os.File, error)) {
		f, failed := open()
		if err = errors.Join(err, failed); failed == nil {
			offer.Files, files = append(offer.Files, name), append(files, f)
		}
	}
	for _, s := range p.fronts {
		add(handover.ListenerName(s.Addr()), s.File)
	}
	if p.peerLink != nil {
		add(handover.PacketConnName(p.peerLink.Addr().String()), p.peerLink.File)
	}
	return offer, files, err
}

func (p *handoverProcess) Freeze() []byte {
	for _, s := range p.fronts {
		s.Pause()
	}
	if p.peerLink != nil {
		p.peerLink.Pause()
	}
	var all handoverState
	p.mu.Lock()
	most := int(p.cfg.MemoryBytes / stateMemoryDivisor)
	p.mu.Unlock()
	all.Module = p.core.ExportState(most, p.queueSent)
	all.List = p.membership.ExportState() // after the module: it may know more members by then, but each by its number
	if p.checker != nil {
		all.Checks = p.checker.ExportState(most)
	}
	if p.loadExchange != nil {
		all.InFlight = p.loadExchange.Seq()
	}
	carried, _ := json.Marshal(all)
	return carried
}

// note keeps what this process still sends on, for the next word.
func (p *handoverProcess) queueSent(s core.Sent) {
	p.sentMu.Lock()
	defer p.sentMu.Unlock()
	if len(p.sent) < maxQueuedSends {
		p.sent = append(p.sent, s)
	}
}

func (p *handoverProcess) nextUpdate() []byte {
	p.sentMu.Lock()
	sent := p.sent
	p.sent = nil
	p.sentMu.Unlock()
	content, _ := json.Marshal(handoverUpdate{Usage: p.usage(), Sent: sent})
	return content
}

func (p *handoverProcess) HandedOver() {
	p.phase.HandOver(time.Now())
	use := p.usage() // from now on it only gets less: the rest is the other's
	p.mu.Lock()
	p.otherUsage = &handover.Usage{ClientConns: p.cfg.ClientConns - use.ClientConns, ServerConns: p.cfg.ServerConns - use.ServerConns}
	p.stopUpdates = make(chan struct{})
	go p.sendUpdates(p.stopUpdates)
	p.mu.Unlock()
	p.applyLimits()
}

func (p *handoverProcess) sendUpdates(stop chan struct{}) {
	debug.FreeOSMemory()
	tick := time.NewTicker(updateInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			p.predecessor.SendUpdate(p.nextUpdate())
		}
	}
}

func (p *handoverProcess) Resume() {
	p.mu.Lock()
	if p.stopUpdates != nil {
		close(p.stopUpdates)
		p.stopUpdates = nil
	}
	p.mu.Unlock()
	p.core.StopExport()
	p.nextUpdate()
	p.phase.TakeBack()
	p.setOtherUsage(nil)
	for _, s := range p.fronts {
		s.Resume()
	}
	if p.peerLink != nil {
		p.peerLink.Resume()
	}
}
