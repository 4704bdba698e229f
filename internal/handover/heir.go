package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// Heir is a successor's side of a meeting.
type Successor struct {
	Offer Offer
	conn  conn
	files map[string]*os.File
}

// Meet asks whoever listens at path for what it has. ErrNobody: there is none, or what stands there is a leftover.
func Connect(path, name string, within time.Duration) (*Successor, error) {
	for until := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		h, err := connect(path, name)
		if !errors.Is(err, ErrBusy) || time.Now().After(until) {
			return h, err
		}
	}
}

func connect(path, name string) (*Successor, error) {
	info, err := os.Lstat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, ErrNoPredecessor
	}
	if err != nil {
		return nil, err
	}
	if s, ok := info.Sys().(*syscall.Stat_t); !ok || info.Mode()&os.ModeSocket == 0 || int(s.Uid) != os.Geteuid() {
		return nil, fmt.Errorf("%s: not a socket of this user", path)
	}
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNoPredecessor
	}
	if err != nil {
		return nil, err
	}
	h := &Successor{conn: conn{c}, files: map[string]*os.File{}}
	if err = h.handshake(name); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

func (h *Successor) handshake(name string) error {
	if !sameUser(h.conn.UnixConn) {
		return errors.New("another user's process")
	}
	content, _ := json.Marshal(hello{Version, name})
	if err := h.conn.writeFrame(frameHello, content); err != nil {
		return err
	}
	k, content, files, err := h.conn.readFrame(replyTimeout)
	if err == nil && k == frameBusy {
		err = ErrBusy
	} else if err == nil && k != frameOffer {
		err = fmt.Errorf("a frame of kind %d, no offer", k)
	}
	if err == nil {
		err = decode(content, &h.Offer)
	}
	if err == nil && len(files) != len(h.Offer.Files) {
		err = fmt.Errorf("%d files under %d names", len(files), len(h.Offer.Files))
	}
	if err != nil {
		closeAll(files)
		return err
	}
	for i, name := range h.Offer.Files {
		h.files[name] = files[i]
	}
	return nil
}

// ListenerName names the listener that is open at an address.
func ListenerName(addr string) string { return "tcp " + addr }

// PacketName names the packet connection that is open at an address.
func PacketConnName(addr string) string { return "udp " + addr }

// Listener gives the listener at an address, nil where there is none.
func (h *Successor) Listener(addr string) net.Listener {
	f := h.file(ListenerName(addr))
	if f == nil {
		return nil
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil
	}
	if l.Addr().String() != addr {
		l.Close()
		return nil
	}
	return l
}

// Packet gives the datagram socket at an address, nil where there is none.
func (h *Successor) PacketConn(addr string) *net.UDPConn {
	f := h.file(PacketConnName(addr))
	if f == nil {
		return nil
	}
	c, err := net.FilePacketConn(f)
	if err != nil {
		return nil
	}
	if u, ok := c.(*net.UDPConn); ok && c.LocalAddr().String() == addr {
		return u
	}
	c.Close()
	return nil
}

func (h *Successor) file(name string) *os.File {
	if h == nil {
		return nil
	}
	return h.files[name]
}

// Take makes the predecessor stop, and gives its state. Where that didn't come whole there is none, and the sockets are
// this process's all the same.
func (h *Successor) ReceiveState() ([]byte, error) {
	if err := h.conn.writeFrame(frameTake, nil); err != nil {
		return nil, err
	}
	return h.conn.readState()
}

// Done tells the predecessor that this process serves from now on.
func (h *Successor) Confirm() error {
	if err := h.conn.writeFrame(frameDone, nil); err != nil {
		return err
	}
	_, err := h.conn.expect(frameServe, replyTimeout)
	return err
}

// Words hands in what the predecessor still tells, until it has ended.
func (h *Successor) ReceiveUpdates(take func(content []byte)) {
	for {
		content, err := h.conn.expect(frameUpdate, 0)
		if err != nil {
			return
		}
		take(content)
	}
}

// Close ends the meeting. Sockets that were asked for stay open.
func (h *Successor) Close() {
	if h == nil {
		return
	}
	h.conn.Close()
	for _, f := range h.files {
		f.Close()
	}
}
