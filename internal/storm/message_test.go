package storm

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Encoding and decoding keep a message, up to the precision of the logarithmic scale.
func TestMessageRoundTrip(t *testing.T) {
	message := Message{Phase: Recovery, Confidence: 0.5, Seq: 9, FirstAttempts: 30, Retries: 300, InTime: 12, Failed: 1,
		Limit: 17, Baseline: 33}
	message.Scheduled[3] = 21
	message.FailedWork.add(12345678901234567)
	got, ok := Decode(message.Encode())
	assert.True(t, ok)
	assert.Equal(t, Recovery, got.Phase)
	assert.InDelta(t, 300, got.Retries, 15)
	assert.InDelta(t, 21, got.Scheduled[3], 1)
	assert.True(t, got.FailedWork.contains(12345678901234567))
	assert.False(t, got.FailedWork.contains(76543210987654321))
	for range 1000 {
		message.FailedWork.add(rand.Uint64())
	}
	assert.False(t, message.FailedWork.contains(12345678901234567)) // saturated
	assert.LessOrEqual(t, len(message.Encode()), 128)
}

// No message from a peer makes a guard panic, or leads to a limit or Retry-After out of bounds.
func FuzzReceive(f *testing.F) {
	message := Message{Phase: Outage, Confidence: 1}
	f.Add(message.Encode())
	f.Fuzz(func(t *testing.T, m []byte) {
		g := New(Options{Gateways: 2, Classes: classes, Prices: []float64{1}})
		g.Receive(simulationStart, 1, m)
		for i := range 40 {
			now := simulationStart + Time(i)*TickInterval
			v := g.Admit(now, Arrival{Account: 1})
			if v.RetryAfter < 0 || v.RetryAfter > maxRetryAfter {
				t.Fatal(v.RetryAfter)
			}
			g.Tick(now, Members{Listed: 1, Warmth: 1})
			if !(g.limit >= 0 && g.limit < 1e9) {
				t.Fatal(g.limit)
			}
		}
	})
}
