package pool

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/fake/memorynet"
	"sprucelane.example/sprucelane/policy"
)

const (
	testWindow      = 4 << 10 // bytes
	testLatency     = time.Millisecond
	testIdleTimeout = 10 * time.Second // of an idle connection
)

// runInMemory runs a test in virtual time, with a pool that has one server, which calls serve for each
// connection.
func runInMemory(t *testing.T, serve func(*memorynet.Conn), run func(*Pool)) {
	synctest.Test(t, func(t *testing.T) {
		network := &memorynet.Network{
			Window:  func() int { return testWindow },
			Latency: func() time.Duration { return testLatency },
		}
		l := network.Listen("member")
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serve(c.(*memorynet.Conn))
			}
		}()
		p := New(Options{MaxConnections: 9, IdleTimeout: testIdleTimeout, ConnectTimeout: time.Second, Dial: network.Dial})
		p.Set(1, "member", policy.Ready)
		run(p)
		p.Close()
		l.Close()
		time.Sleep(testLatency + 1) // until the closes of connections have arrived
	})
}

// newRequest returns a request with a body of length bytes.
func newRequest(length int) *Request {
	return &Request{
		Server:   1,
		Deadline: time.Now().Add(2 * time.Second),
		Method:   http.MethodPost,
		WriteHead: func(b *bytes.Buffer) {
			fmt.Fprintf(b, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)
		},
		Body: []byte(textOf(length)),
	}
}

const okResponse = okHead + "Content-Length: 2\r\n\r\nok"

// respondAfter returns a server that writes text after it has read the head and read bytes of the body, and then
// calls a function.
func respondAfter(read int, text string, then func(c *memorynet.Conn, in *bufio.Reader)) func(*memorynet.Conn) {
	return func(c *memorynet.Conn) {
		in := bufio.NewReaderSize(c, 16)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.CopyN(io.Discard, r.Body, int64(read))
		io.WriteString(c, text)
		then(c, in)
	}
}

// A server responds before it has read a long body, and then stops reading or ends the connection. The exchange
// returns the response, no other request is written in place of the rest of the body, and the next request gets
// another connection.
func TestEarlyResponse(t *testing.T) {
	const length = 200 << 10
	for name, then := range map[string]func(*memorynet.Conn, *bufio.Reader){
		"it reads no further": func(*memorynet.Conn, *bufio.Reader) {},
		"it closes":           func(c *memorynet.Conn, _ *bufio.Reader) { c.Close() },
		"it resets":           func(c *memorynet.Conn, _ *bufio.Reader) { c.Reset(false) },
		"it reads on later": func(c *memorynet.Conn, in *bufio.Reader) {
			time.Sleep(time.Second)
			rest, _ := io.ReadAll(in)
			if strings.Contains(string(rest), "HTTP/1.1") {
				panic("another request was written in place of the rest of the body")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInMemory(t, respondAfter(1000, okResponse, then), func(p *Pool) {
				for range 2 {
					began := time.Now()
					x, end := p.Send(context.Background(), newRequest(length))
					require.NotNil(t, x, "%v", end)
					resp, err := x.ReadHead(time.Now().Add(time.Second))
					require.NoError(t, err)
					assert.Equal(t, http.StatusOK, resp.StatusCode)
					text, err := io.ReadAll(x)
					assert.NoError(t, err)
					assert.Equal(t, "ok", string(text))
					assert.Less(t, time.Since(began), 200*time.Millisecond)
					x.Close()
				}
				assert.Equal(t, Stats{Opened: 2}, p.Stats())
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// A server that responds early and reads on slowly gets the complete body, and the connection is kept.
func TestEarlyResponseWithoutStall(t *testing.T) {
	const length = 40 << 10
	var whole atomic.Int64
	member := respondAfter(1000, okResponse, func(c *memorynet.Conn, in *bufio.Reader) {
		n := 0
		for piece := make([]byte, 1024); n < length-1000; time.Sleep(bodyStallTimeout / 5) {
			read, err := in.Read(piece)
			if n += read; err != nil {
				break
			}
		}
		whole.Store(int64(n) + 1000)
	})
	runInMemory(t, member, func(p *Pool) {
		x, end := p.Send(context.Background(), newRequest(length))
		require.NotNil(t, x, "%v", end)
		_, err := x.ReadHead(time.Now().Add(time.Second))
		require.NoError(t, err)
		_, err = io.ReadAll(x)
		assert.NoError(t, err)
		x.Close()
		time.Sleep(time.Second)
		assert.EqualValues(t, length, whole.Load())
		assert.Equal(t, 1, p.Stats().Idle)
	})
}

// If a connection is reset within the body, without a response, the request may have been executed, because the
// server has the head. If it is reset within the head, the request was not executed.
func TestResetAtEveryRequestByte(t *testing.T) {
	const length = 3 * testWindow
	head := 0
	var b bytes.Buffer
	newRequest(length).WriteHead(&b)
	head = b.Len()
	for _, cut := range []int{0, 1, head - 1, head, head + 1, head + length/2, head + length - 1} {
		runInMemory(t, func(c *memorynet.Conn) {
			io.CopyN(io.Discard, c, int64(cut))
			c.Reset(false)
		}, func(p *Pool) {
			x, end := p.Send(context.Background(), newRequest(length))
			if x == nil {
				assert.Equal(t, core.EndWriteFailed, end, cut)
				assert.Less(t, cut, head)
				return
			}
			_, err := x.ReadHead(time.Now().Add(time.Second))
			assert.Error(t, err, cut)
			x.Close()
			assert.Equal(t, 0, p.Stats().Open)
		})
	}
}

// A connection that was acquired and not used keeps its idle time, since for the server it has been idle
// throughout.
func TestReleaseUnusedKeepsIdleSince(t *testing.T) {
	runInMemory(t, func(c *memorynet.Conn) {
		in := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			io.WriteString(c, okResponse)
		}
	}, func(p *Pool) {
		ask := func(check func() bool) *Exchange {
			request := newRequest(0)
			request.MaySend = check
			x, _ := p.Send(context.Background(), request)
			return x
		}
		x := ask(nil)
		_, err := x.ReadHead(time.Now().Add(time.Second))
		require.NoError(t, err)
		io.ReadAll(x)
		x.Close()
		for range 8 {
			time.Sleep(testIdleTimeout / 8)
			assert.Nil(t, ask(func() bool { return false }))
		}
		x = ask(nil)
		assert.False(t, x.reused)
		x.Close()
	})
}

// A response that belongs to another request can be skipped, and the next one be read. The connection is not
// kept.
func TestResponseAfterUnsolicitedOne(t *testing.T) {
	const pause = 300 * time.Millisecond
	runInMemory(t, func(c *memorynet.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		io.WriteString(c, okHead+"Content-Length: 0\r\n\r\n")
		time.Sleep(pause)
		io.WriteString(c, okResponse)
	}, func(p *Pool) {
		x, _ := p.Send(context.Background(), newRequest(0))
		_, err := x.ReadHead(time.Now().Add(time.Second))
		require.NoError(t, err)
		io.ReadAll(x)
		assert.True(t, TimedOut(x.Wait(time.Now().Add(pause/2))))
		assert.NoError(t, x.Wait(time.Now().Add(pause)))
		_, err = x.ReadHead(time.Now())
		require.NoError(t, err)
		text, err := io.ReadAll(x)
		assert.NoError(t, err)
		assert.Equal(t, "ok", string(text))
		x.Close()
		assert.Equal(t, 0, p.Stats().Open)
	})
}
