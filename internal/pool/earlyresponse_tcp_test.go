package pool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/policy"
)

// Over TCP a response that arrived before a reset can still be read after it: the kernel reports the reset to
// the write, and returns the earlier input to the next read. The tests with memorynet rely on this.
func TestEarlyResponseBeforeResetOverTCP(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
				io.WriteString(c, okResponse)
			}
			c.Close() // with unread input, so that the kernel resets
		}
	}()
	p := New(Options{MaxConnections: 9, IdleTimeout: testIdleTimeout, ConnectTimeout: time.Second})
	defer p.Close()
	p.Set(1, l.Addr().String(), policy.Ready)
	body := newRequest(8 << 20) // more than the socket buffers hold
	for range 10 {
		body.Deadline = time.Now().Add(2 * time.Second)
		x, end := p.Send(context.Background(), body)
		require.NotNil(t, x, "%v", end)
		resp, err := x.ReadHead(time.Now().Add(time.Second))
		if assert.NoError(t, err) {
			text, err := io.ReadAll(x)
			assert.NoError(t, err)
			assert.Equal(t, "ok", string(text))
			assert.Equal(t, http.StatusOK, resp.StatusCode)
		}
		x.Close()
	}
	assert.Equal(t, 0, p.Stats().Open)
}
