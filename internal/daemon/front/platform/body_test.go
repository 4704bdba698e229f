package platform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/fake"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/pool"
)

// startServer starts a gateway behind the HTTP server that the program uses.
func startServer(t *testing.T, members ...*fake.Peer) (string, *core.Core, *buffers.Budget) {
	f := newFront(t, members...)
	f.BodyMemory = buffers.New(1 << 20)
	s, err := front.Listen(front.Options{Address: "127.0.0.1:0", MaxConnections: 50,
		MaxRequestDeadline: f.Settings.Get().MaxDeadline()}, f)
	require.NoError(t, err)
	go s.Serve()
	t.Cleanup(s.Close)
	return s.Addr(), f.Core, f.BodyMemory
}

// testClient is a client's connection.
type testClient struct {
	net.Conn
	in *bufio.Reader
	t  *testing.T
}

func dial(t *testing.T, addr string) testClient {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(time.Minute))
	return testClient{c, bufio.NewReader(c), t}
}

func (c testClient) write(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

func (c testClient) readResponse() (int, string, error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func requestHead(id int, header string) string {
	return strings.Replace(head, "Id: 7", fmt.Sprintf("Id: %d", id), 1) + header + "\r\n"
}

func chunked(pieces ...string) (text string) {
	for _, p := range pieces {
		if p != "" {
			text += fmt.Sprintf("%x;x=\"y\"\r\n%s\r\n", len(p), p)
		}
	}
	return text + "0\r\nX-Trailer: 1\r\n\r\n"
}

// A body reaches the server unchanged, short or long, with a length or in chunks, split anywhere and after Expect;
// requests may be pipelined.
func TestBodyEncodings(t *testing.T) {
	m := fake.New(t, fake.OK("done"))
	addr, c, bodies := startServer(t, m)
	client, id, served := dial(t, addr), 100, 0
	for _, size := range []int{1, 5000, pool.MaxBufferedBody, pool.MaxBufferedBody + 1, 300 << 10, 3 << 20} {
		body := strings.Repeat("0123456789abcdef!", size/17+1)[:size]
		for name, text := range map[string]string{
			"length":          fmt.Sprintf("Content-Length: %d\r\n", size),
			"expected":        fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n", size),
			"chunks":          "Transfer-Encoding: chunked\r\n",
			"expected chunks": "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n",
		} {
			id += 2
			whole := requestHead(id, text) + body
			if strings.Contains(name, "chunks") {
				whole = requestHead(id, text) + chunked(body[:size/3], body[size/3:])
			}
			if strings.Contains(name, "expected") {
				at := strings.Index(whole, "\r\n\r\n") + 4
				client.write(whole[:at])
				resp, err := http.ReadResponse(client.in, nil)
				require.NoError(t, err)
				assert.Equal(t, http.StatusContinue, resp.StatusCode)
				whole = whole[at:]
			}
			cut := min(len(whole), 70000+size%977)
			client.write(whole[:cut])
			client.write(whole[cut:] + requestHead(id+1, "Content-Length: 1\r\n") + "x") // a second request, pipelined
			for _, want := range []string{body, "x"} {
				code, answer, err := client.readResponse()
				require.NoError(t, err, "%s of %d", name, size)
				assert.Equal(t, 200, code, "%s of %d", name, size)
				assert.Equal(t, "done", answer)
				seen := m.Seen()[served] // the pipelined request may have arrived too
				require.True(t, want == seen.Text, "%s of %d: the member saw %d bytes", name, size, len(seen.Text))
				served++
			}
		}
	}
	assert.Contains(t, c.Counters().String(), "open=0")
	require.Eventually(t, func() bool { return bodies.Stats().InUse == 0 }, time.Minute, time.Millisecond)
	assert.LessOrEqual(t, bodies.Stats().Peak, int64(pool.MaxBufferedBody))
}

// A rejection is sent at once, while the body is still arriving, and a client that finishes sending before it reads
// the answer still receives it.
func TestEarlyRejection(t *testing.T) {
	m := fake.New(t, fake.OK("done"))
	addr, _, _ := startServer(t, m)
	tiny := func(text string) string { return strings.Replace(text, "Tariff: utility", "Tariff: tiny", 1) }
	small := dial(t, addr)
	for id := 1; id < 9; id++ { // uses up the burst of the customer's plan
		small.write(tiny(requestHead(id, "Content-Length: 1\r\n")) + "x")
		_, _, err := small.readResponse()
		require.NoError(t, err)
	}
	c := dial(t, addr)
	c.write(tiny(requestHead(9, "Content-Length: 2000000\r\n")) + strings.Repeat("x", 100000))
	code, _, err := c.readResponse()
	require.NoError(t, err)
	assert.Equal(t, http.StatusTooManyRequests, code)
	c.write(strings.Repeat("x", 1900000))
	_, err = c.in.ReadByte()
	assert.Equal(t, io.EOF, err, "the connection ends in good order")
}

// A client that stops in the middle of a body, sends it too slowly or sends too much gets an error or its connection
// is closed soon, and no server receives its request.
func TestTruncatedBodies(t *testing.T) {
	m := fake.New(t, fake.OK("done"))
	addr, c, bodies := startServer(t, m)
	for name, text := range map[string]string{
		"too long":             requestHead(1, "Content-Length: 62914560\r\n"),
		"a length, not all":    requestHead(2, "Content-Length: 200000\r\n") + strings.Repeat("x", 100000),
		"chunks, not all":      requestHead(3, "Transfer-Encoding: chunked\r\n") + "186a0\r\n" + strings.Repeat("x", 100000),
		"chunks, not the last": requestHead(4, "Transfer-Encoding: chunked\r\n") + "5\r\nabcde\r\n",
		"no chunks":            requestHead(5, "Transfer-Encoding: chunked\r\n") + "hello there\r\n",
		"chunks and a length":  requestHead(6, "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n",
		"another encoding":     requestHead(7, "Transfer-Encoding: gzip\r\n") + "0\r\n\r\n",
	} {
		client := dial(t, addr)
		begun := time.Now()
		client.write(text)
		code, _, err := client.readResponse()
		if err == nil {
			assert.GreaterOrEqual(t, code, 400, name)
			assert.NotContains(t, []int{429, 503}, code, name)
		}
		assert.Less(t, time.Since(begun), 20*time.Second, name)
	}
	assert.Empty(t, m.Seen())
	require.Eventually(t, func() bool {
		return bodies.Stats().InUse == 0 && strings.Contains(c.Counters().String(), "open=0")
	}, time.Minute, time.Millisecond)
}

// The gateway waits for a slow body as long as it keeps to the minimum rate, far beyond the deadline in the request's
// header; the deadline runs from the body's last byte on.
func TestSlowBody(t *testing.T) {
	m := fake.New(t, fake.OK("done"))
	addr, _, _ := startServer(t, m)
	client := dial(t, addr)
	client.write(strings.Replace(requestHead(1, "Content-Length: 180000\r\n"), "Ms: 15000", "Ms: 1000", 1))
	for range 18 { // at 100 kB per second
		client.write(strings.Repeat("x", 10000))
		time.Sleep(100 * time.Millisecond)
	}
	code, body, err := client.readResponse()
	require.NoError(t, err)
	assert.Equal(t, 200, code)
	assert.Equal(t, "done", body)
	assert.Len(t, m.Seen()[0].Text, 180000)
}

// A long answer reaches the client unchanged, and its first bytes arrive before the server has sent the rest.
func TestLongAnswer(t *testing.T) {
	long := strings.Repeat("0123456789abcdef!", 200000)
	begun := make(chan bool)
	m := fake.New(t, fake.OK(long), func(_ *fake.Peer, c net.Conn, _ fake.Seen) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n")
		<-begun
		io.WriteString(c, "4\r\nrest\r\n0\r\n\r\n")
		return true
	})
	addr, _, _ := startServer(t, m)
	client := dial(t, addr)
	client.write(requestHead(1, "Content-Length: 1\r\n") + "x" + requestHead(2, "Content-Length: 1\r\n") + "x")
	code, body, err := client.readResponse()
	require.NoError(t, err)
	assert.Equal(t, 200, code)
	assert.True(t, body == long)
	resp, err := http.ReadResponse(client.in, nil)
	require.NoError(t, err)
	first := make([]byte, 5)
	_, err = io.ReadFull(resp.Body, first)
	require.NoError(t, err)
	assert.Equal(t, "begun", string(first))
	close(begun)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.Equal(t, "rest", string(rest))
}

// The client sees that a long answer was truncated, whatever its encoding.
func TestTruncatedLongAnswer(t *testing.T) {
	part := strings.Repeat("x", 100000)
	for _, text := range []string{"Content-Length: 300000\r\n\r\n" + part,
		"Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + part} {
		m := fake.New(t, func(_ *fake.Peer, c net.Conn, _ fake.Seen) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+text)
			return false
		})
		addr, _, _ := startServer(t, m)
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			client := dial(t, addr)
			client.write(strings.Replace(requestHead(1, "Content-Length: 1\r\n"), "HTTP/1.1", version, 1) + "x")
			_, body, err := client.readResponse()
			assert.Error(t, err, version)
			assert.LessOrEqual(t, len(body), len(part))
		}
	}
}
