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

// Successor is the successor's side of a connection to a predecessor. The methods Listener, PacketConn and Close may be
// called on a nil *Successor, which has no sockets.
type Successor struct {
	// Offer is the predecessor's offer.
	Offer Offer

	conn  conn
	files map[string]*os.File // by their names in Offer.Files
}

// busyRetryInterval is the time between attempts to connect to a busy predecessor.
const busyRetryInterval = 20 * time.Millisecond

// Connect connects to the predecessor of the gateway with the given name that listens at path, and receives its offer.
// While the predecessor is busy, Connect tries again until the timeout and then returns [ErrBusy]. It returns
// [ErrNoPredecessor] if no process listens at path.
func Connect(path, name string, timeout time.Duration) (*Successor, error) {
	for until := time.Now().Add(timeout); ; time.Sleep(busyRetryInterval) {
		s, err := connect(path, name)
		if !errors.Is(err, ErrBusy) || time.Now().After(until) {
			return s, err
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
	if stat, ok := info.Sys().(*syscall.Stat_t); !ok || info.Mode()&os.ModeSocket == 0 || int(stat.Uid) != os.Geteuid() {
		return nil, fmt.Errorf("handover: %s: not a socket of this user", path)
	}
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if errors.Is(err, syscall.ECONNREFUSED) { // the socket file was left by a process that was killed
		return nil, ErrNoPredecessor
	}
	if err != nil {
		return nil, err
	}
	s := &Successor{conn: conn{c}, files: map[string]*os.File{}}
	if err = s.handshake(name); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// handshake sends the hello frame and receives the offer.
func (s *Successor) handshake(name string) error {
	if !sameUser(s.conn.UnixConn) {
		return errors.New("handover: the predecessor is a process of another user")
	}
	content, _ := json.Marshal(hello{Version, name}) // cannot fail: plain values only
	if err := s.conn.writeFrame(frameHello, content); err != nil {
		return err
	}
	f, err := s.conn.readFrame(replyTimeout)
	if err == nil && f.kind == frameBusy {
		err = ErrBusy
	} else if err == nil && f.kind != frameOffer {
		err = fmt.Errorf("handover: received a frame of kind %d, want an offer or busy", f.kind)
	}
	if err == nil {
		err = decode(f.content, &s.Offer)
	}
	if err == nil && len(f.files) != len(s.Offer.Files) {
		err = fmt.Errorf("handover: the offer has %d descriptors for %d names", len(f.files), len(s.Offer.Files))
	}
	if err != nil {
		closeAll(f.files)
		return err
	}
	for i, name := range s.Offer.Files {
		s.files[name] = f.files[i]
	}
	return nil
}

// Listener returns the predecessor's listener at an address, or nil if there is none.
func (s *Successor) Listener(addr string) net.Listener {
	f := s.file(ListenerName(addr))
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

// PacketConn returns the predecessor's datagram socket at an address, or nil if there is none.
func (s *Successor) PacketConn(addr string) *net.UDPConn {
	f := s.file(PacketConnName(addr))
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

func (s *Successor) file(name string) *os.File {
	if s == nil {
		return nil
	}
	return s.files[name]
}

// ReceiveState makes the predecessor stop accepting connections and datagrams and returns its state. If it returns an
// error, there is no state, but this process still owns the sockets that it received.
func (s *Successor) ReceiveState() ([]byte, error) {
	if err := s.conn.writeFrame(frameTake, nil); err != nil {
		return nil, err
	}
	return s.conn.readState()
}

// Confirm notifies the predecessor that this process is about to serve, and waits for its confirmation.
func (s *Successor) Confirm() error {
	if err := s.conn.writeFrame(frameDone, nil); err != nil {
		return err
	}
	_, err := s.conn.expect(frameServe, replyTimeout)
	return err
}

// ReceiveUpdates calls handle for each update of the predecessor. It returns when the predecessor has exited or the
// connection fails.
func (s *Successor) ReceiveUpdates(handle func(content []byte)) {
	for {
		content, err := s.conn.expect(frameUpdate, 0)
		if err != nil {
			return
		}
		handle(content)
	}
}

// Close closes the connection and the files of the offer. Sockets that Listener and PacketConn have returned stay open.
func (s *Successor) Close() {
	if s == nil {
		return
	}
	s.conn.Close()
	for _, f := range s.files {
		f.Close()
	}
}
