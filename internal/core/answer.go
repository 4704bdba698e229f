package core

import (
	"io"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// End tells how a server-side flow ended: every way in which a connection can end is one of these.
type End uint8

// The ends of a flow.
const (
	EndNone            End = iota // none yet; where it is given as one all the same, the request may have run
	EndServed                     // a whole 200 answer
	EndErrored                    // any other answer: it may have run
	EndRejected                   // an answer that proves it never ran
	EndNoConnect                  // no connection came up
	EndWriteFailed                // the connection broke before the last byte was written
	EndReset                      // it broke after that, or the answer was not whole
	EndStale                      // a kept connection broke at once: it had been gone, which tells nothing of the member
	EndTimedOut                   // nothing came before the flow's time was over
	EndCancelled                  // called off by the module
	EndDrained                    // the pool member was told to drain or is gone: not a byte was written
	EndAlreadyAnswered            // the transaction had its answer already: not a byte was written
	EndNoDescriptor               // the descriptor budget is spent: not a byte was written
	EndUnauthorized               // the transaction's check says no: not a byte was written
	EndCheckFailed                // the check gave no verdict: not a byte was written
	EndBodyIncomplete             // the client's body didn't come whole: the last byte was not written
	EndNoMemory                   // the budget for bodies is spent: the last byte was not written
	EndBodyConsumed               // an earlier flow has taken of a body that comes by once: not a byte was written
	EndRepeatUnsafe               // its connection came when a repeat was no longer harmless: not a byte was written
	endCount
)

// For each end its name in logs and counters, and what the module is told. This is the only place where ends
// become the module's endings. What was never written whole never ran; what was written whole may have.
var endTable = [endCount]struct {
	name   string
	ending policy.Ending
	lost   bool // the member is to blame, or the way there
}{
	EndNone:            {"none", policy.ConnectionLost, false},
	EndServed:          {"served", policy.Served, false},
	EndErrored:         {"errored", policy.Errored, true},
	EndRejected:        {"turned_away", policy.Rejected, true},
	EndNoConnect:       {"no_connect", policy.NotConnected, true},
	EndWriteFailed:     {"cut_short", policy.NotConnected, true},
	EndReset:           {"reset", policy.ConnectionLost, true},
	EndStale:           {"stale", policy.Cancelled, false}, // it may have run
	EndTimedOut:        {"timed_out", policy.TimedOut, true},
	EndCancelled:       {"cancelled", policy.Cancelled, false},
	EndDrained:         {"drained", policy.NeverSent, false},
	EndAlreadyAnswered: {"over", policy.NeverSent, false},
	EndNoDescriptor:    {"no_socket", policy.NeverSent, false},
	EndUnauthorized:    {"denied", policy.NeverSent, false},
	EndCheckFailed:     {"unchecked", policy.NeverSent, false},
	EndBodyIncomplete:  {"body_cut", policy.NeverSent, false},
	EndNoMemory:        {"no_memory", policy.NeverSent, false},
	EndBodyConsumed:    {"spent", policy.NeverSent, false},
	EndRepeatUnsafe:    {"lapsed", policy.NeverSent, false},
}

func (e End) String() string { return endTable[e].name }

// Answer is a transaction's final answer.
type Answer struct {
	Kind          AnswerKind
	Attempted     bool          // a flow had been started, or a check
	TimedOut      bool          // of a failed one: a flow was still out, the time was over
	RetryAfter    time.Duration // of a refusal: when to come back
	Body          []byte        // of a served one, as the pool member made it: all of it, or its beginning
	Remainder     io.ReadCloser // what follows; nil: Body is all. An error but the end means that the answer is broken
	ContentLength int64         // of all where there is a rest, -1 where nobody knows yet
	ContentType   string        // and its content type
	Units         float64       // of a served one: what it drew by the member's word; 0: not told
	LoadReport    []float32     // the member's load, by the settings' fields, NaN where not told; nil: none came
	Release       func()        // where not nil, gives the body's memory back once it is written or dropped
}

// Drop gives back what the answer holds.
func (a Answer) Discard() {
	if a.Remainder != nil {
		a.Remainder.Close()
	}
	if a.Release != nil {
		a.Release()
	}
}

// AnswerKind tells final answers apart.
type AnswerKind uint8

// The kinds of answer.
const (
	Served       AnswerKind = iota
	Refused                 // trying again is harmless
	Failed                  // nothing is promised
	Unauthorized            // the check says no
	ClientGone              // the client left: nobody to answer
	answerKindCount
)

var answerNames = [answerKindCount]string{"served", "refused", "failed", "denied", "gone"}

// Verdict is what a check says of a transaction's right to go on.
type Verdict uint8

// The verdicts.
const (
	Unknown Verdict = iota
	Active
	Inactive
)

// Request is what a front hands in. ID and Deadline of the embedded request are the core's to number and the
// front's to set.
type Request struct {
	policy.Request
	Generation int // of the settings that Class and Plan are numbers in
	Message    any // for the Carrier

	// Wait is how long the client waits from the last byte of its body on, where Coming says that it is still to come.
	BodyTimeout time.Duration

	// Check is asked before the first flow and again before any other, and tells how long to wait where it gives no
	// verdict. Nil: no check.
	Authorize func(until Time) (Verdict, time.Duration)
}
