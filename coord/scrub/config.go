package scrub

import (
	"cmp"
	"math"
	"time"
)

// Defaults of Config.
const (
	DefaultBytesPerSecond = 256 << 10
	DefaultRangeEntries   = 128
	DefaultRangeBytes     = 256 << 10
	DefaultTimeout        = 2 * time.Second
	DefaultPassInterval   = 10 * time.Minute
)

// Config adjusts a Node. Zero values take the defaults.
type Config struct {
	// BytesPerSecond bounds what the background scrub reads, in keys and values. A faster scrub finds
	// corruption sooner, and takes more of the disk from its users. Default 256 KiB/s.
	BytesPerSecond int

	// RangeEntries and RangeBytes bound one range, in entries and in bytes of keys and values. One difference
	// costs a summary of all entries of its range; small ranges cost more messages. Default 128 entries, 256
	// KiB.
	RangeEntries int
	RangeBytes   int

	// Timeout is how long a node waits for the answer to a Compare, before it compares the range with another
	// peer; and how long it waits after an error of the store. Default 2 s.
	Timeout time.Duration

	// PassInterval is the least time from the start of one pass over the store to the next, so that a small
	// store isn't read all the time. Default 10 min.
	PassInterval time.Duration

	// StableVersion returns the version up to which all replicas should have all writes by now. Entries above
	// it are not compared. Nil means all versions.
	StableVersion func() uint64
}

// withDefaults returns the configuration with all defaults filled in.
func (c Config) withDefaults() Config {
	c.BytesPerSecond = cmp.Or(c.BytesPerSecond, DefaultBytesPerSecond)
	c.RangeEntries = cmp.Or(c.RangeEntries, DefaultRangeEntries)
	c.RangeBytes = cmp.Or(c.RangeBytes, DefaultRangeBytes)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.PassInterval = cmp.Or(c.PassInterval, DefaultPassInterval)
	if c.StableVersion == nil {
		c.StableVersion = func() uint64 { return math.MaxUint64 }
	}
	return c
}
