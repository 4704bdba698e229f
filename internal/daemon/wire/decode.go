package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// MaxBatchSize is the maximum length of a batch, in bytes.
const MaxBatchSize = 1 << 29

// listEntrySize is the size in bytes of a server in a list.
const listEntrySize = 23

// clientRetryFlag is the flag of a request that is a client's retry.
const clientRetryFlag = 2

// maxCount bounds counts that are encoded as floats.
const maxCount = 1 << 20

// ReadBatch reads one batch. It returns io.EOF only if the input ends between batches.
func ReadBatch(in io.Reader) (*Batch, error) {
	var head [8]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, err
		}
		return nil, fmt.Errorf("truncated batch header: %w", err)
	}
	count, size := binary.BigEndian.Uint32(head[:]), binary.BigEndian.Uint32(head[4:])
	if size < 8 || size > MaxBatchSize {
		return nil, fmt.Errorf("impossible batch length %d", size)
	}
	var body bytes.Buffer // grows with the data received, not with the length in the header
	if n, err := io.CopyN(&body, in, int64(size)); err != nil {
		return nil, fmt.Errorf("truncated batch: %d of %d bytes", n, size)
	}
	return parseBatch(body.Bytes(), count)
}

// parseBatch parses a batch without its header. A batch with bytes left after the last event is malformed.
func parseBatch(data []byte, count uint32) (*Batch, error) {
	d := &decoder{data: data}
	b := &Batch{Now: d.time()}
	for i := uint32(0); i < count; i++ {
		e, err := d.event()
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
		if d.truncated {
			return nil, fmt.Errorf("record %d: code %d runs past the batch", i, e.Code)
		}
		b.Events = append(b.Events, e)
	}
	if len(d.data) > 0 {
		return nil, fmt.Errorf("%d bytes left after the last record", len(d.data))
	}
	return b, nil
}

// decoder reads from the front of data. A read past the end of data sets truncated and returns zeros, or nil for more
// than 8 bytes, so that truncated need be checked only once per event.
type decoder struct {
	data      []byte
	truncated bool
}

func (d *decoder) take(n int) []byte {
	if n > len(d.data) || n < 0 {
		d.truncated, d.data = true, nil
		if n > 8 || n < 0 {
			return nil
		}
		return make([]byte, n)
	}
	out := d.data[:n]
	d.data = d.data[n:]
	return out
}

func (d *decoder) u8() byte     { return d.take(1)[0] }
func (d *decoder) u16() uint16  { return binary.BigEndian.Uint16(d.take(2)) }
func (d *decoder) u32() uint32  { return binary.BigEndian.Uint32(d.take(4)) }
func (d *decoder) u64() uint64  { return binary.BigEndian.Uint64(d.take(8)) }
func (d *decoder) f32() float64 { return float64(math.Float32frombits(d.u32())) }

func (d *decoder) time() time.Duration {
	return time.Duration(min(d.u64(), math.MaxInt64))
}

// count reads a count that is encoded as a float. It returns 0 if the value is out of range.
func (d *decoder) count() int {
	if x := d.f32(); x >= 0 && x < maxCount {
		return int(x)
	}
	return 0
}

func (d *decoder) serverID() policy.ServerID {
	return policy.ServerID(d.u32())<<16 | policy.ServerID(d.u16())
}

func (d *decoder) loadReport() []float32 {
	n := int(d.u8())
	if n == 0 || n*4 > len(d.data) {
		d.take(n * 4)
		return nil
	}
	out := make([]float32, n)
	for i := range out {
		out[i] = float32(d.f32())
	}
	return out
}

// event reads an event. It returns an error if the code is unknown.
func (d *decoder) event() (Event, error) {
	e := Event{Code: EventCode(d.u8())}
	if e.Code == ListDefined {
		e.ListNumber = d.u32()
		n := d.u32()
		if uint64(n)*listEntrySize > uint64(len(d.data)) {
			d.truncated = true
			return e, nil
		}
		e.Entries = make([]policy.ServerInfo, n)
		for i := range e.Entries {
			e.Entries[i] = policy.ServerInfo{ID: d.serverID(), Zone: int(d.u8()), Kind: int(d.u8()),
				Cell: int(d.u16()), State: policy.ServerState(d.u8()), Weight: d.f32(), StartedAt: d.time()}
		}
		return e, nil
	}
	e.Instance = d.u16()
	switch e.Code {
	case GatewayStarted:
		e.Seed = d.u64()
		e.Settings = d.take(int(d.u32()))
	case ListReceived:
		e.ListKind = d.u8()
		d.take(8) // not used
		e.ListNumber = d.u32()
	case RequestReceived:
		e.Request = policy.Request{ID: policy.RequestID(d.u64()), Class: int(d.u16()), Plan: int(d.u32()),
			Customer: policy.CustomerID(d.u64()), Deadline: d.time(), Units: d.f32(),
			SetSize: d.count(), FirstGateway: d.count()}
		e.Request.ClientRetry = d.u8()&clientRetryFlag != 0
	case ResponseStarted:
		e.Outcome = policy.Outcome{ID: policy.RequestID(d.u64()), Attempt: int(d.u8()), Server: d.serverID(),
			Elapsed: d.time()}
	case AttemptEnded:
		e.Outcome = policy.Outcome{ID: policy.RequestID(d.u64()), Elapsed: d.time()}
		d.take(2) // not used
		e.Outcome.Server = d.serverID()
		e.Outcome.Answered = d.u8() != 0
		e.Outcome.Attempt = int(d.u8())
		e.Outcome.Ending = policy.Ending(d.u8())
		e.Outcome.Units = float64(d.u16())
		e.Outcome.LoadReport = d.loadReport()
	case ClientGone, TimerFired:
		e.Tag = d.u64()
	case HealthChecked:
		e.Outcome.Ending = policy.Ending(d.u8())
		e.Outcome.Elapsed = d.time()
		e.Outcome.Server = d.serverID()
		e.Outcome.LoadReport = d.loadReport()
	case PeerMessage:
		e.From = int(d.u16())
		e.Message = d.take(int(d.u16()))
	case GatewayStopped:
	case Summary:
		d.take(8)
		d.take(8)
		d.take(5)
	default:
		return e, fmt.Errorf("unknown code %d", e.Code)
	}
	return e, nil
}
