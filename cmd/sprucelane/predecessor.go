package main

import (
	"encoding/json"
	"errors"
	"log/slog"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/handover"
)

const (
	// updateInterval is the time between a predecessor's updates, and so about how long the successor's limits and
	// quotas may lag behind the predecessor's usage.
	updateInterval = 25 * time.Millisecond
	// maxQueuedSends bounds the requests that are reported in one update, which has to fit in a frame. Requests
	// beyond it are not reported.
	maxQueuedSends = 4096
	// stateMemoryDivisor is the divisor of the memory limit that gives the maximum size of an exported state.
	stateMemoryDivisor = 64
)

// listenForSuccessor opens the socket at which a successor connects to this process.
func (g *gateway) listenForSuccessor() {
	if g.handoverPath == "" {
		return
	}
	asPredecessor, err := handover.Listen(g.handoverPath, g.start.Name, &handoverProcess{gateway: g})
	if err != nil {
		slog.Error("handover", "step", "off", "err", err)
		return
	}
	g.asPredecessor = asPredecessor
	g.closers = append(g.closers, asPredecessor.Close)
}

// handoverProcess implements [handover.Process] for this process as a predecessor.
type handoverProcess struct {
	*gateway
	stopUpdates chan struct{} // closed to stop sendUpdates; nil: not running; guarded by gateway.mu

	sentMu sync.Mutex  // locked while the core's mutex is held, never the other way round
	sent   []core.Sent // queue for the next update; at most maxQueuedSends
}

// usage returns what this process uses of the limits. A client connection may bring another request, so each counts
// as a connection to a server, too, but for no more than half of the limit, which leaves the successor the other half.
func (p *handoverProcess) usage() handover.Usage {
	p.mu.Lock()
	maxReserved := p.cfg.ServerConns / 2
	p.mu.Unlock()
	clients := p.clientConns()
	return handover.Usage{ClientConns: clients, ServerConns: max(p.pool.Stats().Open, min(clients, maxReserved))}
}

// Offer implements [handover.Process].
func (p *handoverProcess) Offer() (offer handover.Offer, files []*os.File, err error) {
	offer.DrainRequested, offer.Usage = p.phase.DrainRequested(), p.usage()
	add := func(name string, open func() (*os.File, error)) {
		f, openErr := open()
		if err = errors.Join(err, openErr); openErr == nil {
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

// Freeze implements [handover.Process].
func (p *handoverProcess) Freeze() []byte {
	for _, s := range p.fronts {
		s.Pause()
	}
	if p.peerLink != nil {
		p.peerLink.Pause()
	}
	p.mu.Lock()
	maxBytes := int(p.cfg.MemoryBytes / stateMemoryDivisor)
	p.mu.Unlock()
	var state handoverState
	state.Module = p.core.ExportState(maxBytes, p.queueSent)
	// Server IDs are never reused, so the list may be newer than the core's state, but must not be older.
	state.List = p.membership.ExportState()
	if p.checker != nil {
		state.Checks = p.checker.ExportState(maxBytes)
	}
	if p.loadExchange != nil {
		state.InFlight = p.loadExchange.Seq()
	}
	encoded, _ := json.Marshal(state) // cannot fail: plain values only
	return encoded
}

// queueSent queues a request that this process has sent to a server for the next update. The caller holds the core's
// mutex.
func (p *handoverProcess) queueSent(s core.Sent) {
	p.sentMu.Lock()
	defer p.sentMu.Unlock()
	if len(p.sent) < maxQueuedSends {
		p.sent = append(p.sent, s)
	}
}

// nextUpdate returns the next update, encoded, and empties the queue of sent requests.
func (p *handoverProcess) nextUpdate() []byte {
	p.sentMu.Lock()
	sent := p.sent
	p.sent = nil
	p.sentMu.Unlock()
	encoded, _ := json.Marshal(handoverUpdate{Usage: p.usage(), Sent: sent})
	return encoded
}

// HandedOver implements [handover.Process]. This process accepts no new connections or datagrams, so its usage
// only falls. From now on the successor may use the rest of the limits.
func (p *handoverProcess) HandedOver() {
	p.phase.HandOver(time.Now())
	usage := p.usage()
	p.mu.Lock()
	p.otherUsage = &handover.Usage{ClientConns: p.cfg.ClientConns - usage.ClientConns,
		ServerConns: p.cfg.ServerConns - usage.ServerConns}
	p.stopUpdates = make(chan struct{})
	go p.sendUpdates(p.stopUpdates)
	p.mu.Unlock()
	p.applyLimits()
}

// sendUpdates sends an update every updateInterval until stop is closed.
func (p *handoverProcess) sendUpdates(stop chan struct{}) {
	debug.FreeOSMemory() // both processes share one memory limit, and this one needs little memory from now on
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			p.asPredecessor.SendUpdate(p.nextUpdate())
		}
	}
}

// Resume implements [handover.Process]: this process serves again, with the full limits.
func (p *handoverProcess) Resume() {
	p.mu.Lock()
	if p.stopUpdates != nil {
		close(p.stopUpdates)
		p.stopUpdates = nil
	}
	p.mu.Unlock()
	p.core.StopExport()
	p.nextUpdate() // drops the queue: there is no successor to report to
	p.phase.TakeBack()
	p.setOtherUsage(nil)
	for _, s := range p.fronts {
		s.Resume()
	}
	if p.peerLink != nil {
		p.peerLink.Resume()
	}
}
