// Package wire reads and writes the simulator's wire in the module's words. It decides
// nothing.
package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Event codes.
const (
	Born           = 10
	Sync           = 20
	Order          = 30
	Flowing        = 40
	OutcomeOf      = 50
	TimedOutClient = 60
	Reminder       = 70
	Health         = 80
	NoteFrom       = 90
	Down           = 100
	Sum            = 110
	Register       = 120
)

// MaxBatch is the longest batch accepted, in bytes.
const MaxBatch = 1 << 29

const entrySize = 23

// Event is one record of a batch. Which fields count depends on Code.
type Event struct {
	Code     byte
	Instance uint16
	Seed     uint64
	Settings []byte
	Table    uint32
	Kind     byte
	Entries  []policy.ServerInfo
	Request  policy.Request
	Outcome  policy.Outcome
	Tag      uint64
	From     int
	Message  []byte
}

// Batch is what arrives at one moment.
type Batch struct {
	Now    policy.Time
	Events []Event
}

// ReadBatch reads one batch. It gives io.EOF only where the input ends between batches.
func ReadBatch(in io.Reader) (*Batch, error) {
	var head [8]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		if err == io.EOF {
			return nil, err
		}
		return nil, fmt.Errorf("truncated batch header: %w", err)
	}
	count, size := binary.BigEndian.Uint32(head[:]), binary.BigEndian.Uint32(head[4:])
	if size < 8 || size > MaxBatch {
		return nil, fmt.Errorf("impossible batch length %d", size)
	}
	var body bytes.Buffer // grows with what really arrives, not with what the header claims
	if n, err := io.CopyN(&body, in, int64(size)); err != nil {
		return nil, fmt.Errorf("truncated batch: %d of %d bytes", n, size)
	}
	return parse(body.Bytes(), count)
}

func parse(data []byte, count uint32) (*Batch, error) {
	c := &cursor{data: data}
	b := &Batch{Now: c.time()}
	for i := uint32(0); i < count; i++ {
		e, err := c.event()
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
		if c.short {
			return nil, fmt.Errorf("record %d: code %d runs past the batch", i, e.Code)
		}
		b.Events = append(b.Events, e)
	}
	if len(c.data) > 0 {
		return nil, fmt.Errorf("%d bytes left after the last record", len(c.data))
	}
	return b, nil
}

type cursor struct {
	data  []byte
	short bool
}

func (c *cursor) take(n int) []byte {
	if n > len(c.data) || n < 0 {
		c.short, c.data = true, nil
		if n > 8 || n < 0 {
			return nil
		}
		return make([]byte, n)
	}
	out := c.data[:n]
	c.data = c.data[n:]
	return out
}

func (c *cursor) u8() byte     { return c.take(1)[0] }
func (c *cursor) u16() uint16  { return binary.BigEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32  { return binary.BigEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64  { return binary.BigEndian.Uint64(c.take(8)) }
func (c *cursor) f32() float64 { return float64(math.Float32frombits(c.u32())) }

func (c *cursor) time() time.Duration {
	return time.Duration(min(c.u64(), math.MaxInt64))
}

// number is a float that stands for a small count.
func (c *cursor) number() int {
	if x := c.f32(); x >= 0 && x < 1<<20 {
		return int(x)
	}
	return 0
}

func (c *cursor) server() policy.ServerID {
	return policy.ServerID(c.u32())<<16 | policy.ServerID(c.u16())
}

func (c *cursor) report() []float32 {
	n := int(c.u8())
	if n == 0 || n*4 > len(c.data) {
		c.take(n * 4)
		return nil
	}
	out := make([]float32, n)
	for i := range out {
		out[i] = float32(c.f32())
	}
	return out
}

func (c *cursor) event() (Event, error) {
	e := Event{Code: c.u8()}
	if e.Code == Register {
		e.Table = c.u32()
		n := c.u32()
		if uint64(n)*entrySize > uint64(len(c.data)) {
			c.short = true
			return e, nil
		}
		e.Entries = make([]policy.ServerInfo, n)
		for i := range e.Entries {
			e.Entries[i] = policy.ServerInfo{ID: c.server(), Zone: int(c.u8()), Kind: int(c.u8()),
				Cell: int(c.u16()), State: policy.ServerState(c.u8()), Weight: c.f32(), StartedAt: c.time()}
		}
		return e, nil
	}
	e.Instance = c.u16()
	switch e.Code {
	case Born:
		e.Seed = c.u64()
		e.Settings = c.take(int(c.u32()))
	case Sync:
		e.Kind = c.u8()
		c.u64()
		e.Table = c.u32()
	case Order:
		e.Request = policy.Request{ID: policy.RequestID(c.u64()), Class: int(c.u16()), Plan: int(c.u32()),
			Customer: policy.CustomerID(c.u64()), Deadline: c.time(), Units: c.f32(),
			SetSize: c.number(), FirstGateway: c.number()}
		e.Request.ClientRetry = c.u8()&2 != 0
	case Flowing:
		e.Outcome = policy.Outcome{ID: policy.RequestID(c.u64()), Attempt: int(c.u8()), Server: c.server(),
			Elapsed: c.time()}
	case OutcomeOf:
		e.Outcome = policy.Outcome{ID: policy.RequestID(c.u64()), Elapsed: c.time()}
		c.u16()
		e.Outcome.Server = c.server()
		e.Outcome.Answered = c.u8() != 0
		e.Outcome.Attempt = int(c.u8())
		e.Outcome.Ending = policy.Ending(c.u8())
		e.Outcome.Units = float64(c.u16())
		e.Outcome.LoadReport = c.report()
	case TimedOutClient, Reminder:
		e.Tag = c.u64()
	case Health:
		e.Outcome.Ending = policy.Ending(c.u8())
		e.Outcome.Elapsed = c.time()
		e.Outcome.Server = c.server()
		e.Outcome.LoadReport = c.report()
	case NoteFrom:
		e.From = int(c.u16())
		e.Message = c.take(int(c.u16()))
	case Down:
	case Sum:
		c.take(8)
		c.take(8)
		c.take(5)
	default:
		return e, fmt.Errorf("unknown code %d", e.Code)
	}
	return e, nil
}

// Actions collects the reply to a batch.
type Actions struct{ buf []byte }

// Frame gives the reply with its header and starts the next.
func (a *Actions) Frame() []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(len(a.buf)))
	out = append(out, a.buf...)
	a.buf = a.buf[:0]
	return out
}

func (a *Actions) head(code byte, instance uint16) {
	a.buf = append(a.buf, code)
	a.buf = binary.BigEndian.AppendUint16(a.buf, instance)
}

func (a *Actions) u64(x uint64) { a.buf = binary.BigEndian.AppendUint64(a.buf, x) }

func (a *Actions) text(p []byte) {
	p = p[:min(len(p), math.MaxUint16)]
	a.buf = binary.BigEndian.AppendUint16(a.buf, uint16(len(p)))
	a.buf = append(a.buf, p...)
}

// Host writes one instance's actions.
type Host struct {
	Out      *Actions
	Instance uint16
}

// Send writes PLACE.
func (h Host) Send(id policy.RequestID, to policy.ServerID, until policy.Time) {
	h.Out.head(10, h.Instance)
	h.Out.u64(uint64(id))
	h.Out.buf = binary.BigEndian.AppendUint32(h.Out.buf, uint32(to>>16))
	h.Out.buf = binary.BigEndian.AppendUint16(h.Out.buf, uint16(to))
	h.Out.u64(uint64(max(until, 0)))
}

// Refuse writes PUSH_BACK.
func (h Host) Refuse(id policy.RequestID, wait time.Duration) {
	h.Out.head(20, h.Instance)
	h.Out.u64(uint64(id))
	h.Out.u64(uint64(max(wait, 0)))
}

// Fail writes REPORT_FAILURE.
func (h Host) Fail(id policy.RequestID) {
	h.Out.head(30, h.Instance)
	h.Out.u64(uint64(id))
}

// Cancel writes REVOKE.
func (h Host) Cancel(id policy.RequestID, attempt int) {
	h.Out.head(40, h.Instance)
	h.Out.u64(uint64(id))
	h.Out.buf = append(h.Out.buf, byte(attempt))
}

// Timer writes SCHEDULE.
func (h Host) Timer(tag uint64, after time.Duration) {
	h.Out.head(50, h.Instance)
	h.Out.u64(tag)
	h.Out.u64(uint64(max(after, 0)))
}

// Tell writes SHARE.
func (h Host) Tell(peer int, message []byte) {
	h.Out.head(80, h.Instance)
	h.Out.buf = binary.BigEndian.AppendUint32(h.Out.buf, uint32(int32(peer)))
	h.Out.text(message)
}

// Log writes JOURNAL_LINE.
func (h Host) Log(text string) {
	h.Out.head(90, h.Instance)
	h.Out.text([]byte(text))
}

// Watch writes TRACK.
func (h Host) Watch() {
	h.Out.head(110, h.Instance)
	h.Out.buf = append(h.Out.buf, 1)
}
