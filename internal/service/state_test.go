package service

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const testShutdownTimeout = 5 * time.Second

// Calls and signals in any order lead to a valid state. Each case has a sequence of calls, 10 s apart: d Drain, u
// Undrain, s MarkStarted, t Shutdown (SIGTERM), h HandOver, b TakeBack. The other fields are what the methods
// return 30 s after the last call.
func TestEveryTransitionOrder(t *testing.T) {
	for _, c := range []struct {
		calls                 string
		phase                 Phase
		canServe, ready, last bool
		idleCloses, accepts   bool
		mayExit, mayExitOpen  bool
	}{
		{"", Starting, false, false, false, false, true, false, false},
		{"s", Serving, true, true, false, false, true, false, false},
		{"d", Draining, false, false, true, true, true, false, false},
		{"ds", Draining, true, false, true, true, true, false, false},
		{"sd", Draining, true, false, true, true, true, false, false},
		{"sdd", Draining, true, false, true, true, true, false, false},
		{"su", Serving, true, true, false, false, true, false, false},
		{"u", Starting, false, false, false, false, true, false, false},
		{"sdu", Serving, true, true, false, false, true, false, false},
		{"sddu", Serving, true, true, false, false, true, false, false},
		{"sdud", Draining, true, false, true, true, true, false, false},
		{"dus", Serving, true, true, false, false, true, false, false},
		{"t", ShuttingDown, false, false, true, true, false, true, true},
		{"st", ShuttingDown, false, false, true, true, false, true, true},
		{"sdt", ShuttingDown, false, false, true, true, false, true, true},
		{"sdtu", ShuttingDown, false, false, true, true, false, true, true},
		{"std", ShuttingDown, false, false, true, true, false, true, true},
		{"stt", ShuttingDown, false, false, true, true, false, true, true},
		{"ts", ShuttingDown, false, false, true, true, false, true, true},
		{"sh", HandedOver, true, true, true, true, true, false, false},
		{"shdu", HandedOver, true, true, true, true, true, false, false},
		{"sdh", HandedOver, true, false, true, true, true, false, false},
		{"shb", Serving, true, true, false, false, true, false, false},
		{"sdhb", Draining, true, false, true, true, true, false, false},
		{"sht", ShuttingDown, false, false, true, true, false, true, true},
		{"sth", ShuttingDown, false, false, true, true, false, true, true},
		{"shtb", ShuttingDown, false, false, true, true, false, true, true},
	} {
		s, now := New(), time.Unix(1000, 0)
		for _, call := range strings.Split(c.calls, "") {
			now = now.Add(10 * time.Second)
			switch call {
			case "s":
				s.MarkStarted()
			case "d":
				s.Drain(now)
			case "u":
				assert.Equal(t, !strings.ContainsAny(c.calls, "th"), s.Undrain(), c.calls)
			case "h":
				s.HandOver(now)
			case "b":
				s.TakeBack()
			case "t":
				s.Shutdown(now, testShutdownTimeout)
			}
		}
		now = now.Add(30 * time.Second)
		assert.Equal(t, c.phase, s.Phase(), c.calls)
		assert.Equal(t, []bool{c.canServe, c.ready, c.last, c.idleCloses, c.accepts, c.mayExit, c.mayExitOpen},
			[]bool{s.CanServe(), s.Ready(), s.ClosesAfterResponse(), s.ClosesIdle(now), s.Accepts(now), s.MayExit(now, 0),
				s.MayExit(now, 1)}, c.calls)
	}
}

// The grace period of idle connections begins with the first call of Drain, also if Drain is called again or
// shutdown begins during it. Shutdown waits for the accept period and for open connections, up to its timeout.
func TestDrainTiming(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	s := New()
	s.MarkStarted()
	s.Drain(at(0))
	s.Drain(at(IdleGrace / 2))
	assert.False(t, s.ClosesIdle(at(IdleGrace-1)))
	assert.True(t, s.ClosesIdle(at(IdleGrace)))
	assert.True(t, s.Undrain())
	assert.False(t, s.ClosesIdle(at(IdleGrace)))
	s.Drain(at(time.Minute))
	assert.False(t, s.ClosesIdle(at(time.Minute)))
	end := time.Minute + IdleGrace/2
	assert.True(t, s.Shutdown(at(end), testShutdownTimeout))
	assert.False(t, s.Shutdown(at(end+1), testShutdownTimeout), "second call")
	assert.True(t, s.ClosesIdle(at(time.Minute+IdleGrace)))
	assert.True(t, s.Accepts(at(end+DefaultAcceptPeriod-1)))
	assert.False(t, s.MayExit(at(end+DefaultAcceptPeriod), 0))
	assert.True(t, s.MayExit(at(end+DefaultAcceptPeriod+newConnGrace), 0))
	assert.False(t, s.MayExit(at(end+testShutdownTimeout-1), 1))
	assert.True(t, s.MayExit(at(end+testShutdownTimeout), 1))

	s = New()
	s.MarkStarted()
	s.HandOver(at(0))
	s.Shutdown(at(IdleGrace/2), testShutdownTimeout)
	assert.True(t, s.ClosesIdle(at(IdleGrace)), "measured from the hand-over")
	assert.False(t, s.MayExit(at(IdleGrace/2), 1))
	assert.True(t, s.MayExit(at(IdleGrace/2), 0), "new connections go to the other process")
}

// Open requests get their response, and the process exits, before the platform kills it, which is 0.7 s after the
// longest deadline, of which at most 3 s count. Deadlines of up to 2.9 s are kept also for requests that arrive in
// the first 0.5 s after SIGTERM.
func TestShutdownTimes(t *testing.T) {
	for longest, killed := range map[time.Duration]time.Duration{time.Second: 1700 * time.Millisecond,
		3 * time.Second: 3700 * time.Millisecond, 10 * time.Second: 3700 * time.Millisecond} {
		responses, exit := ShutdownTimes(longest)
		assert.Less(t, responses, exit)
		assert.Less(t, exit, killed)
		assert.Greater(t, responses, min(longest, 2900*time.Millisecond)+500*time.Millisecond)
	}
}

func TestChangedWakes(t *testing.T) {
	s := New()
	for _, change := range []func(){s.MarkStarted, func() { s.Drain(time.Now()) }, func() { s.Undrain() },
		func() { s.HandOver(time.Now()) }, s.TakeBack,
		func() { s.Shutdown(time.Now(), 0) }} {
		changed := s.Changed()
		change()
		<-changed
	}
}

// The exit deadline applies to requests that arrive after the accept period. Earlier requests are expected to end
// in time.
func TestExitDeadline(t *testing.T) {
	s, now := New(), time.Unix(1000, 0)
	s.MarkStarted()
	_, applies := s.ExitDeadline(now)
	assert.False(t, applies)
	s.Drain(now)
	_, applies = s.ExitDeadline(now.Add(time.Minute))
	assert.False(t, applies, "the process keeps running")
	s.Shutdown(now, testShutdownTimeout)
	_, applies = s.ExitDeadline(now.Add(DefaultAcceptPeriod - 1))
	assert.False(t, applies)
	at, applies := s.ExitDeadline(now.Add(DefaultAcceptPeriod))
	assert.True(t, applies)
	assert.Equal(t, now.Add(testShutdownTimeout), at)
}
