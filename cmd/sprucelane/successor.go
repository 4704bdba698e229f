package main

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/discovery"
	"sprucelane.example/sprucelane/internal/daemon/handover"
	"sprucelane.example/sprucelane/internal/daemon/peer"
	"sprucelane.example/sprucelane/internal/front"
)

const (
	// predecessorTimeout is how long a successor waits while the predecessor hands over to another process.
	predecessorTimeout = 2 * time.Second
	// bindTimeout is how long a successor retries an address that is in use, every bindInterval.
	bindTimeout  = 10 * time.Second
	bindInterval = 50 * time.Millisecond
)

// handoverState is the state that a process hands over in addition to its sockets. Its JSON encoding is exchanged
// between different versions of the program.
type handoverState struct {
	List     discovery.State `json:"list"`
	Module   []byte          `json:"module"`           // core.Core.ExportState
	Checks   []byte          `json:"checks,omitempty"` // introspect.Checker.ExportState
	InFlight uint16          `json:"in_flight"`        // inflight.Exchange.Seq
}

// handoverUpdate is a report that a predecessor sends repeatedly from the handover until it exits.
type handoverUpdate struct {
	Usage handover.Usage `json:"use"`
	Sent  []core.Sent    `json:"sent,omitempty"` // requests sent to servers since the last update
}

// connectPredecessor connects to the predecessor of this process. It returns nil if there is none or if the connection
// fails; this process then starts without a predecessor. Upgrades need the control address, through which operators
// direct them, and a folder that both processes share.
func (g *gateway) connectPredecessor(sharedDir string) *handover.Successor {
	if g.start.Control == "" || sharedDir == "" {
		return nil
	}
	var err error
	if g.handoverPath, err = handover.Path(sharedDir, g.start.Name); err != nil {
		slog.Error("handover", "step", "off", "err", err)
		return nil
	}
	asSuccessor, err := handover.Connect(g.handoverPath, g.start.Name, predecessorTimeout)
	if err != nil && !errors.Is(err, handover.ErrNoPredecessor) {
		slog.Warn("handover", "step", "alone", "err", err)
	}
	if asSuccessor != nil && asSuccessor.Offer.DrainRequested {
		g.phase.Drain(time.Now())
	}
	return asSuccessor
}

// openPeerLink opens the socket for datagrams of peers, or uses the predecessor's. A link on the predecessor's socket
// is paused until the predecessor has stopped (takeOver).
func (g *gateway) openPeerLink(asSuccessor *handover.Successor) error {
	addr := g.start.PeerListen.String()
	if conn := asSuccessor.PacketConn(addr); conn != nil {
		g.peerLink = peer.NewLink(conn, g.start.Peers, g.start.PeerBroadcast)
		g.peerLink.Pause()
		return nil
	}
	conf := net.ListenConfig{}
	if g.handoverPath != "" {
		conf.Control = front.SetReusePort
	}
	conn, err := retryAddressInUse(func() (net.PacketConn, error) {
		return conf.ListenPacket(context.Background(), "udp", addr)
	})
	if err != nil {
		return err
	}
	g.peerLink = peer.NewLink(conn.(*net.UDPConn), g.start.Peers, g.start.PeerBroadcast)
	return nil
}

// retryAddressInUse opens a socket. While the address is in use, by a process that can't hand over, it retries for up
// to bindTimeout.
func retryAddressInUse[T any](open func() (T, error)) (T, error) {
	for until := time.Now().Add(bindTimeout); ; time.Sleep(bindInterval) {
		socket, err := open()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return socket, err
		}
	}
}

// takeOver makes the predecessor stop, imports its state and serves in its place. Connections and datagrams that arrive
// meanwhile wait in the queues of the sockets, and this process handles them. takeOver reports whether the server list
// was handed over, too. Without a complete and valid state this process starts as after a restart, but still uses the
// predecessor's sockets.
func (g *gateway) takeOver(asSuccessor *handover.Successor) (list bool) {
	if asSuccessor == nil {
		return false
	}
	g.setOtherUsage(&asSuccessor.Offer.Usage)
	encoded, err := asSuccessor.ReceiveState()
	if err == nil {
		list, err = g.importState(encoded)
		if confirmErr := asSuccessor.Confirm(); err == nil {
			err = confirmErr
		}
	}
	for _, s := range g.fronts {
		s.Resume()
	}
	if g.peerLink != nil {
		g.peerLink.Resume()
	}
	slog.Info("handover", "step", "taken", "drained", asSuccessor.Offer.DrainRequested, "bytes", len(encoded), "err", err)
	go g.receiveUpdates(asSuccessor)
	return list
}

// importState imports a predecessor's state, and reports whether that includes the server list. The parts before an
// invalid one are imported.
func (g *gateway) importState(encoded []byte) (list bool, err error) {
	var state handoverState
	if err = json.Unmarshal(encoded, &state); err == nil {
		err = g.core.ImportState(state.Module)
	}
	if err == nil {
		err = g.membership.ImportState(state.List)
		list = err == nil
	}
	g.checkerState = state.Checks
	g.loadExchangeSeq = state.InFlight
	return list, err
}

// receiveUpdates applies the updates that the predecessor sends until it exits.
func (g *gateway) receiveUpdates(asSuccessor *handover.Successor) {
	asSuccessor.ReceiveUpdates(func(encoded []byte) {
		var update handoverUpdate
		if err := json.Unmarshal(encoded, &update); err != nil {
			slog.Warn("handover", "step", "word", "err", err)
			return
		}
		g.setOtherUsage(&update.Usage)
		g.core.SentElsewhere(update.Sent)
	})
	g.setOtherUsage(nil)
	slog.Info("handover", "step", "alone")
}
