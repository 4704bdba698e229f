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
