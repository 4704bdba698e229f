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
	GatewayStarted  = 10
	ListReceived    = 20
	RequestReceived = 30
	ResponseStarted = 40
	AttemptEnded    = 50
	ClientGone      = 60
	TimerFired      = 70
	HealthChecked   = 80
	PeerMessage     = 90
	GatewayStopped  = 100
	Summary         = 110
	ListDefined     = 120
)

// MaxBatch is the longest batch accepted, in bytes.
const MaxBatchSize = 1 << 29

const listEntrySize = 23

// Event is one record of a batch. Which fields count depends on Code.
type Event struct {
	Code       byte
	Instance   uint16
	Seed       uint64
	Settings   []byte
	ListNumber uint32
	ListKind   byte
	Entries    []policy.ServerInfo
	Request    policy.Request
	Outcome    policy.Outcome
	Tag        uint64
	From       int
	Message    []byte
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
	if size < 8 || size > MaxBatchSize {
		return nil, fmt.Errorf("impossible batch length %d", size)
	}
	var body bytes.Buffer // grows with what really arrives, not with what the header claims
	if n, err := io.CopyN(&body, in, int64(size)); err != nil {
		return nil, fmt.Errorf("truncated batch: %d of %d bytes", n, size)
	}
	return parse(body.Bytes(), count)
}

func parse(data []byte, count uint32) (*Batch, error) {
	c := &decoder{data: data}
	b := &Batch{Now: c.time()}
	for i := uint32(0); i < count; i++ {
		e, err := c.event()
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
		if c.truncated {
			return nil, fmt.Errorf("record %d: code %d runs past the batch", i, e.Code)
		}
		b.Events = append(b.Events, e)
	}
	if len(c.data) > 0 {
		return nil, fmt.Errorf("%d bytes left after the last record", len(c.data))
	}
	return b, nil
}

type decoder struct {
	data      []byte
	truncated bool
}

func (c *decoder) take(n int) []byte {
	if n > len(c.data) || n < 0 {
		c.truncated, c.data = true, nil
		if n > 8 || n < 0 {
			return nil
		}
		return make([]byte, n)
	}
	out := c.data[:n]
	c.data = c.data[n:]
	return out
}

func (c *decoder) u8() byte     { return c.take(1)[0] }
func (c *decoder) u16() uint16  { return binary.BigEndian.Uint16(c.take(2)) }
func (c *decoder) u32() uint32  { return binary.BigEndian.Uint32(c.take(4)) }
func (c *decoder) u64() uint64  { return binary.BigEndian.Uint64(c.take(8)) }
func (c *decoder) f32() float64 { return float64(math.Float32frombits(c.u32())) }

func (c *decoder) time() time.Duration {
	return time.Duration(min(c.u64(), math.MaxInt64))
}

// number is a float that stands for a small count.
func (c *decoder) count() int {
	if x := c.f32(); x >= 0 && x < 1<<20 {
		return int(x)
	}
	return 0
}

func (c *decoder) serverID() policy.ServerID {
	return policy.ServerID(c.u32())<<16 | policy.ServerID(c.u16())
}

func (c *decoder) loadReport() []float32 {
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

func (c *decoder) event() (Event, error) {
	e := Event{Code: c.u8()}
	if e.Code == ListDefined {
		e.ListNumber = c.u32()
		n := c.u32()
		if uint64(n)*listEntrySize > uint64(len(c.data)) {
			c.truncated = true
			return e, nil
		}
		e.Entries = make([]policy.ServerInfo, n)
		for i := range e.Entries {
			e.Entries[i] = policy.ServerInfo{ID: c.serverID(), Zone: int(c.u8()), Kind: int(c.u8()),
				Cell: int(c.u16()), State: policy.ServerState(c.u8()), Weight: c.f32(), StartedAt: c.time()}
		}
		return e, nil
	}
	e.Instance = c.u16()
	switch e.Code {
	case GatewayStarted:
		e.Seed = c.u64()
		e.Settings = c.take(int(c.u32()))
	case ListReceived:
		e.ListKind = c.u8()
		c.u64()
		e.ListNumber = c.u32()
	case RequestReceived:
		e.Request = policy.Request{ID: policy.RequestID(c.u64()), Class: int(c.u16()), Plan: int(c.u32()),
			Customer: policy.CustomerID(c.u64()), Deadline: c.time(), Units: c.f32(),
			SetSize: c.count(), FirstGateway: c.count()}
		e.Request.ClientRetry = c.u8()&2 != 0
	case ResponseStarted:
		e.Outcome = policy.Outcome{ID: policy.RequestID(c.u64()), Attempt: int(c.u8()), Server: c.serverID(),
			Elapsed: c.time()}
	case AttemptEnded:
		e.Outcome = policy.Outcome{ID: policy.RequestID(c.u64()), Elapsed: c.time()}
		c.u16()
		e.Outcome.Server = c.serverID()
		e.Outcome.Answered = c.u8() != 0
		e.Outcome.Attempt = int(c.u8())
		e.Outcome.Ending = policy.Ending(c.u8())
		e.Outcome.Units = float64(c.u16())
		e.Outcome.LoadReport = c.loadReport()
	case ClientGone, TimerFired:
		e.Tag = c.u64()
	case HealthChecked:
		e.Outcome.Ending = policy.Ending(c.u8())
		e.Outcome.Elapsed = c.time()
		e.Outcome.Server = c.serverID()
		e.Outcome.LoadReport = c.loadReport()
	case PeerMessage:
		e.From = int(c.u16())
		e.Message = c.take(int(c.u16()))
	case GatewayStopped:
	case Summary:
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

func (a *Actions) appendHeader(code byte, instance uint16) {
	a.buf = append(a.buf, code)
	a.buf = binary.BigEndian.AppendUint16(a.buf, instance)
}

func (a *Actions) appendUint64(x uint64) { a.buf = binary.BigEndian.AppendUint64(a.buf, x) }

func (a *Actions) appendBytes(p []byte) {
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
	h.Out.appendHeader(10, h.Instance)
	h.Out.appendUint64(uint64(id))
	h.Out.buf = binary.BigEndian.AppendUint32(h.Out.buf, uint32(to>>16))
	h.Out.buf = binary.BigEndian.AppendUint16(h.Out.buf, uint16(to))
	h.Out.appendUint64(uint64(max(until, 0)))
}

// Refuse writes PUSH_BACK.
func (h Host) Refuse(id policy.RequestID, wait time.Duration) {
	h.Out.appendHeader(20, h.Instance)
	h.Out.appendUint64(uint64(id))
	h.Out.appendUint64(uint64(max(wait, 0)))
}

// Fail writes REPORT_FAILURE.
func (h Host) Fail(id policy.RequestID) {
	h.Out.appendHeader(30, h.Instance)
	h.Out.appendUint64(uint64(id))
}

// Cancel writes REVOKE.
func (h Host) Cancel(id policy.RequestID, attempt int) {
	h.Out.appendHeader(40, h.Instance)
	h.Out.appendUint64(uint64(id))
	h.Out.buf = append(h.Out.buf, byte(attempt))
}

// Timer writes SCHEDULE.
func (h Host) Timer(tag uint64, after time.Duration) {
	h.Out.appendHeader(50, h.Instance)
	h.Out.appendUint64(tag)
	h.Out.appendUint64(uint64(max(after, 0)))
}

// Tell writes SHARE.
func (h Host) Tell(peer int, message []byte) {
	h.Out.appendHeader(80, h.Instance)
	h.Out.buf = binary.BigEndian.AppendUint32(h.Out.buf, uint32(int32(peer)))
	h.Out.appendBytes(message)
}

// Log writes JOURNAL_LINE.
func (h Host) Log(text string) {
	h.Out.appendHeader(90, h.Instance)
	h.Out.appendBytes([]byte(text))
}

// Watch writes TRACK.
func (h Host) Watch() {
	h.Out.appendHeader(110, h.Instance)
	h.Out.buf = append(h.Out.buf, 1)
}
