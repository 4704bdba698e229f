package pool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/fake"
	"sprucelane.example/sprucelane/policy"
)

// textOf returns a fixed pseudo-random text of n letters.
func textOf(n int) string {
	b := make([]byte, n)
	for i, x := 0, uint32(1); i < n; i++ {
		x = x*1664525 + 1013904223
		b[i] = 'a' + byte(x>>24)%26
	}
	return string(b)
}

// respond returns a reply that writes text unchanged, and then keeps the connection open if the function
// returns true.
func respond(text string, then func() bool) fake.Reply {
	return func(_ *fake.Peer, c net.Conn, _ fake.Seen) bool {
		_, err := io.WriteString(c, text)
		return then() && err == nil
	}
}

func keepOpen() bool   { return true }
func closeAfter() bool { return false }

// readAll returns the complete body of an answer.
func readAll(a core.Answer) (string, error) {
	text := string(a.Body)
	if a.Remainder == nil {
		return text, nil
	}
	rest, err := io.ReadAll(a.Remainder)
	return text + string(rest), err
}

const okHead = "HTTP/1.1 200 OK\r\n"

// encodings returns a response with this body in every form of HTTP/1.1. The second text is "closed" if the
// server closes the connection after the response.
func encodings(body string) map[string][2]string {
	half := len(body) / 2
	chunks := okHead + "transfer-encoding: Chunked\r\nTrailer: X-T\r\n\r\n" +
		hex(half) + ";a=b;c=\"d\"\r\n" + body[:half] + "\r\n000" + hex(len(body)-half) + "\r\n" +
		body[half:] + "\r\n0\r\nX-T: 1\r\n\r\n"
	length := okHead + "Content-Length:" + dec(len(body)) + "\r\n\r\n" + body
	return map[string][2]string{
		"length":      {length, ""},
		"chunks":      {chunks, ""},
		"end":         {okHead + "\r\n" + body, "closed"},
		"close":       {strings.Replace(length, "\r\n", "\r\nConnection: close\r\n", 1), "closed"},
		"1.0":         {strings.Replace(length, "1.1", "1.0", 1), "closed"},
		"1xx":         {"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + length, ""},
		"1xx, chunks": {"HTTP/1.1 102 Processing\r\n\r\n" + chunks, ""},
	}
}

func hex(n int) string { return strings.ToUpper(string(bytes.TrimSpace([]byte(itoa(n, 16))))) }
func dec(n int) string { return itoa(n, 10) }
func itoa(n, base int) string {
	const digits = "0123456789abcdef"
	if n < base {
		return digits[n : n+1]
	}
	return itoa(n/base, base) + digits[n%base:n%base+1]
}

// Responses of every form are read correctly, at whatever byte they are split into two writes.
func TestResponseEncodingsSplitAtEveryByte(t *testing.T) {
	for name, form := range encodings("crew sent") {
		text := form[0]
		var script []fake.Reply
		for cut := range text {
			script = append(script, func(_ *fake.Peer, c net.Conn, _ fake.Seen) bool {
				io.WriteString(c, text[:cut])
				if cut%8 == 1 {
					time.Sleep(time.Millisecond) // so that the rest arrives separately
				}
				io.WriteString(c, text[cut:])
				return form[1] == ""
			})
		}
		m := fake.New(t, script...)
		_, ask := newTestPool(t, 9, carry, m)
		for cut := range text {
			a := ask()
			got, err := readAll(a)
			a.Discard()
			if !assert.NoError(t, err) || !assert.Equal(t, core.Served, a.Kind, "%s cut at %d", name, cut) ||
				!assert.Equal(t, "crew sent", got, "%s cut at %d", name, cut) {
				return
			}
		}
	}
}

// Long responses of every form are read correctly through a small buffer. The connection is reused where the
// response allows it, and the memory is released.
func TestLongResponses(t *testing.T) {
	for _, size := range []int{StreamBufferSize, MaxBufferedBody, MaxBufferedBody + 1, 300 << 10, 3 << 20} {
		body := textOf(size)
		for name, form := range encodings(body) {
			m := fake.New(t, respond(form[0], func() bool { return form[1] == "" }))
			p, ask := newTestPool(t, 9, carry, m)
			p.options.ResponseMemory = buffers.New(MaxBufferedBody)
			for range 2 {
				a := ask()
				require.Equal(t, core.Served, a.Kind, "%s of %d", name, size)
				assert.LessOrEqual(t, cap(a.Body), MaxBufferedBody, name)
				known := !strings.Contains(name, "chunks") && name != "end"
				streamed := size > MaxBufferedBody || !known && size >= StreamBufferSize
				assert.Equal(t, streamed, a.Remainder != nil, "%s of %d", name, size)
				got, err := readAll(a)
				assert.NoError(t, err, name)
				assert.True(t, body == got, "%s of %d", name, size)
				a.Discard()
				a.Discard()
			}
			opened := 2
			if form[1] == "" {
				opened = 1
			}
			assert.Equal(t, opened, m.Opened(), "%s of %d", name, size)
			assert.Zero(t, p.options.ResponseMemory.Stats().InUse)
		}
	}
}

// The beginning of a long response is returned before its end has arrived. If the response may still be short,
// that is after holdBackTimeout.
func TestResponseStreamsBeforeItsEnd(t *testing.T) {
	for name, c := range map[string]struct{ text, rest string }{
		"length": {okHead + "Content-Length: 100000\r\n\r\n" + textOf(50000), textOf(100000)[50000:]},
		"chunks": {okHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n", "3\r\nfgh\r\n0\r\n\r\n"},
		"end":    {okHead + "\r\nabcde", "fgh"},
		"cut":    {okHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n1", "\r\nf\r\n0\r\n\r\n"},
	} {
		begun := make(chan bool)
		m := fake.New(t, func(_ *fake.Peer, conn net.Conn, _ fake.Seen) bool {
			io.WriteString(conn, c.text)
			<-begun
			io.WriteString(conn, c.rest)
			return false
		})
		_, ask := newTestPool(t, 9, carry, m)
		a := ask()
		close(begun)
		require.Equal(t, core.Served, a.Kind, name)
		require.NotNil(t, a.Remainder, name)
		assert.NotEmpty(t, a.Body, name)
		got, err := readAll(a)
		assert.NoError(t, err, name)
		assert.GreaterOrEqual(t, len(got), 6, name)
		a.Discard()
	}
}

// If a response breaks off before any of it was passed on, the attempt has failed; if it breaks off later, the
// reader gets an error. The connection is not reused in either case. A response that announces more than the
// maximum size is rejected, and an endless one is cut off.
func TestTruncatedResponses(t *testing.T) {
	endless := func(_ *fake.Peer, c net.Conn, _ fake.Seen) bool {
		io.WriteString(c, okHead+"Transfer-Encoding: chunked\r\n\r\n")
		piece := "8000\r\n" + textOf(0x8000) + "\r\n"
		for _, err := io.WriteString(c, piece); err == nil; _, err = io.WriteString(c, piece) {
		}
		return false
	}
	for name, c := range map[string]struct {
		reply  fake.Reply
		served bool // the beginning of the response was returned
	}{
		"at once":         {respond(okHead+"Content-Length: 300000\r\n\r\nabc", closeAfter), false},
		"at once, chunks": {respond(okHead+"Transfer-Encoding: chunked\r\n\r\n5\r\nabc", closeAfter), false},
		"noise in chunks": {respond(okHead+"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc", keepOpen), false},
		"short":           {respond(okHead+"Content-Length: 30\r\n\r\nabc", closeAfter), false},
		"3 GB":            {respond(okHead+"Content-Length: 3221225472\r\n\r\n"+textOf(9000), keepOpen), false},
		"later":           {respond(okHead+"Content-Length: 300000\r\n\r\n"+textOf(100000), closeAfter), true},
		"later, chunks":   {respond(okHead+"Transfer-Encoding: chunked\r\n\r\n20000\r\n"+textOf(100000), closeAfter), true},
		"later, noise": {respond(okHead+"Transfer-Encoding: chunked\r\n\r\n8000\r\n"+textOf(0x8000)+"no chunk\r\n",
			keepOpen), true},
		"endless":           {endless, true},
		"negative length":   {respond(okHead+"Content-Length: -3\r\n\r\nabc", keepOpen), false},
		"two lengths":       {respond(okHead+"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", keepOpen), false},
		"a length in words": {respond(okHead+"Content-Length: many\r\n\r\nabc", keepOpen), false},
	} {
		m := fake.New(t, c.reply)
		p, ask := newTestPool(t, 9, carry, m)
		p.options.ResponseMemory = buffers.New(MaxBufferedBody)
		a := ask()
		if c.served {
			require.Equal(t, core.Served, a.Kind, name)
			got, err := readAll(a)
			assert.Error(t, err, name)
			assert.LessOrEqual(t, len(got), MaxBodySize+2*MaxBufferedBody, name)
			a.Discard()
		} else {
			assert.Equal(t, core.Failed, a.Kind, name)
		}
		assert.Equal(t, 0, p.Stats().Open, name)
		assert.Zero(t, p.options.ResponseMemory.Stats().InUse, name)
	}
}

// A response without a length that is reset is truncated, whichever read gets the reset: the kernel reports a
// reset only once and end of file afterwards, which must not be taken for the end of the body.
func TestResetIsNotEOF(t *testing.T) {
	for name, text := range map[string]string{
		"head alone":  okHead + "\r\n",
		"few bytes":   okHead + "\r\nabcde",
		"many bytes":  okHead + "\r\n" + textOf(5000),
		"1.0":         "HTTP/1.0 200 OK\r\n\r\nabcde",
		"and a close": okHead + "Connection: close\r\n\r\nabcde",
	} {
		m := fake.New(t, func(_ *fake.Peer, c net.Conn, _ fake.Seen) bool {
			c.(*net.TCPConn).SetLinger(0)
			io.WriteString(c, text)
			return false // the next read gets what was written, the one after that the reset
		})
		p, ask := newTestPool(t, 9, carry, m)
		for range 20 {
			a := ask()
			if a.Kind == core.Served {
				_, err := readAll(a)
				assert.Error(t, err, name)
				a.Discard()
			}
		}
		assert.Equal(t, 0, p.Stats().Open, name)
	}
}

// A response without a length that is reset after its beginning was passed on is truncated too.
func TestResetWhileStreaming(t *testing.T) {
	begun := make(chan bool)
	m := fake.New(t, func(_ *fake.Peer, c net.Conn, _ fake.Seen) bool {
		c.(*net.TCPConn).SetLinger(0)
		io.WriteString(c, okHead+"\r\nabcde")
		<-begun
		return false
	})
	_, ask := newTestPool(t, 9, carry, m)
	a := ask()
	close(begun)
	require.Equal(t, core.Served, a.Kind)
	got, err := readAll(a)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Equal(t, "abcde", got)
	a.Discard()
}

// A connection on which bytes follow the response is not reused, whether the response was short or long.
func TestBytesAfterResponse(t *testing.T) {
	for _, size := range []int{9, 300 << 10} {
		for name, form := range encodings(textOf(size)) {
			if form[1] != "" {
				continue // its connection ends with the response
			}
			m := fake.New(t, respond(form[0]+"HTTP/1.1 200 OK\r\n", keepOpen))
			_, ask := newTestPool(t, 9, carry, m)
			for range 2 {
				a := ask()
				_, err := readAll(a)
				assert.NoError(t, err, name)
				a.Discard()
				time.Sleep(5 * time.Millisecond) // until the extra bytes have arrived
			}
			assert.Equal(t, 2, m.Opened(), "%s of %d", name, size)
		}
	}
}

// When the memory budget is used up, a further response waits instead of failing.
func TestResponsesWaitForMemory(t *testing.T) {
	m := fake.New(t, fake.OK(textOf(300<<10)))
	p, ask := newTestPool(t, 9, carry, m)
	p.options.ResponseMemory = buffers.New(StreamBufferSize)
	first := ask()
	require.NotNil(t, first.Remainder)
	second := make(chan core.Answer)
	go func() { second <- ask() }()
	select {
	case <-second:
		t.Fatal("the second response did not wait for memory")
	case <-time.After(50 * time.Millisecond):
	}
	_, err := readAll(first)
	require.NoError(t, err)
	first.Discard()
	a := <-second
	assert.Equal(t, core.Served, a.Kind)
	a.Discard()
}

// When a client leaves during a long response, the connection is closed and not reused.
func TestAbandonedResponse(t *testing.T) {
	m := fake.New(t, fake.OK(textOf(3<<20)))
	p, ask := newTestPool(t, 9, carry, m)
	a := ask()
	require.NotNil(t, a.Remainder)
	a.Discard()
	assert.Equal(t, 0, p.Stats().Open)
}

// chunkSource is a body that arrives in pieces, and may end with an error.
type chunkSource struct {
	chunks []string
	err    error
	wait   chan bool // received from before the second chunk is returned
	next   int
}

func (p *chunkSource) Read(b []byte) (int, error) {
	if p.next == len(p.chunks) {
		return 0, p.err
	}
	if p.next++; p.next == 2 && p.wait != nil {
		<-p.wait
	}
	return copy(b, p.chunks[p.next-1]), nil
}

// sendStreamed sends a request whose body begins with kept and continues with what rest returns.
func sendStreamed(p *Pool, members []*fake.Peer, class int, kept string, rest io.Reader, length int64) core.Answer {
	d := fake.Deployment()
	c, err := core.New(d.Settings, 1, core.NewClock(), p, nil)
	if err != nil {
		panic(err)
	}
	var list []policy.ServerInfo
	for i := range members {
		list = append(list, policy.ServerInfo{ID: policy.ServerID(i + 1), Weight: 1})
	}
	c.Servers(policy.ListFull, list)
	return c.Serve(context.Background(), core.Request{BodyTimeout: 20 * time.Second,
		Message: &Message{Method: "POST", Target: "/work-order", Host: "x", Body: []byte(kept), Remainder: rest,
			ContentLength: length},
		Request: policy.Request{Class: class, Units: 1, SetSize: 1, BodyPending: true, Deadline: c.Now() + 20*time.Second}})
}

// A request body that arrives in pieces is sent to the server completely, with a length or in chunks.
func TestStreamedRequestBody(t *testing.T) {
	kept, rest := textOf(MaxBufferedBody), []string{"a", "bc", textOf(StreamBufferSize), textOf(100), "x"}
	whole := kept + strings.Join(rest, "")
	for _, length := range []int64{-1, int64(len(whole))} {
		for _, begin := range []string{kept, ""} {
			m := fake.New(t, fake.OK("done"))
			p, _ := newTestPool(t, 9, carry, m)
			if length >= 0 {
				length = int64(len(begin) + len(whole) - len(kept))
			}
			a := sendStreamed(p, []*fake.Peer{m}, 1, begin, &chunkSource{chunks: rest, err: io.EOF}, length)
			assert.Equal(t, core.Served, a.Kind)
			require.Len(t, m.Seen(), 1)
			assert.True(t, begin+strings.Join(rest, "") == m.Seen()[0].Text)
			assert.Equal(t, length < 0, len(m.Seen()[0].TransferEncoding) > 0)
			assert.Equal(t, 1, p.Stats().Idle)
		}
	}
}

// lateEOFReader is a body whose io.EOF is returned some time after its last byte.
type lateEOFReader struct{ text string }

func (s *lateEOFReader) Read(b []byte) (int, error) {
	if s.text == "" {
		time.Sleep(50 * time.Millisecond)
		return 0, io.EOF
	}
	n := copy(b, s.text)
	s.text = s.text[n:]
	return n, nil
}

// A server may respond as soon as it has the last byte of a body, before the reader of the body has returned
// io.EOF. This must not be taken for an early response, which would mean that the request was not executed. A
// body that is shorter or longer than announced is not sent completely.
func TestResponseRightAfterLastByte(t *testing.T) {
	m := fake.New(t, fake.OK("done"))
	p, _ := newTestPool(t, 9, carry, m)
	rest := &lateEOFReader{textOf(3 * StreamBufferSize)}
	a := sendStreamed(p, []*fake.Peer{m}, 1, "abc", rest, int64(3+3*StreamBufferSize))
	assert.Equal(t, core.Served, a.Kind)
	assert.Equal(t, "done", string(a.Body))
	require.Len(t, m.Seen(), 1)
	for _, length := range []int64{4 + 3*StreamBufferSize, 2 + 3*StreamBufferSize} {
		a = sendStreamed(p, []*fake.Peer{m}, 1, "abc", &lateEOFReader{textOf(3 * StreamBufferSize)}, length)
		assert.Equal(t, core.Refused, a.Kind, "%d", length)
		assert.Len(t, m.Seen(), 1, "%d", length)
	}
}

// A request whose body breaks off was not executed by any server. It is not retried, and the client gets the
// answer that it may send the request again.
func TestTruncatedRequestBody(t *testing.T) {
	m := fake.New(t, fake.OK("done"))
	p, _ := newTestPool(t, 9, carry, m)
	for _, length := range []int64{-1, 1 << 20} {
		a := sendStreamed(p, []*fake.Peer{m}, 1, "abc", &chunkSource{chunks: []string{"de"}, err: errors.New("left")}, length)
		assert.Equal(t, core.Refused, a.Kind)
		assert.Empty(t, m.Seen())
		assert.Equal(t, 0, p.Stats().Open)
	}
}

// As long as reading the streamed part of a body has not started, the request may be sent to another server.
// Afterwards it can't be, although it was not executed.
func TestRetryBeforeBodyIsRead(t *testing.T) {
	dead := fake.New(t, fake.OK("done"))
	alive := fake.New(t, fake.OK("done"))
	p, _ := newTestPool(t, 9, carry, dead, alive)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l.Close()
	for range 8 { // whichever server is selected first
		p.Set(1, l.Addr().String(), policy.Ready) // refuses connections
		a := sendStreamed(p, []*fake.Peer{dead, alive}, 1, "abc", &chunkSource{chunks: []string{"de"}, err: io.EOF}, -1)
		assert.Equal(t, core.Served, a.Kind)
	}
	for _, seen := range alive.Seen() {
		assert.Equal(t, "abcde", seen.Text)
	}
	assert.Len(t, alive.Seen(), 8)
}

// startEarlyResponder starts a server that writes text once it has read after bytes, and then reads on or closes
// the connection. It returns the server's address, and a function that returns what the server has read.
func startEarlyResponder(t *testing.T, after int, text string, readsOn bool) (string, func() string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	var got []byte
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := make([]byte, 1000)
				for responded := false; ; {
					n, err := c.Read(b)
					mu.Lock()
					got = append(got, b[:n]...)
					enough := len(got) >= after
					mu.Unlock()
					if err != nil {
						return
					}
					if enough && !responded {
						responded = true
						io.WriteString(c, text)
						if !readsOn {
							return
						}
					}
					if bytes.HasSuffix(got, []byte("0\r\n\r\n")) {
						io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
					}
				}
			}()
		}
	}()
	return l.Addr().String(), func() string { mu.Lock(); defer mu.Unlock(); return string(got) }
}

// A final response before the body is complete means that the request was not executed, whatever the status.
// After an interim response the rest of the body is sent.
func TestEarlyResponseWhileStreaming(t *testing.T) {
	for name, c := range map[string]struct {
		text    string
		readsOn bool
		kind    core.AnswerKind
	}{
		"rejected":             {"HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false, core.Refused},
		"too large":            {"HTTP/1.1 413 x\r\nContent-Length: 0\r\n\r\n", false, core.Refused},
		"closes":               {"", false, core.Refused},
		"100 and 102":          {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 x\r\n\r\n", true, core.Served},
		"a response, reads on": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", true, core.Refused},
	} {
		addr, _ := startEarlyResponder(t, 300, c.text, c.readsOn)
		d := fake.Deployment()
		p := New(Options{MaxConnections: 9, IdleTimeout: d.IdleTimeout, ConnectTimeout: d.ConnectTimeout})
		t.Cleanup(p.Close)
		p.Set(1, addr, policy.Ready)
		responded := make(chan bool)
		go func() { time.Sleep(50 * time.Millisecond); close(responded) }()
		rest := &chunkSource{chunks: []string{"a", "b", "c", "d"}, err: io.EOF, wait: responded}
		a := sendStreamed(p, make([]*fake.Peer, 1), 1, textOf(1000), rest, -1)
		assert.Equal(t, c.kind, a.Kind, name)
	}
}

// limitedConn is a connection whose peer has sent input and accepts only a limited number of bytes.
type limitedConn struct {
	net.Conn
	input    io.Reader
	writable int
}

func (b *limitedConn) Read(p []byte) (int, error)      { return b.input.Read(p) }
func (b *limitedConn) SetDeadline(time.Time) error     { return nil }
func (b *limitedConn) SetReadDeadline(time.Time) error { return nil }
func (b *limitedConn) Write(p []byte) (n int, err error) {
	n = min(len(p), b.writable)
	if b.writable -= n; n < len(p) {
		err = net.ErrClosed
	}
	return n, err
}

// A request whose connection breaks at any byte of a streamed body, including the last chunk, is not reported
// as complete, also if the server has sent interim responses before.
func TestResetAtEveryStreamedByte(t *testing.T) {
	const encoded = "5\r\nabcde\r\n2\r\nfg\r\n0\r\n\r\n"
	p := New(Options{MaxConnections: 9})
	t.Cleanup(p.Close)
	for _, input := range []string{"", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 x\r\n\r\nHTTP/1.1 102 x\r\n\r\n"} {
		for writable := range len(encoded) + 1 {
			c := &conn{Conn: &limitedConn{input: strings.NewReader(input), writable: writable}, readLimit: maxHeadSize}
			c.reader = bufio.NewReader(c)
			c.reader.Peek(1) // reads the input into the buffer
			rest := &chunkSource{chunks: []string{"abcde", "fg"}, err: io.EOF}
			end, ok := c.streamRemainder(p, &core.Attempt{}, &Message{Remainder: rest, ContentLength: -1})
			if assert.Equal(t, writable == len(encoded), ok, "%q, %d", input, writable) && !ok {
				assert.Equal(t, core.EndWriteFailed, end, "%q, %d", input, writable)
			}
		}
	}
}

// FuzzResponse reads arbitrary responses. Reading must end, respect the limits, and release all memory.
func FuzzResponse(f *testing.F) {
	for _, form := range encodings("crew sent") {
		f.Add([]byte(form[0]))
	}
	for _, text := range []string{okHead + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 204 x\r\n\r\n", "HTTP/1.1 304 x\r\n\r\n", "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\n\r\n"} {
		f.Add([]byte(text))
	}
	d := fake.Deployment()
	f.Fuzz(func(t *testing.T, text []byte) {
		p := New(Options{MaxConnections: 9, IdleTimeout: d.IdleTimeout, ConnectTimeout: d.ConnectTimeout,
			ResponseMemory: buffers.New(MaxBufferedBody)})
		defer p.Close()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Skip()
		}
		defer l.Close()
		p.Set(1, l.Addr().String(), policy.Ready)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				http.ReadRequest(bufio.NewReader(c))
				c.Write(text)
				c.Close()
			}
		}()
		c, err := core.New(d.Settings, 1, core.NewClock(), p, nil)
		if err != nil {
			t.Fatal(err)
		}
		c.Servers(policy.ListFull, []policy.ServerInfo{{ID: 1, Weight: 1}})
		a := c.Serve(context.Background(), core.Request{Message: &Message{Method: "POST", Target: "/x", Host: "x"},
			Request: policy.Request{Class: 1, Units: 1, SetSize: 1, Deadline: c.Now() + 20*time.Second}})
		got, _ := readAll(a)
		a.Discard()
		if len(got) > len(text) {
			t.Fatalf("%d bytes of %d", len(got), len(text))
		}
		if n := p.options.ResponseMemory.Stats().InUse; n != 0 {
			t.Fatalf("%d bytes are still held", n)
		}
	})
}

// Load reports have their fields in any order. Missing and malformed fields have no value, and unknown ones are
// ignored.
func TestLoadReports(t *testing.T) {
	fields := map[string]int{"inflight": 0, "outstanding": 0, "latency_ms": 1}
	nan := float32(math.NaN())
	for text, want := range map[string][]float32{
		"":                                 nil,
		"util=0.61":                        nil,
		"latency_ms=38.5":                  {nan, 38.5},
		"latency_ms=38.5,inflight=7":       {7, 38.5},
		" outstanding = 7 , queue=2":       {7},
		"latency_ms=,inflight=-1":          nil,
		"latency_ms=nan,inflight=inf":      nil,
		"latency_ms=1e300,inflight=3,=,,":  {3},
		"latency_ms":                       nil,
		strings.Repeat("inflight=1,", 200): nil,
	} {
		got := parseLoadReport(text, fields)
		assert.Len(t, got, len(want), text)
		for i := range want {
			if want[i] == want[i] {
				assert.Equal(t, want[i], got[i], text)
			} else {
				assert.True(t, got[i] != got[i], text)
			}
		}
	}
	assert.Nil(t, parseLoadReport("latency_ms=38.5", nil))
}

// FuzzLoadReport parses arbitrary load reports. No value may be negative or infinite, and no index out of
// range.
func FuzzLoadReport(f *testing.F) {
	f.Add("latency_ms=38.5,inflight=7")
	f.Add("=,latency_ms=0x1p9,,inflight=1_0")
	f.Fuzz(func(t *testing.T, text string) {
		list := parseLoadReport(text, map[string]int{"inflight": 0, "latency_ms": 1})
		assert.LessOrEqual(t, len(list), 2)
		for _, x := range list {
			assert.False(t, x < 0 || math.IsInf(float64(x), 0))
		}
		assert.False(t, parseTrueCost(text) < 0 || parseTrueCost(text) > math.MaxUint16)
	})
}

// The load report is read from any response, but the cost of the request only from a successful one.
func TestLoadReportAndTrueCost(t *testing.T) {
	for code, units := range map[int]float64{200: 2.5, 500: 0} {
		m := fake.New(t, fake.Says(code, "X-Load: latency_ms=38.5\r\nX-True-Cost: 2.5\r\n", "x"))
		var got core.Answer
		_, ask := newTestPool(t, 2, func(p *Pool, f *core.Attempt) (core.End, core.Answer) {
			p.options.LoadFields = map[string]int{"latency_ms": 0}
			end, a := p.Carry(f)
			got = a
			return end, a
		}, m)
		ask()
		assert.Equal(t, []float32{38.5}, got.LoadReport)
		assert.Equal(t, units, got.Units)
	}
}
