package datagram

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/daemon/knowledge"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/helper"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/pipe"
)

// state returns a state of n members, the first of which, as many as stalled says, are stalled.
func state(n int, stalled int) (s pipe.State) {
	for i := range n {
		x := knowledge.Observation{Life: knowledge.Life{Instance: fmt.Sprintf("s-%d", i), StartedMs: int64(i)},
			Answered: 100 * time.Millisecond, Pace: 1.1, Answers: float64(i), Room: 3}
		if i < stalled {
			x.Answered, x.Lost, x.Stalled, x.Pace = 4*time.Second, 3, 4*time.Second, 9
		}
		s.Own = append(s.Own, x)
	}
	return s
}

// Encoding and decoding keep the members that fit into a snapshot, the most unhealthy first, up to the precision of the
// scale.
func TestSnapshotRoundTrip(t *testing.T) {
	for _, n := range []int{0, 5, 14, 400} {
		s := state(n, min(n, 2))
		s.Deaf = 3 * time.Second
		m := Encode(s)
		assert.LessOrEqual(t, len(m), maxDatagramSize)
		facts, ok := Decode(m, knowledge.Observer{Name: "1"}, 1, s.Own)
		require.True(t, ok)
		assert.Len(t, facts, min(n, 28))
		if n > 0 {
			assert.Equal(t, 3, facts[0].Lost) // the most unhealthy first
			assert.InDelta(t, 4, facts[0].Stalled.Seconds(), 0.2)
			assert.InDelta(t, 3, facts[0].Deaf.Seconds(), 0.2)
			assert.InDelta(t, 1.1, facts[len(facts)-1].Pace, 0.06)
			assert.InDelta(t, 3, facts[len(facts)-1].Room, 0.15)
			assert.InDelta(t, 0.1, facts[len(facts)-1].Answered.Seconds(), 0.01)
		}
	}
	facts, ok := Decode(Encode(state(5, 1)), knowledge.Observer{}, 1, state(2, 0).Own) // three are not listed here
	assert.True(t, ok)
	assert.Len(t, facts, 2)
	_, ok = Decode([]byte{kindSnapshot, formatVersion, 0, 0, 1}, knowledge.Observer{}, 1, nil)
	assert.False(t, ok)
}

// gateway is a fake that keeps the priors that are applied.
type gateway struct {
	mu     sync.Mutex
	state  pipe.State
	priors []knowledge.Prior
}

func (g *gateway) Observe() (pipe.State, helper.Snapshot) { return g.state, nil }
func (g *gateway) ApplyPriors(list []knowledge.Prior, _ helper.Snapshot) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.priors = list
	return 0
}

// A gateway that has just started requests snapshots; one that has run for a while answers, and one that has just
// started doesn't.
func TestNewGatewayRequestsSnapshots(t *testing.T) {
	began := time.Now()
	now := func() knowledge.Time { return time.Hour + time.Since(began) }
	var exchanges [3]*Exchange
	send := func(from int) func(int, []byte) {
		return func(to int, m []byte) { exchanges[to].Receive(from, m) }
	}
	old := &gateway{state: state(6, 1)}
	blank := &gateway{state: state(6, 0)}
	for i := range blank.state.Own {
		blank.state.Own[i].Answered, blank.state.Own[i].Pace = -1, 0
	}
	for i, g := range []*gateway{old, blank, {}} {
		exchanges[i] = New(g, send(i), now, i, 3, 5)
	}
	exchanges[0].startedAt = 0 // long ago
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { exchanges[1].Run(ctx); close(done) }()
	require.Eventually(t, func() bool {
		blank.mu.Lock()
		defer blank.mu.Unlock()
		return len(blank.priors) == 6 && blank.priors[0].Suspect && !blank.priors[1].Suspect
	}, time.Minute, time.Millisecond)
	cancel()
	<-done
	assert.Zero(t, exchanges[2].Counters().Answers)
	assert.NotZero(t, exchanges[0].Counters().Answers)
	received := exchanges[1].Counters().Received
	for _, m := range [][]byte{nil, {kindSnapshot}, {kindSnapshot, 9, 0, 0}, make([]byte, 999), {3, 0, 0}} {
		exchanges[1].Receive(0, m)
	}
	exchanges[1].Receive(7, Encode(old.state))
	assert.Equal(t, received, exchanges[1].Counters().Received)
	assert.Equal(t, uint64(1), exchanges[1].Counters().Malformed)
}

// No datagram makes the exchange panic, or leads to a prior out of bounds.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(state(4, 1)))
	f.Fuzz(func(t *testing.T, m []byte) {
		own := state(4, 0).Own
		facts, _ := Decode(m, knowledge.Observer{Name: "1"}, 1, own)
		b := knowledge.New(knowledge.Options{Self: knowledge.Observer{Name: "0"}})
		var listed []knowledge.Life
		for i := range own {
			listed, own[i].Answered = append(listed, own[i].Life), -1
		}
		b.SetMembers(listed)
		b.Receive(time.Hour, facts)
		for _, p := range b.Priors(time.Hour, own) {
			if !(p.Pace > 0 && p.Pace < 100 && p.Weight > 0 && p.Room >= 0) {
				t.Fatalf("%+v", p)
			}
		}
	})
}
