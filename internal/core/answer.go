package core

import (
	"io"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// End says how an attempt ended.
type End uint8

// The ends of an attempt: every way in which a connection can end is one of them.
const (
	EndNone            End = iota // it goes on; where a carrier returns it all the same, the request may have run
	EndServed                     // a complete answer with status 200
	EndErrored                    // any other answer: the request may have run
	EndRejected                   // an answer that says that the request has not run
	EndNoConnect                  // no connection was established
	EndWriteFailed                // the connection broke before the last byte was written
	EndReset                      // it broke after that, or the answer was incomplete
	EndStale                      // a kept connection had been closed by the server, which says nothing of it
	EndTimedOut                   // there was no answer when the attempt's time was over
	EndCancelled                  // policy has cancelled it
	EndDrained                    // the server drains or has departed: nothing was written
	EndAlreadyAnswered            // the transaction had its final answer: nothing was written
	EndNoDescriptor               // the budget for file descriptors is used up: nothing was written
	EndUnauthorized               // Request.Authorize said no: nothing was written
	EndCheckFailed                // Request.Authorize gave no verdict: nothing was written
	EndBodyIncomplete             // the client's body didn't come completely: the last byte was not written
	EndNoMemory                   // the budget for bodies is used up: the last byte was not written
	EndBodyConsumed               // an earlier attempt has consumed the body: nothing was written
	EndRepeatUnsafe               // it got a connection when a repeat was no longer harmless: nothing was written
	endCount
)

// endTable has each end's name in logs and counters, and what it means to policy and to the storm control. What was
// never written completely has not run; what was written completely may have.
var endTable = [endCount]struct {
	name   string
	ending policy.Ending
	lost   bool // a failure of the server, or of the way there
}{
	EndNone:            {"none", policy.ConnectionLost, false},
	EndServed:          {"served", policy.Served, false},
	EndErrored:         {"errored", policy.Errored, true},
	EndRejected:        {"turned_away", policy.Rejected, true},
	EndNoConnect:       {"no_connect", policy.NotConnected, true},
	EndWriteFailed:     {"cut_short", policy.NotConnected, true},
	EndReset:           {"reset", policy.ConnectionLost, true},
	EndStale:           {"stale", policy.Cancelled, false}, // the request may have run
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

// String gives the name in logs and counters.
func (e End) String() string { return endTable[e].name }

// Answer is a transaction's final answer.
type Answer struct {
	Kind       AnswerKind
	Attempted  bool          // an attempt was started, or Request.Authorize gave no verdict
	TimedOut   bool          // of a failure: an attempt was in flight when the time was over
	RetryAfter time.Duration // of a refusal: the wait before a repeat; 0 names none

	// Of a served transaction: the body as the server made it, wholly or its beginning; what follows, nil where nothing
	// does, in which an error other than io.EOF means that the answer is incomplete; the length of both together where
	// there is a remainder, -1 if unknown; and the content type.
	Body          []byte
	Remainder     io.ReadCloser
	ContentLength int64
	ContentType   string

	Units      float64   // drawn, by the server; 0 where it didn't say
	LoadReport []float32 // by policy.Settings.LoadReportFields, with NaN for those not given; nil where none came
	Release    func()    // nil, or gives the body's memory back once the answer is written or discarded
}

// Discard releases what the answer holds.
func (a Answer) Discard() {
	if a.Remainder != nil {
		a.Remainder.Close()
	}
	if a.Release != nil {
		a.Release()
	}
}

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// The kinds of answer.
const (
	Served       AnswerKind = iota
	Refused                 // it has not run or may run again: a repeat is harmless
	Failed                  // it may have run
	Unauthorized            // Request.Authorize said no
	ClientGone              // the client has left: nobody waits for an answer
	answerKindCount
)

// answerNames are the names in logs and counters.
var answerNames = [answerKindCount]string{"served", "refused", "failed", "denied", "gone"}
