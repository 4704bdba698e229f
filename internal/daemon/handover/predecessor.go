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

// Process is a process that a successor may replace. Its methods are not called concurrently.
type Process interface {
	// Offer returns the offer and duplicates of the open sockets' files, which the caller must close.
	Offer() (Offer, []*os.File, error)
	// Freeze stops accepting connections and reading datagrams, and returns the state.
	Freeze() []byte
	// HandedOver is called when the successor is about to serve.
	HandedOver()
	// Resume is called after Freeze if the successor has failed, or if it has exited before this process. This process
	// then serves again.
	Resume()
}

// Predecessor is the predecessor's side of a handover: it waits for a successor and hands over to it.
type Predecessor struct {
	socketPath string
	name       string // name of the gateway
	process    Process

	goroutines sync.WaitGroup

	mu        sync.Mutex // guards the fields below
	listener  *net.UnixListener
	connected bool  // a successor is admitted; at most one at a time is
	successor *conn // connection to the successor to which this process has handed over; nil: none
	closed    bool
}

// Listen starts to wait for a successor of the gateway with the given name at a path that [Path] returned. It replaces
// the socket of a process that listened there before.
func Listen(path, name string, process Process) (*Predecessor, error) {
	p := &Predecessor{socketPath: path, name: name, process: process}
	return p, p.listen()
}

// listen creates a socket at a temporary path and renames it to socketPath, so that a successor finds either the old
// socket or the new one at any time. It closes the previous listener.
func (p *Predecessor) listen() error {
	temporary := fmt.Sprintf("%s.%d", p.socketPath, os.Getpid())
	os.Remove(temporary) // may be left by a process with the same ID that was killed before the rename
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // when this listener closes, a successor's socket may be at the path
	if err = errors.Join(os.Chmod(temporary, 0o700), os.Rename(temporary, p.socketPath)); err != nil {
		l.Close()
		os.Remove(temporary)
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		p.listener.Close()
	}
	if p.listener = l; p.closed {
		return l.Close()
	}
	p.goroutines.Go(func() { p.acceptLoop(l) })
	return nil
}

// Close closes the listener and the connection to the successor, and waits until all goroutines have ended. The
// successor keeps what has been handed over to it.
func (p *Predecessor) Close() {
	p.mu.Lock()
	p.closed = true
	if p.successor != nil {
		p.successor.Close()
	}
	if p.listener != nil {
		p.listener.Close()
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}

func (p *Predecessor) acceptLoop(l *net.UnixListener) {
	for {
		c, err := l.AcceptUnix()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.handOver(conn{c}) })
	}
}

// SendUpdate sends an update to the successor. It does nothing if this process has not handed over.
func (p *Predecessor) SendUpdate(content []byte) {
	p.mu.Lock()
	c := p.successor
	p.mu.Unlock()
	if c != nil && c.writeFrame(frameUpdate, content) != nil {
		c.Close()
	}
}

// admit reports whether a connecting successor is admitted. At most one successor at a time is.
func (p *Predecessor) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connected || p.closed {
		return false
	}
	p.connected = true
	return true
}

func (p *Predecessor) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connected, p.successor = false, nil
}

// handOver hands over to one successor and returns when the handover has failed or either process ends.
func (p *Predecessor) handOver(c conn) {
	defer c.Close()
	if !sameUser(c.UnixConn) {
		slog.Warn("handover", "step", "turned_away", "err", "another user's process")
		return
	}
	var h hello
	if content, err := c.expect(frameHello, replyTimeout); err != nil || decode(content, &h) != nil ||
		h.Version != Version || h.Name != p.name {
		slog.Warn("handover", "step", "turned_away", "err", err, "version", h.Version, "name", h.Name)
		return
	}
	if !p.admit() {
		c.writeFrame(frameBusy, nil)
		return
	}
	defer p.release()
	if err := p.offer(c); err != nil {
		slog.Warn("handover", "step", "offer", "err", err)
		return
	}
	err := c.writeState(p.process.Freeze())
	if err == nil {
		_, err = c.expect(frameDone, replyTimeout)
	}
	p.mu.Lock()
	closed := p.closed
	if err == nil && !closed {
		p.successor = &c
	}
	p.mu.Unlock()
	if err != nil || closed {
		slog.Warn("handover", "step", "state", "err", err)
		p.process.Resume()
		return
	}
	p.process.HandedOver()
	c.writeFrame(frameServe, nil)
	slog.Info("handover", "step", "given")
	c.expect(frameUpdate, 0) // the successor sends no further frame, so this returns when either process ends
	p.mu.Lock()
	closed = p.closed
	p.mu.Unlock()
	if !closed {
		err := p.listen() // again, because the successor may have replaced the socket at the path
		p.process.Resume()
		slog.Warn("handover", "step", "taken_back", "err", err)
	}
}

// offer sends the offer and waits until the successor accepts it with a take frame.
func (p *Predecessor) offer(c conn) error {
	offer, files, err := p.process.Offer()
	if err != nil {
		return err
	}
	content, _ := json.Marshal(offer) // cannot fail: plain values only
	err = c.writeFrame(frameOffer, content, files...)
	closeAll(files)
	if err == nil {
		_, err = c.expect(frameTake, takeTimeout)
	}
	return err
}
