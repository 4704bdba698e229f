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

// Config configures a Node. Zero values select the defaults.
type Config struct {
	// BytesPerSecond bounds the rate at which the background scrub reads keys and values. A higher rate finds
	// corruption sooner, but leaves less disk throughput for other work. Default 256 KiB/s.
	BytesPerSecond int

	// RangeEntries and RangeBytes bound one range, in entries and in bytes of keys and values. A single
	// difference costs a summary of all entries of the range; smaller ranges cost more messages. Default 128
	// entries, 256 KiB.
	RangeEntries int
	RangeBytes   int

	// Timeout is how long a node waits for the answer to a Compare before it compares the range with another
	// peer. It is also how long the node waits after an error of the store. Default 2 s.
	Timeout time.Duration

	// PassInterval is the minimum time from the start of one pass over the store to the start of the next, so
	// that a small store isn't read continuously. Default 10 min.
	PassInterval time.Duration

	// StableVersion returns the version up to which all replicas should have received all writes. Entries with
	// higher versions are not compared. Nil means that all versions are compared.
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
