package core

import (
	"io"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// End is how an attempt ended.
type End uint8

// The ends of an attempt. Every way in which a connection can end is one of them.
const (
	EndNone            End = iota // the attempt goes on; if a Carrier returns this all the same, the request may have run
	EndServed                     // a complete answer with status 200
	EndErrored                    // any other answer: the request may have run
	EndRejected                   // an answer which says that the request has not run
	EndNoConnect                  // no connection was established
	EndWriteFailed                // the connection broke before the last byte was written
	EndReset                      // the connection broke after the last byte, or the answer was incomplete
	EndStale                      // the server had closed a kept-alive connection, which says nothing about the server
	EndTimedOut                   // there was no answer when the attempt's time was over
	EndCancelled                  // policy cancelled the attempt
	EndDrained                    // the server is draining or has departed: nothing was written
	EndAlreadyAnswered            // the transaction had its final answer: nothing was written
	EndNoDescriptor               // the budget for file descriptors is used up: nothing was written
	EndUnauthorized               // Request.Authorize returned Inactive: nothing was written
	EndCheckFailed                // Request.Authorize returned Unknown: nothing was written
	EndBodyIncomplete             // the client's body didn't arrive completely: the last byte was not written
	EndNoMemory                   // the memory budget for bodies is used up: the last byte was not written
	EndBodyConsumed               // an earlier attempt has consumed the body: nothing was written
	EndRepeatUnsafe               // a repeat was no longer harmless once it was connected: nothing was written
	endCount
)

// endTable has each end's name in logs and counters, its meaning to policy, and whether it counts as a failed attempt
// in the storm control. A request that was never written completely has not run; one that was written completely may
// have.
var endTable = [endCount]struct {
	name   string
	ending policy.Ending
	failed bool // a failure of the server or of the network path to it
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

// String returns the end's name in logs and counters.
func (e End) String() string { return endTable[e].name }

// Answer is a transaction's final answer.
type Answer struct {
	Kind       AnswerKind
	Attempted  bool          // an attempt was started, or Request.Authorize returned Unknown
	TimedOut   bool          // if Failed: an attempt was still in flight at the final answer
	RetryAfter time.Duration // if Refused: the wait before a repeat; 0 means that none is named

	// If Served: Body is the server's body, or its beginning if Remainder is not nil. Remainder reads the rest; an error
	// other than io.EOF means that the answer is incomplete. With a Remainder, ContentLength is the length of both
	// together, or -1 if unknown.
	Body          []byte
	Remainder     io.ReadCloser
	ContentLength int64
	ContentType   string

	Units      float64   // units drawn, as reported by the server; 0 if it reported none
	LoadReport []float32 // the server's values of policy.Settings.LoadReportFields, NaN for missing ones; nil: no report
	Release    func()    // releases the body's memory once the answer is written or discarded; nil: nothing to release
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
	Refused                 // the request has not run or may run again: a repeat is harmless
	Failed                  // the request may have run
	Unauthorized            // Request.Authorize returned Inactive
	ClientGone              // the client has left: nobody waits for an answer
	answerKindCount
)

// answerNames has the names of the kinds in logs and counters.
var answerNames = [answerKindCount]string{"served", "refused", "failed", "denied", "gone"}
