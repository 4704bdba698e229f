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
	EndNone       End = iota // none yet; where it is given as one all the same, the request may have run
	EndServed                // a whole 200 answer
	EndErrored               // any other answer: it may have run
	EndTurnedAway            // an answer that proves it never ran
	EndNoConnect             // no connection came up
	EndCutShort              // the connection broke before the last byte was written
	EndReset                 // it broke after that, or the answer was not whole
	EndStale                 // a kept connection broke at once: it had been gone, which tells nothing of the member
	EndTimedOut              // nothing came before the flow's time was over
	EndCancelled             // called off by the module
	EndDrained               // the pool member was told to drain or is gone: not a byte was written
	EndOver                  // the transaction had its answer already: not a byte was written
	EndNoSocket              // the descriptor budget is spent: not a byte was written
	EndDenied                // the transaction's check says no: not a byte was written
	EndUnchecked             // the check gave no verdict: not a byte was written
	EndBodyCut               // the client's body didn't come whole: the last byte was not written
	EndNoMemory              // the budget for bodies is spent: the last byte was not written
	EndSpent                 // an earlier flow has taken of a body that comes by once: not a byte was written
	EndLapsed                // its connection came when a repeat was no longer harmless: not a byte was written
	ends
)

// For each end its name in logs and counters, and what the module is told. This is the only place where ends
// become the module's endings. What was never written whole never ran; what was written whole may have.
var endings = [ends]struct {
	name   string
	ending policy.Ending
	lost   bool // the member is to blame, or the way there
}{
	EndNone:       {"none", policy.ConnectionLost, false},
	EndServed:     {"served", policy.Served, false},
	EndErrored:    {"errored", policy.Errored, true},
	EndTurnedAway: {"turned_away", policy.Rejected, true},
	EndNoConnect:  {"no_connect", policy.NotConnected, true},
	EndCutShort:   {"cut_short", policy.NotConnected, true},
	EndReset:      {"reset", policy.ConnectionLost, true},
	EndStale:      {"stale", policy.Cancelled, false}, // it may have run
	EndTimedOut:   {"timed_out", policy.TimedOut, true},
	EndCancelled:  {"cancelled", policy.Cancelled, false},
	EndDrained:    {"drained", policy.NeverSent, false},
	EndOver:       {"over", policy.NeverSent, false},
	EndNoSocket:   {"no_socket", policy.NeverSent, false},
	EndDenied:     {"denied", policy.NeverSent, false},
	EndUnchecked:  {"unchecked", policy.NeverSent, false},
	EndBodyCut:    {"body_cut", policy.NeverSent, false},
	EndNoMemory:   {"no_memory", policy.NeverSent, false},
	EndSpent:      {"spent", policy.NeverSent, false},
	EndLapsed:     {"lapsed", policy.NeverSent, false},
}

func (e End) String() string { return endings[e].name }

// Answer is a transaction's final answer.
type Answer struct {
	Kind       AnswerKind
	Tried      bool          // a flow had been started, or a check
	Waiting    bool          // of a failed one: a flow was still out, the time was over
	RetryAfter time.Duration // of a refusal: when to come back
	Body       []byte        // of a served one, as the pool member made it: all of it, or its beginning
	Rest       io.ReadCloser // what follows; nil: Body is all. An error but the end means that the answer is broken
	Length     int64         // of all where there is a rest, -1 where nobody knows yet
	Type       string        // and its content type
	Units      float64       // of a served one: what it drew by the member's word; 0: not told
	Report     []float32     // the member's load, by the settings' fields, NaN where not told; nil: none came
	Free       func()        // where not nil, gives the body's memory back once it is written or dropped
}

// Drop gives back what the answer holds.
func (a Answer) Drop() {
	if a.Rest != nil {
		a.Rest.Close()
	}
	if a.Free != nil {
		a.Free()
	}
}

// AnswerKind tells final answers apart.
type AnswerKind uint8

// The kinds of answer.
const (
	Served  AnswerKind = iota
	Refused            // trying again is harmless
	Failed             // nothing is promised
	Denied             // the check says no
	Gone               // the client left: nobody to answer
	answerKinds
)

var answerNames = [answerKinds]string{"served", "refused", "failed", "denied", "gone"}

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
	Era     int // of the settings that Class and Plan are numbers in
	Message any // for the Carrier

	// Wait is how long the client waits from the last byte of its body on, where Coming says that it is still to come.
	Wait time.Duration

	// Check is asked before the first flow and again before any other, and tells how long to wait where it gives no
	// verdict. Nil: no check.
	Check func(until Time) (Verdict, time.Duration)
}
