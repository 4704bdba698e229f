package policy

import (
	"fmt"
	"testing"
	"time"
)

// successor returns a host whose gateway has imported the state of this host's gateway. If change is not nil, it
// changes the settings of the new gateway.
func (f *fakeHost) successor(t *testing.T, change func(*Settings)) *fakeHost {
	t.Helper()
	set := f.gateway.cfg
	if change != nil {
		change(&set)
	}
	g, err := New(set, 9)
	if err != nil {
		t.Fatal(err)
	}
	n := &fakeHost{t: t, gateway: g, now: f.now, ended: map[RequestID]string{}}
	g.Attach(n)
	if err := g.ImportState(n.now, f.gateway.ExportState(f.now, 1<<20)); err != nil {
		t.Fatal(err)
	}
	return n
}

// remaining returns a customer's balance and the tokens of its hard limit.
func (f *fakeHost) remaining(customer CustomerID) (balance, hardLimit float64) {
	c := f.gateway.customersByID[customer]
	f.gateway.refill(c, 0)
	return c.balance, c.hardLimit.Tokens
}

// serve sends a request and ends its attempt as served.
func (f *fakeHost) serve(id RequestID, took time.Duration, change func(*Request)) {
	f.ask(id, change)
	f.done(f.sent[len(f.sent)-1], Served, took)
}

const ms = time.Millisecond

// fakeHost is a Host that records a gateway's actions and delivers its timers.
type fakeHost struct {
	t         *testing.T
	gateway   *Gateway
	now       Time
	sent      []send
	ended     map[RequestID]string
	timers    []timer
	messages  [][]byte
	log       []string
	trace     []string
	watches   int
	cancelled []send // attempts cancelled
}

type send struct {
	id      RequestID
	to      ServerID
	at      Time
	attempt int
}

type timer struct {
	tag uint64
	at  Time
}

func (f *fakeHost) record(s string) { f.trace = append(f.trace, fmt.Sprint(f.now, " ", s)) }

func (f *fakeHost) Send(id RequestID, to ServerID, _ Time) {
	if f.ended[id] != "" {
		f.t.Fatalf("an attempt of request %d was sent after its final answer", id)
	}
	no := 0
	for _, s := range f.sent {
		if s.id == id {
			no++
		}
	}
	f.sent = append(f.sent, send{id, to, f.now, no})
	f.record(fmt.Sprint("send ", id, to))
}

func (f *fakeHost) end(id RequestID, how string) {
	if f.ended[id] != "" {
		f.t.Fatalf("request %d answered twice: %s, %s", id, f.ended[id], how)
	}
	f.ended[id] = how
	f.record(fmt.Sprint(how, id))
}

func (f *fakeHost) Refuse(id RequestID, _ time.Duration) { f.end(id, "refused") }
func (f *fakeHost) Fail(id RequestID)                    { f.end(id, "failed") }

func (f *fakeHost) Cancel(id RequestID, no int) {
	for _, s := range f.sent {
		if s.id == id && s.attempt == no {
			f.cancelled = append(f.cancelled, s)
		}
	}
}

func (f *fakeHost) Timer(tag uint64, d time.Duration) {
	f.timers = append(f.timers, timer{tag, f.now + d})
}

func (f *fakeHost) SendToPeer(_ int, m []byte) {
	f.messages = append(f.messages, m)
	f.record(fmt.Sprint("tell ", m))
}

func (f *fakeHost) Watch()       { f.watches++ }
func (f *fakeHost) Log(s string) { f.log = append(f.log, s) }

// runUntil advances the time to at, and fires the timers that are due until then.
func (f *fakeHost) runUntil(at Time) {
	for {
		next := -1
		for i, t := range f.timers {
			if t.at <= at && (next < 0 || t.at < f.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			f.now = at
			return
		}
		t := f.timers[next]
		f.timers = append(f.timers[:next], f.timers[next+1:]...)
		f.now = max(f.now, t.at)
		f.gateway.Timer(f.now, t.tag)
	}
}

// ask passes a request to the gateway. change, if not nil, may alter it.
func (f *fakeHost) ask(id RequestID, change func(*Request)) {
	r := Request{ID: id, Customer: CustomerID(id), Deadline: f.now + 2*time.Second, Units: 1, SetSize: 1}
	if change != nil {
		change(&r)
	}
	f.gateway.Request(f.now, r)
}

// done reports the end of an attempt to the gateway.
func (f *fakeHost) done(s send, how Ending, took time.Duration) {
	closed := how == Served || f.ended[s.id] != ""
	if how == Served && f.ended[s.id] == "" {
		f.ended[s.id] = "served"
	}
	f.gateway.Outcome(f.now, Outcome{ID: s.id, Attempt: s.attempt, Server: s.to, Elapsed: took, Ending: how,
		Answered: closed})
}

// settings returns the settings of a single gateway, with one class and one plan whose quota no test reaches.
func settings() Settings {
	return Settings{Gateways: 1, Tick: ms, MaxAttempts: 3, Hedging: true, Cancel: true,
		Classes:         []Class{{Name: "read", LatencyTarget: 500 * ms, Deadline: 2 * time.Second, Value: 1}},
		Plans:           []Plan{{Name: "basic", Rate: 1000, Burst: 1000, ValueMultiplier: 1}},
		SlowStartWindow: time.Second, SlowStartMultiple: 2, InitialWarmth: 0.2, WarmupTime: 10 * time.Second,
		DrainGrace: time.Second}
}

// start returns a host with a gateway that has the given number of servers, with IDs from 1.
func start(t *testing.T, s Settings, servers int) *fakeHost {
	t.Helper()
	g, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeHost{t: t, gateway: g, now: 100 * time.Second, ended: map[RequestID]string{}}
	g.Attach(f)
	var list []ServerInfo
	for i := 1; i <= servers; i++ {
		list = append(list, ServerInfo{ID: ServerID(i), Weight: 1, Cell: i % 2, Zone: i % 2})
	}
	g.Servers(f.now, ListCached, list)
	return f
}
