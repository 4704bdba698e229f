package handover

import (
	"bytes"
	"encoding/binary"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// process is a fake process with one listener and one datagram socket, which records the calls of its methods.
type process struct {
	l     *net.TCPListener
	u     *net.UDPConn
	state []byte
	step  chan string
}

func newProcess(t *testing.T) *process {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { l.Close(); u.Close() })
	return &process{l: l.(*net.TCPListener), u: u, state: bytes.Repeat([]byte("state"), 300000), step: make(chan string, 9)}
}

func (p *process) Offer() (Offer, []*os.File, error) {
	l, err := p.l.File()
	if err != nil {
		return Offer{}, nil, err
	}
	u, err := p.u.File()
	return Offer{Files: []string{ListenerName(p.l.Addr().String()), PacketConnName(p.u.LocalAddr().String())},
		DrainRequested: true, Usage: Usage{ClientConns: 3, ServerConns: 4}}, []*os.File{l, u}, err
}
func (p *process) Freeze() []byte { p.step <- "freeze"; return p.state }
func (p *process) HandedOver()    { p.step <- "given" }
func (p *process) Resume()        { p.step <- "resume" }

func listen(t *testing.T, p *process) (path string, g *Predecessor) {
	path, err := Path(t.TempDir(), "n0")
	require.NoError(t, err)
	g, err = Listen(path, "n0", p)
	require.NoError(t, err)
	t.Cleanup(g.Close)
	return path, g
}

// A handover transfers the open sockets, the complete state, and updates afterwards. The sockets work in both processes
// and stay non-blocking.
func TestHandOver(t *testing.T) {
	p := newProcess(t)
	path, g := listen(t, p)
	h, err := Connect(path, "n0", time.Minute)
	require.NoError(t, err)
	assert.True(t, h.Offer.DrainRequested)
	assert.Equal(t, Usage{ClientConns: 3, ServerConns: 4}, h.Offer.Usage)
	l, u := h.Listener(p.l.Addr().String()), h.PacketConn(p.u.LocalAddr().String())
	require.NotNil(t, l)
	require.NotNil(t, u)
	assert.Nil(t, h.Listener("127.0.0.1:1"), "the predecessor has no listener at this address")
	_, err = Connect(path, "n0", 0)
	assert.ErrorIs(t, err, ErrBusy, "a second successor must not be admitted")
	for _, s := range []syscall.Conn{p.l, l.(*net.TCPListener), p.u, u} {
		raw, err := s.SyscallConn()
		require.NoError(t, err)
		raw.Control(func(fd uintptr) {
			flags, _, _ := syscall.Syscall(syscall.SYS_FCNTL, fd, syscall.F_GETFL, 0)
			assert.NotZero(t, flags&syscall.O_NONBLOCK)
		})
	}
	state, err := h.ReceiveState()
	require.NoError(t, err)
	assert.True(t, bytes.Equal(p.state, state))
	require.NoError(t, h.Confirm())
	assert.Equal(t, "freeze", <-p.step)
	assert.Equal(t, "given", <-p.step)
	g.SendUpdate([]byte("one"))
	g.SendUpdate([]byte("two"))
	p.l.Close()
	p.u.Close()
	c, err := net.Dial("tcp", p.l.Addr().String())
	require.NoError(t, err, "the port must stay open after the predecessor has closed its listener")
	defer c.Close()
	_, err = l.Accept()
	require.NoError(t, err)
	g.Close()
	var heard []string
	h.ReceiveUpdates(func(content []byte) { heard = append(heard, string(content)) })
	assert.Equal(t, []string{"one", "two"}, heard)
	assert.Empty(t, p.step, "a predecessor that is closed must not resume")
	h.Close()
	l.Close()
	u.Close()
}

// If a successor exits at any step of the handover, its predecessor serves again and can hand over to another
// successor, also if the one that has exited had replaced the socket at the path.
func TestSuccessorEnds(t *testing.T) {
	p := newProcess(t)
	path, _ := listen(t, p)
	for _, c := range []struct {
		name  string
		until func(h *Successor)
		steps string
	}{
		{"after the offer", func(h *Successor) {}, ""},
		{"before the done frame", func(h *Successor) { h.ReceiveState() }, "freeze resume"},
		{"in the middle of the state", func(h *Successor) { h.conn.writeFrame(frameTake, nil); h.conn.readFrame(time.Minute) }, "freeze resume"},
		{"while it serves", func(h *Successor) { h.ReceiveState(); h.Confirm(); os.Remove(path) }, "freeze given resume"},
		{"sending another kind", func(h *Successor) { h.conn.writeFrame(frameUpdate, []byte("x")); h.conn.readFrame(time.Minute) }, ""},
	} {
		h, err := Connect(path, "n0", time.Minute)
		require.NoError(t, err, c.name)
		c.until(h)
		h.Close()
		for _, want := range strings.Fields(c.steps) {
			assert.Equal(t, want, <-p.step, c.name)
		}
	}
	assert.Empty(t, p.step)
}

// A successor can start if it can't communicate with a predecessor: there is none, its socket file was left behind,
// the path has another kind of file, or the predecessor hangs or sends invalid frames. An invalid state is discarded
// as a whole.
func TestNoPredecessor(t *testing.T) {
	dir := t.TempDir()
	path, err := Path(dir, "n0")
	require.NoError(t, err)
	_, err = Connect(path, "n0", 0)
	assert.ErrorIs(t, err, ErrNoPredecessor)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	require.NoError(t, err)
	l.SetUnlinkOnClose(false)
	l.Close()
	_, err = Connect(path, "n0", 0)
	assert.ErrorIs(t, err, ErrNoPredecessor, "a socket file left by a process that was killed is no predecessor")
	g, err := Listen(path, "n0", newProcess(t))
	require.NoError(t, err, "a leftover socket file must not prevent listening")
	_, err = Connect(path, "n1", 0)
	assert.Error(t, err, "the predecessor belongs to another gateway")
	g.Close()
	require.NoError(t, os.Remove(path))
	require.NoError(t, os.WriteFile(path, nil, 0o600))
	_, err = Connect(path, "n0", 0)
	assert.ErrorContains(t, err, "not a socket")

	p := newProcess(t)
	for name, script := range map[string]func(l conn){
		"hung":            func(l conn) { l.readFrame(time.Minute); l.readFrame(time.Minute) },
		"gone":            func(l conn) {},
		"another kind":    func(l conn) { l.writeFrame(frameUpdate, nil) },
		"no JSON":         func(l conn) { l.writeFrame(frameOffer, []byte("{")) },
		"names, no files": func(l conn) { l.writeFrame(frameOffer, []byte(`{"files":["tcp x"]}`)) },
		"too long": func(l conn) {
			l.Write(binary.BigEndian.AppendUint32(nil, maxFrameSize+1))
			l.Write([]byte{byte(frameOffer)})
		},
		"no length": func(l conn) { l.Write(make([]byte, 5)) },
	} {
		_, err := Connect(startScripted(t, script), "n0", 0)
		assert.Error(t, err, name)
		assert.NotErrorIs(t, err, ErrNoPredecessor, name)
	}
	offers := func(then func(l conn)) func(l conn) {
		return func(l conn) {
			what, files, _ := p.Offer()
			content := []byte(`{"files":["` + what.Files[0] + `","` + what.Files[1] + `"]}`)
			l.writeFrame(frameOffer, content, files...)
			closeAll(files)
			l.expect(frameTake, time.Minute)
			then(l)
		}
	}
	for name, script := range map[string]func(l conn){
		"cut": func(l conn) { l.writeFrame(frameState, []byte("half")) },
		"wrong sum": func(l conn) {
			l.writeFrame(frameState, []byte("half"))
			l.writeFrame(frameStateEnd, []byte{1, 2, 3, 4})
		},
		"odd end":   func(l conn) { l.writeFrame(frameState, []byte("half")); l.writeFrame(frameStateEnd, nil) },
		"odd frame": func(l conn) { l.writeFrame(frameState, []byte("half")); l.writeFrame(frameUpdate, nil) },
		"late":      func(l conn) { l.writeFrame(frameState, []byte("half")); l.readFrame(time.Minute) },
	} {
		h, err := Connect(startScripted(t, offers(script)), "n0", 0)
		require.NoError(t, err, name)
		all, err := h.ReceiveState()
		assert.Error(t, err, name)
		assert.Nil(t, all, name)
		assert.NotNil(t, h.Listener(p.l.Addr().String()), name+": the successor must keep the sockets")
		h.Close()
	}
}

// startScripted starts a predecessor that runs script after it has read the hello frame, and returns its path.
func startScripted(t *testing.T, script func(l conn)) string {
	path := filepath.Join(t.TempDir(), "s.sock")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.AcceptUnix()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := (conn{c}).expect(frameHello, time.Minute); err == nil {
			script(conn{c})
		}
	}()
	return path
}

func TestPath(t *testing.T) {
	for name, want := range map[string]string{"n0": "sprucelane-n0.sock", "": "sprucelane-.sock",
		"../x y": "sprucelane-.2e.2e.2fx.20y.sock"} {
		path, err := Path("/t", name)
		require.NoError(t, err)
		assert.Equal(t, "/t/"+want, path)
	}
	_, err := Path("/"+strings.Repeat("x", 90), "n0")
	assert.Error(t, err)
}

// For any input, reading a frame ends, keeps within the size limit and leaves no descriptor open.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, byte(frameOffer), '{'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		if err != nil {
			t.Skip()
		}
		file := os.NewFile(uintptr(fds[0]), "a")
		c, err := net.FileConn(file)
		file.Close()
		if err != nil {
			t.Skip()
		}
		defer c.Close()
		go func() { syscall.Write(fds[1], data); syscall.Close(fds[1]) }()
		l := conn{c.(*net.UnixConn)}
		for {
			got, err := l.readFrame(time.Minute)
			if len(got.content) > maxFrameSize || len(got.files) > 0 {
				t.Fatal(len(got.content), len(got.files))
			}
			if err != nil {
				return
			}
		}
	})
}
