package platform_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/fake"
)

const idempotentRequest = "GET /health-read HTTP/1.1\r\nHost: x\r\n" +
	"X-Request-Id: 7\r\nX-Class: health-read\r\nX-Tariff: utility\r\n" +
	"X-Subscriber: 01\r\nX-Deadline-Ms: 15000\r\nX-Weight: units=1,spread=1,first=0\r\n\r\n"

// startRequest sends a request and returns the connection.
func startRequest(t *testing.T, base, text string) net.Conn {
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

// awaitCounter waits until the counters contain a text.
func awaitCounter(t *testing.T, c *core.Core, count string) {
	require.Eventually(t, func() bool { return strings.Contains(c.Counters().String(), count) }, time.Minute,
		time.Millisecond, count)
}

// A client disconnects during the first attempt of its request, which then fails: there is no retry, although the
// class is idempotent.
func TestClientLeavesBetweenAttempts(t *testing.T) {
	sent, reset := make(chan bool), make(chan bool)
	m := fake.New(t, func(p *fake.Peer, c net.Conn, r fake.Seen) bool {
		close(sent)
		<-reset
		return fake.Reset(p, c, r)
	}, fake.OK("again"))
	base, c := gateway(t, m)
	client := startRequest(t, base, idempotentRequest)
	<-sent
	client.Close()
	awaitCounter(t, c, "answered_gone=1")
	close(reset)
	awaitCounter(t, c, "open=0")
	awaitCounter(t, c, "ended_reset=1")
	assert.Len(t, m.Seen(), 1)
	assert.Contains(t, c.Counters().String(), "sent=1")
}
