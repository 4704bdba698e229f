package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What stood still has not moved the window in which a repeat is dropped: the members' clocks went on.
func TestPauseLeavesTheDedupWindow(t *testing.T) {
	s := settings()
	s.Classes[0].Idempotency, s.Classes[0].DedupWindow, s.Hedging = IdempotentByKey, time.Second, false
	f := start(t, s, 2)
	f.ask(1, nil)
	require.Len(t, f.sent, 1)
	f.now += 1100 * ms
	f.gateway.Resumed(f.now, 1100*ms)
	f.done(f.sent[0], ConnectionLost, time.Second)
	assert.Len(t, f.sent, 1)
	assert.Equal(t, "failed", f.ended[1])
}

// A client leaves while its request is held for a cold member's turn: when the turn comes it is another's.
func TestQueuedRequestWhoseClientLeft(t *testing.T) {
	s := settings()
	s.Gateways, s.ColdMultiple, s.Hedging = 3, 0.001, false
	f := start(t, s, 0)
	f.gateway.Servers(f.now, ListFull, []ServerInfo{{ID: 1, Weight: 1, StartedAt: f.now}})
	f.gateway.serversByID[1].coldBudget.Credit = 0
	for id := range RequestID(3) {
		f.ask(id+1, func(r *Request) { r.Deadline = f.now + time.Minute; r.Class = 0 })
	}
	held := 0
	for id := RequestID(1); id <= 3; id++ {
		if f.ended[id] == "" {
			held++
			f.gateway.ClientGone(f.now, id)
		}
	}
	require.Positive(t, held, "what can't be sent yet is held")
	f.gateway.serversByID[1].coldBudget.Credit = 1
	f.runUntil(f.now + 100*ms)
	assert.Empty(t, f.sent)
}
