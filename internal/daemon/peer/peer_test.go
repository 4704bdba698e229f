package peer

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func socket(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Datagrams are sent from the local address and have at most MaxMessage bytes, and only datagrams from listed peers are
// received.
func TestOnlyListedPeersCount(t *testing.T) {
	one, oneAddr := socket(t)
	stranger, _ := socket(t)
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), []netip.AddrPort{{}, oneAddr}, oneAddr)
	require.NoError(t, err)
	to := net.UDPAddrFromAddrPort(l.Addr())
	received, ended := make(chan string, 9), make(chan bool)
	go func() {
		l.Serve(func(from int, m []byte) { received <- fmt.Sprintf("%d %s", from, m) })
		close(ended)
	}()
	for _, d := range []struct {
		from *net.UDPConn
		text []byte
	}{{stranger, []byte("spoof")}, {one, bytes.Repeat([]byte("x"), MaxMessage+1)}, {one, []byte("last")}} {
		_, err := d.from.WriteTo(d.text, to)
		require.NoError(t, err)
	}
	assert.Equal(t, "1 last", <-received)
	assert.Empty(t, received)

	l.Send(1, bytes.Repeat([]byte("y"), MaxMessage+1))
	l.Send(7, []byte("nobody"))
	l.Send(1, []byte("one"))
	l.Send(-1, []byte("all"))
	buf := make([]byte, 1000)
	for _, want := range []string{"one", "all"} {
		n, from, err := one.ReadFromUDPAddrPort(buf)
		require.NoError(t, err)
		assert.Equal(t, want, string(buf[:n]))
		assert.Equal(t, l.Addr(), from)
	}
	assert.Equal(t, Stats{Received: 1, Invalid: 2, Sent: 2, Dropped: 2}, l.Stats())
	l.Close()
	<-ended
}
