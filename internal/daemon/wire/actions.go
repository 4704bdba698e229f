package wire

import (
	"encoding/binary"
	"math"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Codes of actions. The comments give the protocol's names.
const (
	actionSend       = 10  // PLACE
	actionRefuse     = 20  // PUSH_BACK
	actionFail       = 30  // REPORT_FAILURE
	actionCancel     = 40  // REVOKE
	actionTimer      = 50  // SCHEDULE
	actionSendToPeer = 80  // SHARE
	actionLog        = 90  // JOURNAL_LINE
	actionWatch      = 110 // TRACK
)

// Actions collects the actions of a reply.
type Actions struct{ buf []byte }

// Frame returns the encoded reply and starts the next one.
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

// appendDuration appends a duration or a time. Negative values are encoded as 0.
func (a *Actions) appendDuration(d time.Duration) { a.appendUint64(uint64(max(d, 0))) }

// appendBytes appends a length of 2 bytes and p, which is truncated to the maximum length.
func (a *Actions) appendBytes(p []byte) {
	p = p[:min(len(p), math.MaxUint16)]
	a.buf = binary.BigEndian.AppendUint16(a.buf, uint16(len(p)))
	a.buf = append(a.buf, p...)
}

// Host implements policy.Host for one gateway by appending each action to Out.
type Host struct {
	Out      *Actions
	Instance uint16 // the gateway's number
}

// Send implements policy.Host.
func (h Host) Send(id policy.RequestID, to policy.ServerID, until policy.Time) {
	h.Out.appendHeader(actionSend, h.Instance)
	h.Out.appendUint64(uint64(id))
	h.Out.buf = binary.BigEndian.AppendUint32(h.Out.buf, uint32(to>>16))
	h.Out.buf = binary.BigEndian.AppendUint16(h.Out.buf, uint16(to))
	h.Out.appendDuration(until)
}

// Refuse implements policy.Host.
func (h Host) Refuse(id policy.RequestID, wait time.Duration) {
	h.Out.appendHeader(actionRefuse, h.Instance)
	h.Out.appendUint64(uint64(id))
	h.Out.appendDuration(wait)
}

// Fail implements policy.Host.
func (h Host) Fail(id policy.RequestID) {
	h.Out.appendHeader(actionFail, h.Instance)
	h.Out.appendUint64(uint64(id))
}

// Cancel implements policy.Host.
func (h Host) Cancel(id policy.RequestID, attempt int) {
	h.Out.appendHeader(actionCancel, h.Instance)
	h.Out.appendUint64(uint64(id))
	h.Out.buf = append(h.Out.buf, byte(attempt))
}

// Timer implements policy.Host.
func (h Host) Timer(tag uint64, after time.Duration) {
	h.Out.appendHeader(actionTimer, h.Instance)
	h.Out.appendUint64(tag)
	h.Out.appendDuration(after)
}

// SendToPeer implements policy.Host.
func (h Host) SendToPeer(peer int, message []byte) {
	h.Out.appendHeader(actionSendToPeer, h.Instance)
	h.Out.buf = binary.BigEndian.AppendUint32(h.Out.buf, uint32(int32(peer)))
	h.Out.appendBytes(message)
}

// Log implements policy.Host.
func (h Host) Log(text string) {
	h.Out.appendHeader(actionLog, h.Instance)
	h.Out.appendBytes([]byte(text))
}

// Watch implements policy.Host.
func (h Host) Watch() {
	h.Out.appendHeader(actionWatch, h.Instance)
	h.Out.buf = append(h.Out.buf, 1)
}
