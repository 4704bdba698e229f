package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
)

// Gateway is the process that may be followed by another. Its methods are called one after another.
type Process interface {
	// Offer gives the open sockets under their names, as files of their own that are closed afterwards.
	Offer() (Offer, []*os.File, error)
	// Freeze stops accepting and reading datagrams, and gives the state.
	Freeze() []byte
	// Given tells that the successor serves.
	HandedOver()
	// Resume takes all back: the successor has failed, or died before this process was told to end.
	Resume()
}

// Giver waits for a successor.
type Predecessor struct {
	socketPath string
	name       string
	process    Process

	mu          sync.Mutex
	listener    *net.UnixListener
	connected   bool  // with a successor
	successor   *conn // the successor that serves
	closed      bool
	connections sync.WaitGroup
}

// Give listens at path, in the place of whoever listened there before.
func Listen(path, name string, gateway Process) (*Predecessor, error) {
	g := &Predecessor{socketPath: path, name: name, process: gateway}
	return g, g.listen()
}

// stand listens at the path from now on.
func (g *Predecessor) listen() error {
	made := fmt.Sprintf("%s.%d", g.socketPath, os.Getpid())
	os.Remove(made) // of a process that was killed while it made one
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: made, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // a successor's stands there by then
	if err = errors.Join(os.Chmod(made, 0o700), os.Rename(made, g.socketPath)); err != nil {
		l.Close()
		os.Remove(made)
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener != nil {
		g.listener.Close()
	}
	if g.listener = l; g.closed {
		return l.Close()
	}
	g.connections.Go(func() { g.acceptLoop(l) })
	return nil
}

// Close ends all meetings. What has been given stays given.
func (g *Predecessor) Close() {
	g.mu.Lock()
	g.closed = true
	if g.successor != nil {
		g.successor.Close()
	}
	if g.listener != nil {
		g.listener.Close()
	}
	g.mu.Unlock()
	g.connections.Wait()
}

func (g *Predecessor) acceptLoop(l *net.UnixListener) {
	for {
		c, err := l.AcceptUnix()
		if err != nil {
			return
		}
		g.connections.Go(func() { g.handOver(conn{c}) })
	}
}

// Tell sends the successor word; without one it does nothing.
func (g *Predecessor) SendUpdate(content []byte) {
	g.mu.Lock()
	l := g.successor
	g.mu.Unlock()
	if l != nil && l.writeFrame(frameUpdate, content) != nil {
		l.Close()
	}
}

// enter keeps a successor, one at a time.
func (g *Predecessor) admit() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.connected || g.closed {
		return false
	}
	g.connected = true
	return true
}

func (g *Predecessor) release() {
	g.mu.Lock()
	g.connected, g.successor = false, nil
	g.mu.Unlock()
}

// meet hands over to one successor, and stays until it or this process ends.
func (g *Predecessor) handOver(l conn) {
	defer l.Close()
	if !sameUser(l.UnixConn) {
		slog.Warn("handover", "step", "turned_away", "err", "another user's process")
		return
	}
	var hi hello
	if content, err := l.expect(frameHello, replyTimeout); err != nil || decode(content, &hi) != nil || hi.Version != Version || hi.Name != g.name {
		slog.Warn("handover", "step", "turned_away", "err", err, "version", hi.Version, "name", hi.Name)
		return
	}
	if !g.admit() {
		l.writeFrame(frameBusy, nil)
		return
	}
	defer g.release()
	what, files, err := g.process.Offer()
	if err == nil {
		content, _ := json.Marshal(what)
		err = l.writeFrame(frameOffer, content, files...)
		closeAll(files)
	}
	if err == nil {
		_, err = l.expect(frameTake, takeTimeout)
	}
	if err != nil {
		slog.Warn("handover", "step", "offer", "err", err)
		return
	}
	if err = l.writeState(g.process.Freeze()); err == nil {
		_, err = l.expect(frameDone, replyTimeout)
	}
	g.mu.Lock()
	closed := g.closed
	if err == nil && !closed {
		g.successor = &l
	}
	g.mu.Unlock()
	if err != nil || closed {
		slog.Warn("handover", "step", "state", "err", err)
		g.process.Resume()
		return
	}
	g.process.HandedOver()
	l.writeFrame(frameServe, nil)
	slog.Info("handover", "step", "given")
	l.expect(frameUpdate, 0) // nothing more comes: it ends with one of the two processes
	g.mu.Lock()
	closed = g.closed
	g.mu.Unlock()
	if !closed { // the successor's socket stands in the place of this one's
		err := g.listen()
		g.process.Resume()
		slog.Warn("handover", "step", "taken_back", "err", err)
	}
}
