package core

import (
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Time is a clock reading: the time since the Unix epoch.
type Time = policy.Time

// Clock gives readings that start at the wall clock's time and are monotonic from there.
type Clock struct {
	origin time.Time
	offset time.Duration
}

// NewClock gives a clock that starts now.
func NewClock() Clock { return Clock{origin: time.Now()} }

// WithOffset gives a clock that is ahead of this one, for experiments in which processes' clocks differ.
func (c Clock) WithOffset(d time.Duration) Clock { return Clock{origin: c.origin, offset: d} }

// Now gives the current reading.
func (c Clock) Now() Time { return Time(c.origin.UnixNano()) + c.offset + time.Since(c.origin) }

// At gives the time of a reading.
func (c Clock) At(t Time) time.Time { return c.origin.Add(t - c.offset - Time(c.origin.UnixNano())) }
