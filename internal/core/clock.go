package core

import (
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Time is a clock reading: the time since the Unix epoch.
type Time = policy.Time

// Clock returns readings that start at the wall clock's time and are monotonic from there.
type Clock struct {
	origin time.Time
	offset time.Duration
}

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{origin: time.Now()} }

// WithOffset returns a clock that is ahead of this one by d, for experiments in which processes' clocks differ.
func (c Clock) WithOffset(d time.Duration) Clock { return Clock{origin: c.origin, offset: d} }

// Now returns the current reading.
func (c Clock) Now() Time { return Time(c.origin.UnixNano()) + c.offset + time.Since(c.origin) }

// At converts a reading to a time.Time.
func (c Clock) At(t Time) time.Time { return c.origin.Add(t - c.offset - Time(c.origin.UnixNano())) }
