// Package core owns the life of a transaction: it hands the decision module what happens, one event at a time
// under one mutex, and carries out what the module chooses. It must never decide anything itself, know a wire,
// or do input and output while it holds the mutex: fronts hand transactions in, a Carrier takes server-side
// flows out, and messages to peers and log lines leave after the mutex is free.
package core

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/recovery"
	"sprucelane.example/sprucelane/internal/storm"
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
	EndTurnedAway: {"turned_away", policy.TurnedAway, true},
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

// Time is the module's clock reading.
type Time = policy.Time

// Clock gives readings from an origin that is read once, in Unix time, and monotonic from there.
type Clock struct {
	origin time.Time
	ahead  time.Duration
}

// NewClock reads the origin.
func NewClock() Clock { return Clock{origin: time.Now()} }

// Ahead gives a clock that is so far ahead of this one. It is for the laboratory: every machine reads the same clock.
func (c Clock) Ahead(d time.Duration) Clock { return Clock{origin: c.origin, ahead: d} }

// Now is the time since the Unix epoch.
func (c Clock) Now() Time { return Time(c.origin.UnixNano()) + c.ahead + time.Since(c.origin) }

// At gives the moment of a reading.
func (c Clock) At(t Time) time.Time { return c.origin.Add(t - c.ahead - Time(c.origin.UnixNano())) }

// Carrier takes a server-side flow to its pool member and back. It calls Flow.Begin right before the first byte
// and ends when Flow.Until is reached at the latest.
type Carrier interface {
	Carry(f *Flow) (End, Answer)
}

// Flow is one server-side flow.
type Flow struct {
	Server  policy.ServerID
	Until   time.Time
	Message any
	Spent   bool // the carrier's word that the message can't be sent again

	core      *Core
	tx        *transaction
	no        int
	sent      Time
	recheck   bool
	cancelled bool
	conn      io.Closer
}

// To gives the pool member that the flow goes to.
func (f *Flow) To() policy.ServerID { return f.Server }

// By gives the moment at which the flow ends at the latest.
func (f *Flow) By() time.Time { return f.Until }

// Begin tells whether the first byte may still be written to a connection, which it remembers for a cancel. A
// flow whose transaction was answered while it dialled must not reach a server, nor may one that the module would no longer
// send.
func (f *Flow) Begin(conn io.Closer) (End, bool) {
	f.core.mu.Lock()
	defer f.core.mu.Unlock()
	if f.cancelled {
		return EndCancelled, false
	}
	if f.tx.closed {
		return EndOver, false
	}
	if !f.tx.era.module.MayBegin(f.core.Now(), f.tx.ID, f.no) {
		return EndLapsed, false
	}
	f.conn = conn
	return EndNone, true
}

// Came tells that the last byte of a body that was still coming has been written: from now on the flow has as long as the
// client waits.
func (f *Flow) Came() {
	f.core.event(func(now Time) {
		t := f.tx
		if !t.Coming || t.closed {
			return
		}
		t.Deadline = now + t.Wait
		f.sent, f.Until = now, f.core.At(t.Deadline)
		t.era.module.Came(now, t.ID, t.Deadline)
	})
}

// Finish gives the connection back, so that a late cancel can't close what another flow uses. It tells
// whether the flow was cancelled.
func (f *Flow) Finish() bool {
	f.core.mu.Lock()
	defer f.core.mu.Unlock()
	f.conn = nil
	return f.cancelled
}

type transaction struct {
	Request
	era     *era
	arrival storm.Arrival
	closed  bool    // has its final answer
	flows   []*Flow // those out, by number
	sent    int     // flows started
	timers  []*time.Timer
	orders  chan any // *Flow or Answer
}

// Core runs one decision module.
type Core struct {
	Clock
	carrier Carrier
	tell    func(peer int, message []byte)

	mu     sync.Mutex
	era    *era   // in force
	past   []*era // whose transactions go on to their end
	tap    func(Sent)
	guard  *guard // nil: storms are not damped
	back   *recovery.Recovery
	live   map[policy.RequestID]*transaction
	lastID policy.RequestID
	over   bool // all was given up, and what still comes is
	tells  []tell
	lines  []line
	counts struct {
		taken, sent uint64
		answered    [answerKinds]uint64
		ended       [ends]uint64
	}
}

// line is a line for the log that waits for the mutex to be free.
type line struct {
	event string
	attrs []slog.Attr
}

type tell struct {
	peer    int
	message []byte
}

// New gives a core round a new module. Where tell is nil the gateway has no way to its peers.
func New(set policy.Settings, seed uint64, clock Clock, carrier Carrier, toPeer func(int, []byte)) (*Core, error) {
	set.Peers = set.Peers && toPeer != nil
	c := &Core{Clock: clock, carrier: carrier, tell: toPeer, live: map[policy.RequestID]*transaction{}}
	first, err := c.newEra(0, set, seed)
	if err != nil {
		return nil, err
	}
	c.era = first
	c.back = recovery.New(clock.Now(), recovery.Options{Pause: set.ShortAim(), Near: len(set.NearBy())})
	return c, nil
}

// checkMargin is how long before the deadline a check has to end. A flow that still waits for its verdict when the
// module's time is over looks as if it may have run, and its client could not be told that it may come back.
const checkMargin = 25 * time.Millisecond

// Serve is the life of a transaction, from when a front has read it to its one final answer. It ends early when
// ctx does: the client has left and nobody is owed an answer.
func (c *Core) Serve(ctx context.Context, in Request) Answer {
	t := &transaction{Request: in}
	known, wait := c.take(t)
	if !known { // nothing ran: asking again, under the settings in force, is harmless
		return c.count(Answer{Kind: Refused})
	}
	if wait > 0 { // this process has just woken, and what it was told meanwhile is being read
		time.Sleep(wait)
	}
	if refused, wait := c.damped(t); refused {
		return c.count(Answer{Kind: Refused, RetryAfter: wait})
	}
	verdict, wait := Active, time.Duration(0)
	if in.Check != nil {
		verdict, wait = in.Check(in.Deadline - checkMargin)
	}
	// Without a right to go on, or a client, it is over, and the module need not hear of it: it draws nothing and takes no turn.
	if gone := ctx.Err() != nil; gone || verdict != Active {
		c.mu.Lock()
		c.close(t)
		c.mu.Unlock()
		switch {
		case gone:
			return c.count(Answer{Kind: Gone})
		case verdict == Inactive:
			return c.count(Answer{Kind: Denied})
		}
		return c.count(Answer{Kind: Refused, Tried: true, RetryAfter: c.refused(t, wait)}) // nothing ran: asking again is harmless
	}
	c.event(func(now Time) { t.era.module.Request(now, t.Request.Request) })
	checked := len(t.orders) > 0 // a verdict holds for what is sent on now, not for what is held or tried again
	for {
		select {
		case order := <-t.orders:
			switch order := order.(type) {
			case *Flow:
				order.recheck = in.Check != nil && !checked
				checked = false
				go c.carry(order)
			case Answer:
				return c.count(order)
			}
		case <-ctx.Done():
			c.leave(t)
			for len(t.orders) > 0 { // a flow ordered meanwhile has an end to report, though it is never sent
				switch order := (<-t.orders).(type) {
				case *Flow:
					go c.carry(order)
				case Answer:
					order.Drop()
				}
			}
			return c.count(Answer{Kind: Gone})
		}
	}
}

// take numbers the transaction. The number is a counter: the module shifts it into timer tags, which a
// client's own id would overflow. It tells whether there still is a module of the settings that it was read under, and how
// long to wait before it is asked. What may have lain here while the process stood still has so much less time left.
func (c *Core) take(t *transaction) (known bool, wait time.Duration) {
	c.event(func(now Time) {
		c.counts.taken++
		if t.era = c.eraOf(t.Era); t.era == nil || c.over {
			return
		}
		lain, settles := c.back.Asked(now, t.Deadline-now)
		t.Deadline -= lain
		c.lastID++
		t.ID = c.lastID
		c.live[t.ID] = t
		t.era.open++
		t.orders = make(chan any, max(1, t.era.set.MaxAttempts)+2) // room for what the module may order
		known, wait = true, settles
	})
	return known, wait
}

// forget drops a transaction that nothing more comes for. The mutex is held.
func (c *Core) forget(t *transaction) {
	if c.live[t.ID] == t {
		delete(c.live, t.ID)
		t.era.open--
		c.prune()
	}
}

func (c *Core) count(a Answer) Answer {
	c.mu.Lock()
	c.counts.answered[a.Kind]++
	c.mu.Unlock()
	return a
}

// leave tells the module that the client has left, unless the final answer crossed that.
func (c *Core) leave(t *transaction) {
	c.event(func(now Time) {
		if !t.closed {
			c.close(t)
			c.guard.failed(now, t)
			t.era.module.ClientGone(now, t.ID)
		}
	})
}

// carry takes one flow to its end, which goes to the module whether or not the client still waits: what runs on
// after the answer still tells of its pool member.
func (c *Core) carry(f *Flow) {
	end, answer := EndUnchecked, Answer{}
	verdict := Active
	if f.recheck {
		verdict, _ = f.tx.Check(f.tx.Deadline - checkMargin)
	}
	switch verdict {
	case Active:
		end, answer = c.carrier.Carry(f)
	case Inactive:
		end = EndDenied
	}
	late := false
	c.event(func(now Time) {
		t := f.tx
		c.counts.ended[end]++
		c.guard.attempt(now, f, end)
		for i := range t.flows {
			if t.flows[i] == f {
				t.flows = append(t.flows[:i], t.flows[i+1:]...)
				break
			}
		}
		switch {
		case t.closed:
			late = true
		case end == EndServed:
			answer.Kind, answer.Tried = Served, true
			c.final(t, answer)
		case end == EndDenied:
			c.final(t, Answer{Kind: Denied, Tried: true})
		}
		closed := t.closed
		t.era.module.Outcome(now, policy.Outcome{ID: t.ID, Attempt: f.no, Server: f.Server, Elapsed: now - f.sent,
			Ending: endings[end].ending, Closed: closed, Spent: f.Spent, Units: answer.Units, Report: answer.Report})
		if t.closed && len(t.flows) == 0 {
			c.forget(t)
		}
	})
	if late { // what it holds may be a connection
		answer.Drop()
	}
}

// event hands the module one event, and carries out what it ordered of the outside once the mutex is free.
func (c *Core) event(happen func(now Time)) {
	tells, lines := c.locked(happen)
	for _, t := range tells {
		c.tell(t.peer, t.message)
	}
	for _, l := range lines {
		slog.LogAttrs(context.Background(), slog.LevelInfo, l.event, l.attrs...)
	}
}

// locked frees the mutex whatever happens: a panic on a virtual server's goroutine ends one connection, and must
// not leave all others waiting.
func (c *Core) locked(happen func(now Time)) (tells []tell, lines []line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	if still := c.back.Event(now); still > 0 {
		c.woke(now, still)
	}
	happen(now)
	c.look(now)
	tells, lines = c.tells, c.lines
	c.tells, c.lines = nil, nil
	return tells, lines
}

// final queues the one final answer. The mutex is held.
func (c *Core) final(t *transaction, a Answer) {
	if !t.closed {
		c.close(t)
		t.orders <- a
	}
}

func (c *Core) close(t *transaction) {
	t.closed = true
	for _, timer := range t.timers { // each that runs out wakes the process for nothing
		timer.Stop()
	}
	t.timers = nil
	if len(t.flows) == 0 {
		c.forget(t)
	}
}

// GiveUp gives all open transactions the final answer that their modules permit now: the process is about to end. What is
// taken afterwards is refused at once.
func (c *Core) GiveUp() {
	c.event(func(now Time) {
		c.over = true
		for _, e := range append([]*era{c.era}, c.past...) {
			e.module.GiveUp(now)
		}
	})
}

// Servers hands a list from discovery in.
func (c *Core) Servers(kind policy.ListKind, list []policy.ServerInfo) {
	c.event(func(now Time) {
		if kind == policy.ListCached {
			c.back.Heard(recovery.Cached)
		} else {
			c.back.Heard(recovery.Discovery)
		}
		for _, e := range append([]*era{c.era}, c.past...) {
			e.module.Servers(now, kind, list)
		}
	})
}

// Learn shows what the module has seen of the pool members and hands it the priors that come back, in one step. The
// mutex is held meanwhile: what weighs must do no input or output.
func (c *Core) Learn(weigh func(now Time, seen []policy.Observation) []policy.Prior) {
	c.event(func(now Time) {
		if priors := weigh(now, c.era.module.Observe(now)); len(priors) > 0 {
			c.era.module.Learn(now, priors)
		}
	})
}

// Crowd shows what is out at the pool members and what failed there, and hands the module what weigh makes of others' word.
func (c *Core) Crowd(weigh func(now Time, own map[policy.ServerID]policy.Own) []policy.Load) {
	c.event(func(now Time) { c.era.module.Crowd(now, weigh(now, c.era.module.Own(now))) })
}

// PeerMessage hands a peer's datagram in.
func (c *Core) PeerMessage(from int, message []byte) {
	c.event(func(now Time) { c.era.module.PeerMessage(now, from, message) })
}

// Counts are counters by name, ready to be logged.
type Counts []slog.Attr

// String gives them as key=value text.
func (c Counts) String() string {
	var text strings.Builder
	for i, a := range c {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(a.String())
	}
	return text.String()
}

// Counters gives what was taken, sent and answered so far.
func (c *Core) Counters() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := Counts{slog.Uint64("taken", c.counts.taken), slog.Int("open", len(c.live)),
		slog.Uint64("sent", c.counts.sent)}
	for i, n := range c.counts.answered {
		counts = append(counts, slog.Uint64("answered_"+answerNames[i], n))
	}
	for i, n := range c.counts.ended {
		counts = append(counts, slog.Uint64("ended_"+endings[i].name, n))
	}
	f := c.era.module.Figures(c.Now())
	return append(counts, slog.Int("left_out", f.LeftOut), slog.Int("customers", f.Customers), slog.Int("asked", f.Asked),
		slog.Int("homes_silent", f.HomesSilent), slog.Int("near_heard", f.NearHeard), slog.Int("odd_messages", f.Odd), slog.Int("held", f.Held))
}

// host carries out the choices of an era's module. Its methods are called inside the module's, with the mutex held: they
// queue and return.
type host struct {
	c *Core
	e *era
}

func (h host) Send(id policy.RequestID, to policy.ServerID, until Time) {
	t := h.c.live[id]
	if t == nil || t.closed {
		return
	}
	f := &Flow{Server: to, Until: h.c.At(min(until, t.Deadline)), Message: t.Message, core: h.c, tx: t, no: t.sent,
		sent: h.c.Now()}
	t.sent++
	h.c.counts.sent++
	t.flows = append(t.flows, f)
	t.orders <- f
	h.c.sent(t, to)
}

func (h host) Refuse(id policy.RequestID, wait time.Duration) {
	if t := h.c.live[id]; t != nil {
		h.c.final(t, Answer{Kind: Refused, Tried: t.sent > 0, RetryAfter: h.c.guard.refused(h.c.Now(), t, wait)})
	}
}

func (h host) Fail(id policy.RequestID) {
	if t := h.c.live[id]; t != nil {
		h.c.guard.failed(h.c.Now(), t)
		h.c.final(t, Answer{Kind: Failed, Tried: t.sent > 0, Waiting: len(t.flows) > 0})
	}
}

func (h host) Cancel(id policy.RequestID, attempt int) {
	t := h.c.live[id]
	if t == nil {
		return
	}
	for _, f := range t.flows {
		if f.no == attempt && !f.cancelled {
			f.cancelled = true
			if f.conn != nil {
				go f.conn.Close() // not under the mutex
			}
		}
	}
}

func (h host) Timer(tag uint64, after time.Duration) {
	timer := time.AfterFunc(after, func() {
		h.c.event(func(now Time) {
			if !h.e.over {
				h.e.module.Timer(now, tag)
			}
		})
	})
	if t := h.c.live[policy.TimerOf(tag)]; t != nil && !t.closed {
		t.timers = append(t.timers, timer)
	}
}

func (h host) Tell(peer int, message []byte) {
	if h.e == h.c.era { // the gateway speaks with one voice
		h.c.tells = append(h.c.tells, tell{peer, message})
	}
}

func (h host) Watch() {} // discovery is always watched

func (h host) Log(text string) {
	h.c.lines = append(h.c.lines, line{"module", []slog.Attr{slog.String("text", text)}})
}
