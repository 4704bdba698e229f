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
type Heir struct {
	Offer Offer
	link  link
	files map[string]*os.File
}

// Meet asks whoever listens at path for what it has. ErrNobody: there is none, or what stands there is a leftover.
func Meet(path, name string, within time.Duration) (*Heir, error) {
	for until := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		h, err := meet(path, name)
		if !errors.Is(err, ErrBusy) || time.Now().After(until) {
			return h, err
		}
	}
}

func meet(path, name string) (*Heir, error) {
	info, err := os.Lstat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, ErrNobody
	}
	if err != nil {
		return nil, err
	}
	if s, ok := info.Sys().(*syscall.Stat_t); !ok || info.Mode()&os.ModeSocket == 0 || int(s.Uid) != os.Geteuid() {
		return nil, fmt.Errorf("%s: not a socket of this user", path)
	}
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNobody
	}
	if err != nil {
		return nil, err
	}
	h := &Heir{link: link{c}, files: map[string]*os.File{}}
	if err = h.greet(name); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

func (h *Heir) greet(name string) error {
	if !trusted(h.link.UnixConn) {
		return errors.New("another user's process")
	}
	content, _ := json.Marshal(greeting{Version, name})
	if err := h.link.send(hello, content); err != nil {
		return err
	}
	k, content, files, err := h.link.receive(replyWait)
	if err == nil && k == busy {
		err = ErrBusy
	} else if err == nil && k != offer {
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
func PacketName(addr string) string { return "udp " + addr }

// Listener gives the listener at an address, nil where there is none.
func (h *Heir) Listener(addr string) net.Listener {
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
func (h *Heir) Packet(addr string) *net.UDPConn {
	f := h.file(PacketName(addr))
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

func (h *Heir) file(name string) *os.File {
	if h == nil {
		return nil
	}
	return h.files[name]
}

// Take makes the predecessor stop, and gives its state. Where that didn't come whole there is none, and the sockets are
// this process's all the same.
func (h *Heir) Take() ([]byte, error) {
	if err := h.link.send(take, nil); err != nil {
		return nil, err
	}
	return h.link.receiveState()
}

// Done tells the predecessor that this process serves from now on.
func (h *Heir) Done() error {
	if err := h.link.send(done, nil); err != nil {
		return err
	}
	_, err := h.link.want(yours, replyWait)
	return err
}

// Words hands in what the predecessor still tells, until it has ended.
func (h *Heir) Words(take func(content []byte)) {
	for {
		content, err := h.link.want(word, 0)
		if err != nil {
			return
		}
		take(content)
	}
}

// Close ends the meeting. Sockets that were asked for stay open.
func (h *Heir) Close() {
	if h == nil {
		return
	}
	h.link.Close()
	for _, f := range h.files {
		f.Close()
	}
}
