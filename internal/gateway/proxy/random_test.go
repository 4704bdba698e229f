package proxy

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"sprucelane.example/sprucelane/internal/fake"
)

// This file tests randomized exchanges. The servers' replies to each attempt, the client's deadline, when it
// leaves and the bytes that follow its request are drawn from a seed. Each exchange is checked against the
// rules on the number of servers, deadlines, final responses and clients that leave.

// defaultExchanges is the number of exchanges that run unless SEEDS sets another.
const defaultExchanges = 400

// randomExchange is one exchange between a client, the gateway and servers.
type randomExchange struct {
	route          string
	clientDeadline time.Duration // 0: the client sends no X-Deadline-Ms
	leavesAfter    time.Duration // 0: the client stays
	bodySize       int
	trailing       string
	script         []fake.Reply
	rejections     atomic.Int64 // attempts that servers reported as not run
	abandoned      atomic.Int64 // attempts that ended while their server was about to respond
	responses      atomic.Int64 // servers that sent a response other than a rejection
	latency        time.Duration
}

func drawExchange(seed uint64) *randomExchange {
	r := rand.New(rand.NewPCG(seed, 7))
	d := &randomExchange{route: []string{"safe", "unsafe", "stream", "resume"}[r.IntN(4)], bodySize: 8, latency: time.Duration(1+r.IntN(30)) * time.Millisecond}
	if r.IntN(2) == 0 {
		d.clientDeadline = time.Duration(100+r.IntN(4000)) * time.Millisecond
	}
	if r.IntN(2) == 0 {
		d.leavesAfter = time.Duration(1+r.IntN(3000)) * time.Millisecond
	}
	if r.IntN(4) == 0 {
		d.bodySize = 64 << 10
	}
	if r.IntN(3) == 0 {
		d.trailing = strings.Repeat(pipelined, 1+r.IntN(50))
		d.trailing = d.trailing[:r.IntN(len(d.trailing))]
	}
	for range 8 {
		d.script = append(d.script, d.reply(r))
	}
	return d
}

// reply draws a server's reply to an attempt.
func (d *randomExchange) reply(r *rand.Rand) fake.Reply {
	wait := time.Duration(r.IntN(400)) * time.Millisecond
	switch r.IntN(10) {
	case 0:
		return neverResponds
	case 1, 2:
		return d.rejection(wait)
	case 3:
		return respondsAfter(wait, writesText("", false))
	case 4:
		return respondsAfter(wait, d.response(responds(500, signatureLine, "")))
	case 5:
		return respondsAfter(wait, d.response(streams(r.IntN(6), "id: 9\nda", false)))
	case 6:
		return d.response(sendsEventsSlowly(wait, r.IntN(40), ""))
	case 7:
		return respondsAfter(wait, writesText("HTTP/1.1 200 OK\r\nX-Requ", false))
	case 8:
		return d.silence(5 * wait)
	}
	return respondsAfter(wait, d.response(d.goodReply()))
}

// goodReply returns the complete response of the exchange's route.
func (d *randomExchange) goodReply() fake.Reply {
	if d.route == "stream" || d.route == "resume" {
		return goodStream
	}
	return good
}

// response returns a reply that is counted as a response.
func (d *randomExchange) response(reply fake.Reply) fake.Reply {
	return func(p *fake.Peer, c net.Conn, s fake.Seen) bool {
		d.responses.Add(1)
		return reply(p, c, s)
	}
}

// silence returns a reply that is complete after a pause, and counts it as abandoned if its connection ends before that.
func (d *randomExchange) silence(pause time.Duration) fake.Reply {
	return func(p *fake.Peer, c net.Conn, s fake.Seen) bool {
		if !respondsAfter(pause, keepsConnection)(p, c, s) {
			d.abandoned.Add(1)
			return false
		}
		return d.response(d.goodReply())(p, c, s)
	}
}

// rejection returns a reply that rejects an attempt after a while and counts it as rejected.
func (d *randomExchange) rejection(wait time.Duration) fake.Reply {
	rejects := responds(503, "X-Not-Executed: 1\r\n", "")
	return respondsAfter(wait, func(p *fake.Peer, c net.Conn, s fake.Seen) bool {
		d.rejections.Add(1)
		return rejects(p, c, s)
	})
}

func (d *randomExchange) timeLimit() time.Duration {
	return min(routeTimeout, cmp.Or(d.clientDeadline, routeTimeout))
}

// exchange runs one exchange and checks it.
func (g ruleCheck) exchange(seed uint64) {
	d := drawExchange(seed)
	g.runGateway(6, d.script, func(w *virtualTimeGateway) {
		w.setLatency(d.latency)
		deadlineMs := ""
		if d.clientDeadline > 0 {
			deadlineMs = strconv.FormatInt(d.clientDeadline.Milliseconds(), 10)
		}
		sendingAt := time.Now() // the gateway counts the deadline from the head
		conn := w.send(d.route, deadlineMs, strings.Repeat("b", d.bodySize), d.trailing)
		defer conn.Close()
		w.began = time.Now()
		what := fmt.Sprintf("FIRST=%d SEEDS=1: %s, deadline %v, leaves after %v", seed, d.route, d.clientDeadline, d.leavesAfter)
		if d.leavesAfter == 0 {
			_, _ = io.Copy(io.Discard, throughFirstResponse(conn))
			assert.LessOrEqual(w.check, time.Since(w.began), d.timeLimit()+ruleMargin/2, what)
			if time.Since(sendingAt) < d.timeLimit()-2*transitMargin && d.responses.Load() == 0 {
				assert.Zero(w.check, d.abandoned.Load(), "%s: a silent server was given up, and no other one responded", what)
			}
		} else {
			go io.Copy(io.Discard, conn)
			time.Sleep(d.leavesAfter)
			_ = conn.Close()
		}
		w.checkExchange(d, time.Now(), what)
	})
}

// throughFirstResponse reads a connection up to the end of the first response.
func throughFirstResponse(conn net.Conn) io.Reader {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return strings.NewReader("")
	}
	return resp.Body
}

// checkExchange checks an exchange whose client has received its response or has left.
func (w *virtualTimeGateway) checkExchange(d *randomExchange, endedAt time.Time, what string) {
	time.Sleep(ruleMargin)
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	servers := 1
	if d.route == "safe" || d.route == "resume" {
		servers = 2
	}
	arrivals := 0
	for _, arrival := range w.arrivals {
		if arrival.id != "id" {
			continue // a request that follows on the same connection
		}
		arrivals++
		assert.LessOrEqual(w.check, arrival.at.Add(arrival.deadline).Sub(w.began), d.timeLimit()+4*d.latency, what)
		assert.LessOrEqual(w.check, arrival.at.Sub(endedAt), 6*d.latency, what)
	}
	assert.LessOrEqual(w.check, arrivals-int(d.rejections.Load()), servers, what)
	if d.leavesAfter > 0 {
		assert.Zero(w.check, w.working, what)
	}
}

// TestRandomExchanges runs randomized exchanges. SEEDS=N runs N of them, FIRST=S starts at seed S.
func TestRandomExchanges(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv("FIRST"), 10, 64)
	count := uint64(defaultExchanges)
	if number, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 64); err == nil {
		count = number
	}
	for seed := first; seed < first+count && !t.Failed(); seed++ {
		ruleCheck{T: t, check: t}.exchange(seed)
	}
}

// TestRandomExchangesFindBugs checks that randomized exchanges detect injected bugs.
func TestRandomExchangesFindBugs(t *testing.T) {
	for name, injected := range map[string]injectedBugs{
		"each attempt forwards the first one's deadline": {keepFirstDeadline: true},
		"servers don't learn that a client has left":     {ignoreDisconnect: true},
		"a request that isn't idempotent is retried":     {retryNonIdempotent: true},
		"a silent server ends a request":                 {abandonSilentServers: true},
	} {
		found := false
		for seed := uint64(0); seed < defaultExchanges && !found; seed++ {
			found = violates(t, injected, func(g ruleCheck) { g.exchange(seed) })
		}
		assert.True(t, found, name)
	}
}
