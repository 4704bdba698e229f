package proxy

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"sprucelane.example/sprucelane/internal/fake"
)

// serverPause is longer than a request waits for a silent server before it is hedged, and ends before routeTimeout.
const serverPause = 2 * time.Second

// pausesWithinStream returns a reply that pauses after event 2 of 5 of a stream.
func pausesWithinStream(pause time.Duration) fake.Reply {
	return func(p *fake.Peer, conn net.Conn, s fake.Seen) bool {
		if !streams(2, "", true)(p, noEnd{conn}, s) || !respondsAfter(pause, keepsConnection)(p, conn, s) {
			return false
		}
		for id := 3; id <= 5; id++ {
			chunk(conn, eventText(id))
		}
		_, err := conn.Write([]byte("0\r\n\r\n"))
		return err == nil
	}
}

// noEnd is a connection on which the last chunk isn't written.
type noEnd struct{ net.Conn }

func (c noEnd) Write(text []byte) (int, error) {
	if string(text) == "0\r\n\r\n" {
		return len(text), nil
	}
	return c.Conn.Write(text)
}

// TestSilentServerKeepsRequest guards against answers and streams that end because their server is silent, though it is
// at work and no other server takes them over (review/4).
func TestSilentServerKeepsRequest(t *testing.T) {
	checkSilentServerKeepsRequest(ruleCheck{T: t, check: t})
}

func checkSilentServerKeepsRequest(g ruleCheck) {
	silent := map[string]struct {
		reply fake.Reply
		want  string
	}{
		"before the response": {respondsAfter(serverPause, good), "good"},
		"before the stream":   {respondsAfter(serverPause, goodStream), eventsTo(5)},
		"within the stream":   {pausesWithinStream(serverPause), eventsTo(5)},
	}
	others := map[string]fake.Reply{
		"reject":         responds(503, "X-Not-Executed: 1\r\n", ""),
		"are others":     responds(421, "X-Instance-Id: i-9\r\n", ""),
		"stall":          neverResponds,
		"close":          writesText("", false),
		"fail":           responds(500, signatureLine, ""),
		"send no events": sendsEventsSlowly(0, 0, ""),
	}
	for when, test := range silent {
		for what, other := range others {
			for _, route := range []string{"safe", "unsafe", "stream", "resume"} {
				for _, servers := range []int{1, 2, 7} {
					g.runGateway(servers, []fake.Reply{test.reply, other}, func(w *virtualTimeGateway) {
						got := readToEnd(w.send(route, "", "the body", ""))
						assert.NoError(g.check, got.err, "silent %s on %s, of %d servers the others %s", when, route, servers, what)
						assert.Equal(g.check, 200, got.status, "silent %s on %s, of %d servers the others %s", when, route, servers, what)
						assert.Equal(g.check, test.want, got.body, "silent %s on %s, of %d servers the others %s", when, route, servers, what)
					})
				}
			}
		}
	}
}

// TestHedgedAttemptTakesOver guards against requests that wait for their deadline although another server has responded,
// also when the silent server ends the attempt meanwhile.
func TestHedgedAttemptTakesOver(t *testing.T) {
	rejects := responds(503, "X-Not-Executed: 1\r\n", "")
	late := 700 * time.Millisecond
	for name, script := range map[string][]fake.Reply{
		"silent":               {neverResponds, good},
		"others reject first":  {neverResponds, rejects, rejects, rejects, rejects, rejects, good},
		"rejects late":         {respondsAfter(1500*time.Millisecond, rejects), respondsAfter(late, good)},
		"fails late":           {respondsAfter(1500*time.Millisecond, responds(500, signatureLine, "")), respondsAfter(late, good)},
		"closes late":          {respondsAfter(1500*time.Millisecond, writesText("", false)), respondsAfter(late, good)},
		"only sends a head":    {respondsAfter(1500*time.Millisecond, sendsEventsSlowly(0, 0, "")), respondsAfter(late, goodStream)},
		"sends some events":    {sendsEventsSlowly(0, 2, ""), respondsAfter(late, goodStream)},
		"closes within stream": {pausesThenCloses, respondsAfter(late, goodStream)},
	} {
		ruleCheck{T: t, check: t}.runGateway(7, script, func(w *virtualTimeGateway) {
			got := readToEnd(w.send("resume", "", "the body", ""))
			assert.NoError(t, got.err, name)
			assert.Contains(t, []string{"good", eventsTo(5)}, got.body, name)
			assert.Less(t, time.Since(w.began), 2500*time.Millisecond, name)
			assert.Len(t, w.arrivals, len(script), name)
		})
	}
}

// pausesThenCloses is a reply that closes the connection while a hedged attempt is in flight.
func pausesThenCloses(p *fake.Peer, conn net.Conn, s fake.Seen) bool {
	streams(2, "", true)(p, noEnd{conn}, s)
	return respondsAfter(1500*time.Millisecond, writesText("", false))(p, conn, s)
}

// TestHedgedAttemptsCountAsRuns guards against a 503, which promises that no server has run the request, while a hedged
// attempt may have run.
func TestHedgedAttemptsCountAsRuns(t *testing.T) {
	script := []fake.Reply{respondsAfter(1500*time.Millisecond, responds(503, "X-Not-Executed: 1\r\n", "")), neverResponds}
	ruleCheck{T: t, check: t}.runGateway(3, script, func(w *virtualTimeGateway) {
		got := readToEnd(w.send("safe", "", "the body", ""))
		assert.Equal(t, 504, got.status)
		time.Sleep(ruleMargin)
		w.mu.Lock()
		defer w.mu.Unlock()
		assert.Zero(t, w.working)
	})
}
