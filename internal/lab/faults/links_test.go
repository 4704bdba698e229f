package faults

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const host = "127.0.0.1"

// pair opens two gateways' sockets and a mesh between them.
func pair(t *testing.T, way func(from, to int) Way) (conns [2]*net.UDPConn, mesh *Mesh, sent *atomic.Int64) {
	var addresses []string
	for i := range conns {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)})
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		conns[i], addresses = c, append(addresses, c.LocalAddr().String())
	}
	sent = &atomic.Int64{}
	mesh, err := NewMesh(host, addresses, 1, way, func() { sent.Add(1) })
	require.NoError(t, err)
	t.Cleanup(mesh.Close)
	return conns, mesh, sent
}

// tell sends a datagram from one gateway to the other, where it is told the other is.
func tell(t *testing.T, conns [2]*net.UDPConn, m *Mesh, from int, text string) {
	_, err := conns[from].WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(m.Peers(from)[1-from]))
	require.NoError(t, err)
}

// heard gives what comes within a while, and from where.
func heard(c *net.UDPConn, wait time.Duration) (texts []string, from netip.AddrPort) {
	buf := make([]byte, 512)
	for {
		c.SetReadDeadline(time.Now().Add(wait))
		n, at, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			return texts, from
		}
		texts, from = append(texts, string(buf[:n])), netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
	}
}

// A gateway hears its peer from the address at which it finds it; a stranger's datagram doesn't come through.
func TestMeshKeepsAddresses(t *testing.T) {
	conns, m, sent := pair(t, func(int, int) Way { return Way{} })
	tell(t, conns, m, 0, "hello")
	texts, from := heard(conns[1], 300*time.Millisecond)
	assert.Equal(t, []string{"hello"}, texts)
	assert.Equal(t, m.Peers(1)[0], from.String())
	stranger, err := net.Dial("udp4", m.Peers(0)[1])
	require.NoError(t, err)
	defer stranger.Close()
	stranger.Write([]byte("not yours"))
	texts, _ = heard(conns[1], 100*time.Millisecond)
	assert.Empty(t, texts)
	assert.EqualValues(t, 1, sent.Load())
}

// Cut one way, late, twice and spoilt: each way does to datagrams what it says, and the other way stays as it is.
func TestWays(t *testing.T) {
	var way atomic.Pointer[Way]
	way.Store(&Way{Lost: 1})
	conns, m, _ := pair(t, func(from, _ int) Way {
		if from == 0 {
			return *way.Load()
		}
		return Way{}
	})
	tell(t, conns, m, 0, "lost")
	tell(t, conns, m, 1, "back")
	texts, _ := heard(conns[1], 100*time.Millisecond)
	assert.Empty(t, texts)
	texts, _ = heard(conns[0], 300*time.Millisecond)
	assert.Equal(t, []string{"back"}, texts)
	way.Store(&Way{Delay: 300 * time.Millisecond})
	tell(t, conns, m, 0, "late")
	texts, _ = heard(conns[1], 100*time.Millisecond)
	assert.Empty(t, texts)
	texts, _ = heard(conns[1], time.Second)
	assert.Equal(t, []string{"late"}, texts)
	way.Store(&Way{Duplicate: 1, Corrupt: 1})
	tell(t, conns, m, 0, "twice")
	texts, _ = heard(conns[1], 300*time.Millisecond)
	require.Len(t, texts, 2)
	assert.Equal(t, texts[0], texts[1])
	assert.NotEqual(t, "twice", texts[0])
	both := Way{Lost: 0.5, Delay: 1}.and(Way{Lost: 0.5, Delay: 2, Jitter: 3})
	assert.Equal(t, Way{Lost: 0.75, Delay: 3, Jitter: 3}, both)
}

// echo answers each line of bytes with itself.
func echo(t *testing.T) net.Listener {
	l, err := net.Listen("tcp4", host+":0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	return l
}

func says(t *testing.T, c net.Conn, text string, wait time.Duration) (string, error) {
	_, err := fmt.Fprint(c, text)
	require.NoError(t, err)
	return hears(c, len(text), wait)
}

func hears(c net.Conn, n int, wait time.Duration) (string, error) {
	buf := make([]byte, n)
	c.SetReadDeadline(time.Now().Add(wait))
	_, err := io.ReadFull(c, buf)
	return string(buf), err
}

// An open relay passes on; a cut one holds what is under way and lets no new connection come up, as a machine does that has
// vanished, and gives what it held when it is back; one whose process is down resets and refuses.
func TestRelayStates(t *testing.T) {
	r, err := NewRelay(host, echo(t).Addr().String())
	require.NoError(t, err)
	defer r.Close()
	c, err := net.Dial("tcp4", r.Addr())
	require.NoError(t, err)
	defer c.Close()
	got, err := says(t, c, "open", 5*time.Second)
	require.NoError(t, err)
	assert.Equal(t, "open", got)
	require.NoError(t, r.Set(Cut))
	_, err = says(t, c, "held", 200*time.Millisecond)
	assert.ErrorContains(t, err, "timeout")
	_, err = net.DialTimeout("tcp4", r.Addr(), 200*time.Millisecond)
	assert.ErrorContains(t, err, "timeout", "new connections never come up")
	require.NoError(t, r.Set(Open))
	got, err = hears(c, 4, 5*time.Second)
	require.NoError(t, err)
	assert.Equal(t, "held", got)
	next, err := net.DialTimeout("tcp4", r.Addr(), 5*time.Second)
	require.NoError(t, err)
	defer next.Close()
	got, err = says(t, next, "anew", 5*time.Second)
	require.NoError(t, err)
	assert.Equal(t, "anew", got)
	require.NoError(t, r.Set(Down))
	_, err = hears(c, 1, 5*time.Second)
	assert.ErrorContains(t, err, "reset")
	_, err = net.Dial("tcp4", r.Addr())
	assert.ErrorContains(t, err, "refused")
	require.NoError(t, r.Set(Open))
	_, err = net.Dial("tcp4", r.Addr())
	assert.NoError(t, err)
}

// A half-closed connection stays so, and a delay holds each piece.
func TestRelayPassesOnAsItIs(t *testing.T) {
	r, err := NewRelay(host, echo(t).Addr().String())
	require.NoError(t, err)
	defer r.Close()
	r.Delay(100 * time.Millisecond)
	c, err := net.Dial("tcp4", r.Addr())
	require.NoError(t, err)
	defer c.Close()
	began := time.Now()
	fmt.Fprint(c, "the end")
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	text, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, "the end", string(text))
	assert.GreaterOrEqual(t, time.Since(began), 200*time.Millisecond)
}
