package pool

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/policy"
)

// This file owns what goes over a server-side connection: a request with its body, an answer with its own, either of which
// may pass through a small buffer where it is long. It must never write a byte of a request twice.

const (
	// MaxBody is the longest body that is kept, and the longest answer that is read whole.
	MaxBody = 64 << 10
	// MaxWhole is the longest answer where all are read whole.
	MaxWhole = 1 << 20
	// MaxLong is the longest body and answer there can be: the protocol's 32 MB, and room for what counts them otherwise.
	// An answer may claim any length and go on for ever.
	MaxLong = 40 << 20
	// Piece is the buffer through which the rest of a long body or answer passes.
	Piece = 16 << 10
	// Progress is how long one side may neither give nor take anything of a long body or answer.
	Progress = 10 * time.Second

	// heldBack is how long the beginning of an answer waits for more, where it is not known to be short: one that breaks
	// at once can be tried again only while nothing of it has gone out.
	heldBack = 100 * time.Millisecond
	// earlyWait is for what follows where all that counts is known: the body of an answer that is no good, the head of one
	// that has come before its request was whole.
	earlyWait = 100 * time.Millisecond
	maxHead   = 16 << 10 // of an answer, with what stands before it
	maxReport = 1 << 10  // of a load report
	mostSmall = 4 << 10  // of a body that goes out with its head
	sizeLine  = 6        // bytes that a chunk's head takes at most, for a piece
	lastChunk = "0\r\n\r\n"
)

// Message is what a front sends on. Header is ready lines, each with its line end.
type Message struct {
	Method, Target, Host string
	Header               []byte
	Body                 []byte    // all of it, or its beginning
	Rest                 io.Reader // what follows, which can be read once; nil: nothing
	Length               int64     // of all where there is a rest; below 0 where it is not known

	spent atomic.Bool // something of the rest has been read
}

// head writes a request's head.
func (m *Message) head(b *bytes.Buffer, left time.Duration) {
	b.WriteString(m.Method)
	b.WriteByte(' ')
	b.WriteString(m.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.Host)
	b.WriteString("\r\n" + deadlineName + ": ")
	b.Write(strconv.AppendInt(b.AvailableBuffer(), max(1, left.Milliseconds()), 10))
	b.WriteString("\r\n")
	b.Write(m.Header)
	length := int64(len(m.Body))
	if m.Rest != nil {
		length = m.Length
	}
	switch {
	case length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case length > 0 || m.Method == http.MethodPost:
		b.WriteString("Content-Length: ")
		b.Write(strconv.AppendInt(b.AvailableBuffer(), length, 10))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
}

var heads = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// begin writes the head and as much of the body as is kept, and tells whether all of that went.
func (m *Message) begin(c *conn, left time.Duration) (whole bool) {
	b := heads.Get().(*bytes.Buffer)
	defer heads.Put(b)
	b.Reset()
	m.head(b, left)
	chunks := m.Rest != nil && m.Length < 0 && len(m.Body) > 0
	if chunks {
		fmt.Fprintf(b, "%x\r\n", len(m.Body))
	}
	if len(m.Body) <= mostSmall {
		b.Write(m.Body)
		if chunks {
			b.WriteString("\r\n")
		}
		return c.writeAll(b.Bytes())
	}
	return c.writeAll(b.Bytes()) && c.writeAll(m.Body) && (!chunks || c.writeAll([]byte("\r\n")))
}

// writeAll tells whether all bytes went.
func (c *conn) writeAll(b []byte) bool {
	n, _ := c.Write(b)
	return n == len(b)
}

// exchange writes the flow's request whole and reads its answer, and tells whether the connection may be used
// again. What counts for the end is whether the last byte was written: before that nothing ran, after it, it may
// have.
func (c *conn) exchange(p *Pool, f *core.Flow) (end core.End, a core.Answer, reuse bool) {
	msg := f.Message.(*Message)
	used := c.used
	c.used = true
	left := time.Until(f.Until)
	if left <= 0 {
		return core.EndOver, a, true
	}
	if msg.spent.Load() {
		return core.EndSpent, a, true
	}
	c.SetDeadline(f.Until)
	if !msg.begin(c, left) {
		return core.EndCutShort, a, false
	}
	if msg.Rest != nil {
		if end, whole := c.pass(p, f, msg); !whole {
			return end, a, false
		}
		f.Came()
		c.SetDeadline(f.Until)
	}
	c.left = maxHead
	wrote := time.Now()
	if _, err := c.in.Peek(1); err != nil {
		if end = broken(err); end == core.EndReset && used && time.Since(wrote) < p.opt.StaleWithin {
			end = core.EndStale
		}
		return end, a, false
	}
	return c.answer(p, f, msg)
}

// pass writes the rest of a body as it comes, and tells whether all of it went. Whatever a member says before that, the
// request has not run.
func (c *conn) pass(p *Pool, f *core.Flow, msg *Message) (end core.End, whole bool) {
	const room = sizeLine + Piece + 2 + len(lastChunk) // a chunk with its head and its line end, and what ends them all
	if !p.opt.Answers.Take(int64(room), time.Now().Add(Progress)) {
		return core.EndNoMemory, false
	}
	defer p.opt.Answers.Give(int64(room))
	msg.spent.Store(true)
	f.Spent = true
	buf := make([]byte, room)
	left := int64(MaxLong) // of a body whose length is known no byte too many goes out, and its last one is the end
	if msg.Length >= 0 {
		left = msg.Length - int64(len(msg.Body))
	}
	for {
		n, err := msg.Rest.Read(buf[sizeLine : sizeLine+Piece])
		left -= int64(n)
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended || left < 0 || ended && msg.Length >= 0 && left > 0 {
			return core.EndBodyCut, false
		}
		ended = ended || msg.Length >= 0 && left == 0 // from its last byte on the member may answer
		if c.stirred() {
			if end, over := c.early(); over {
				return end, false
			}
		}
		out := buf[sizeLine : sizeLine+n]
		if msg.Length < 0 && n > 0 {
			size := fmt.Appendf(nil, "%x\r\n", n)
			out = buf[sizeLine-len(size) : sizeLine+n]
			copy(out, size)
			out = append(out, "\r\n"...)
		}
		if ended && msg.Length < 0 {
			out = append(out, lastChunk...)
		}
		c.SetDeadline(time.Now().Add(Progress))
		if !c.writeAll(out) {
			if end, over := c.early(); over {
				return end, false
			}
			return core.EndCutShort, false
		}
		if ended {
			return core.EndNone, true
		}
	}
}

// early reads what a member says, or how it ends, before a request is whole, and tells whether that is all there will be.
func (c *conn) early() (end core.End, over bool) {
	c.left = maxHead
	c.SetReadDeadline(time.Now().Add(earlyWait))
	resp, err := http.ReadResponse(c.in, nil)
	if err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		return core.EndNone, false
	}
	if err == nil && turnedAway(resp) {
		return core.EndTurnedAway, true
	}
	return core.EndCutShort, true
}

func turnedAway(resp *http.Response) bool {
	return (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(NotRun) == "1"
}

// report reads a load report. A field that is missing or no number is NaN, and one that nobody knows is passed over; nil:
// nothing is known.
func report(text string, fields map[string]int) (list []float32) {
	if text == "" || len(fields) == 0 || len(text) > maxReport {
		return nil
	}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		at, known := fields[strings.TrimSpace(name)]
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 32)
		if !known || err != nil || !(x >= 0 && x <= math.MaxFloat32) {
			continue
		}
		for len(list) <= at {
			list = append(list, float32(math.NaN()))
		}
		list[at] = float32(x)
	}
	return list
}

// units reads how much a request drew; a figure that is none counts as not told.
func units(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x > 0 && x <= math.MaxUint16) {
		return 0
	}
	return x
}

// answer reads an answer, to its end or as far as it is held back.
func (c *conn) answer(p *Pool, f *core.Flow, msg *Message) (end core.End, a core.Answer, reuse bool) {
	var resp *http.Response
	for interim := 0; ; interim++ {
		var err error
		if resp, err = http.ReadResponse(c.in, &http.Request{Method: msg.Method}); err != nil {
			return broken(err), a, false
		}
		if resp.StatusCode >= 200 {
			break
		}
		if interim == 5 || resp.StatusCode == http.StatusSwitchingProtocols {
			return core.EndReset, a, false
		}
	}
	a.Report = report(resp.Header.Get(Load), p.opt.LoadFields)
	b := &body{c: c, p: p, to: f.Server, resp: resp}
	b.in, b.ready = bodyOf(c.in, resp)
	if resp.StatusCode != http.StatusOK { // what it says is of no use, but is read for the connection's sake
		c.left += MaxBody
		c.SetReadDeadline(earliest(f.Until, time.Now().Add(earlyWait)))
		_, err := io.Copy(io.Discard, b.in)
		b.ended = err == nil
		if turnedAway(resp) {
			return core.EndTurnedAway, a, b.clean()
		}
		return core.EndErrored, a, b.clean()
	}
	a.Type, a.Length, a.Units = resp.Header.Get("Content-Type"), resp.ContentLength, units(resp.Header.Get(TrueCost))
	most := int64(MaxLong)
	if p.opt.Whole {
		most = MaxWhole
	}
	if resp.ContentLength > most {
		return core.EndReset, a, false
	}
	hold := int64(Piece)
	if p.opt.Whole {
		hold = most
	} else if resp.ContentLength >= 0 && resp.ContentLength <= MaxBody {
		hold = resp.ContentLength
	}
	c.left += 8 * most // chunks have heads; what is in them is counted on its own
	whole, err := b.begin(hold, f.Until, !p.opt.Whole && hold != resp.ContentLength)
	if err != nil {
		b.free()
		return broken(err), a, false
	}
	a.Body, a.Free = b.held, b.free
	if whole {
		return core.EndServed, a, b.clean()
	}
	a.Rest = b
	return core.EndServed, a, false
}

func broken(err error) core.End {
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return core.EndTimedOut
	}
	return core.EndReset
}

// body is an answer's body on its way. Once its beginning has gone out it owns its connection.
type body struct {
	c     *conn
	p     *Pool
	to    policy.ServerID
	resp  *http.Response
	in    io.Reader
	ready func() bool // a read gives something at once
	held  []byte
	drawn int64 // from the budget
	n     int64 // bytes that followed the beginning
	ended bool
}

var errTooLong = errors.New("too long")

// begin reads the beginning: all, where it is no longer than hold; else until so much is there, or nothing more has come
// for a moment where back says that it is held back no longer. It tells whether that is all.
func (b *body) begin(hold int64, until time.Time, back bool) (whole bool, err error) {
	for size := min(hold, Piece); ; size = min(2*size, hold) { // what is claimed need not come
		if more := size - b.drawn; more > 0 {
			if !b.p.opt.Answers.Take(more, until) {
				return false, os.ErrDeadlineExceeded
			}
			b.drawn += more
		}
		grown := make([]byte, len(b.held), max(size, 1))
		copy(grown, b.held)
		b.held = grown
		whole, err = b.fill(until, back)
		if whole || err != nil {
			return whole, err
		}
		if len(b.held) < cap(b.held) {
			return false, nil // held back long enough
		}
		if size == hold {
			return b.atEnd(hold)
		}
	}
}

// atEnd tells whether a body that fills what was meant for it ends there.
func (b *body) atEnd(hold int64) (bool, error) {
	if b.resp.ContentLength == hold || hold == 0 {
		b.ended = true
		return true, nil
	}
	if b.p.opt.Whole {
		return false, errTooLong
	}
	return false, nil
}

// fill reads until what is held is full, or the body ends, or for so long as it is held back.
func (b *body) fill(until time.Time, back bool) (whole bool, err error) {
	first := time.Now().Add(heldBack)
	for len(b.held) < cap(b.held) {
		if back && len(b.held) > 0 && !b.ready() {
			b.c.SetReadDeadline(earliest(first, until))
			_, err := b.c.in.Peek(b.c.in.Buffered() + 1)
			if err != nil && broken(err) == core.EndTimedOut && time.Now().Before(until) {
				return false, nil
			}
			b.c.SetReadDeadline(until)
			if err == nil {
				continue
			}
		}
		n, err := b.in.Read(b.held[len(b.held):cap(b.held)])
		b.held = b.held[:len(b.held)+n]
		if errors.Is(err, io.EOF) {
			b.ended = true
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// Read gives what follows the beginning.
func (b *body) Read(piece []byte) (int, error) {
	b.c.SetReadDeadline(time.Now().Add(Progress))
	n, err := b.in.Read(piece)
	if b.n += int64(n); b.n > MaxLong {
		return n, errTooLong
	}
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

// Close gives the connection back where the answer has come whole, and ends it where it hasn't.
func (b *body) Close() error {
	if b.c == nil {
		return nil
	}
	if b.clean() {
		b.p.put(b.to, b.c)
	} else {
		b.p.drop(b.c)
	}
	b.c = nil
	return nil
}

// clean tells whether another flow may use the connection: the body has ended and brought nothing more.
func (b *body) clean() bool { return b.ended && !b.resp.Close && b.c.in.Buffered() == 0 }

func (b *body) free() {
	b.p.opt.Answers.Give(b.drawn)
	b.drawn = 0
}
