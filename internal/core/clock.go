package core

import (
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Time is the module's clock reading.
type Time = policy.Time

// Clock gives readings from an origin that is read once, in Unix time, and monotonic from there.
type Clock struct {
	origin time.Time
	offset time.Duration
}

// NewClock reads the origin.
func NewClock() Clock { return Clock{origin: time.Now()} }

// Ahead gives a clock that is so far ahead of this one. It is for the laboratory: every machine reads the same clock.
func (c Clock) WithOffset(d time.Duration) Clock { return Clock{origin: c.origin, offset: d} }

// Now is the time since the Unix epoch.
func (c Clock) Now() Time { return Time(c.origin.UnixNano()) + c.offset + time.Since(c.origin) }

// At gives the moment of a reading.
func (c Clock) At(t Time) time.Time { return c.origin.Add(t - c.offset - Time(c.origin.UnixNano())) }
