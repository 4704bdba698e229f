package memorynet

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const latency = time.Millisecond

// connected returns the two ends of a connection.
func connected(t *testing.T, window int) (near, far *Conn) {
	n := &Network{Window: func() int { return window }, Latency: func() time.Duration { return latency }}
	l := n.Listen("there")
	accepted := make(chan net.Conn)
	go func() {
		c, err := l.Accept()
		assert.NoError(t, err)
		accepted <- c
	}()
	c, err := n.Dial(context.Background(), "there")
	require.NoError(t, err)
	return c.(*Conn), (<-accepted).(*Conn)
}

// TestBytesArrive: what is written arrives in order, after the latency, through a window that is far smaller.
func TestBytesArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := connected(t, 7)
		text := bytes.Repeat([]byte("0123456789"), 50)
		began := time.Now()
		go func() {
			n, err := near.Write(text)
			assert.NoError(t, err)
			assert.Equal(t, len(text), n)
			assert.NoError(t, near.Close())
		}()
		got, err := io.ReadAll(far)
		assert.NoError(t, err)
		assert.Equal(t, text, got)
		assert.GreaterOrEqual(t, time.Since(began), time.Duration(len(text)/7)*latency)
	})
}

// TestEnds: what arrived before a reset can be read; closing over unread bytes resets, and so do bytes that
// arrive at a closed end.
func TestEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := connected(t, 100)
		write(t, far, "last")
		far.Reset(false)
		time.Sleep(2 * latency)
		anything, end := near.Arrived()
		assert.True(t, anything)
		assert.NoError(t, end)
		got, err := io.ReadAll(near)
		assert.Equal(t, "last", string(got))
		assert.ErrorIs(t, err, syscall.ECONNRESET)

		near, far = connected(t, 100)
		write(t, far, "lost")
		far.Reset(true)
		time.Sleep(2 * latency)
		_, end = near.Arrived()
		assert.ErrorIs(t, end, syscall.ECONNRESET)

		near, far = connected(t, 100)
		write(t, near, "nobody reads it")
		time.Sleep(2 * latency)
		assert.NoError(t, far.Close())
		_, err = near.Read(make([]byte, 1))
		assert.ErrorIs(t, err, syscall.ECONNRESET)

		near, far = connected(t, 100)
		assert.NoError(t, far.Close())
		write(t, near, "too late")
		time.Sleep(3 * latency)
		_, err = near.Write([]byte("x"))
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	})
}

func TestDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, _ := connected(t, 3)
		began := time.Now()
		assert.NoError(t, near.SetDeadline(began.Add(time.Second)))
		_, err := near.Read(make([]byte, 1))
		assert.True(t, errors.Is(err, os.ErrDeadlineExceeded))
		assert.Equal(t, time.Second, time.Since(began))
		assert.NoError(t, near.SetWriteDeadline(began.Add(2*time.Second)))
		n, err := near.Write([]byte("beyond the window"))
		assert.Equal(t, 3, n)
		assert.True(t, errors.Is(err, os.ErrDeadlineExceeded))
		assert.Equal(t, 2*time.Second, time.Since(began))
	})
}

func write(t *testing.T, c *Conn, text string) {
	_, err := io.WriteString(c, text)
	assert.NoError(t, err)
}
