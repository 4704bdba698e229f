package membership

import "time"

// Defaults of Config.
const (
	DefaultInterval      = 300 * time.Millisecond
	DefaultMonitors      = 3
	DefaultLinks         = 2
	DefaultDeadRetention = 10 * time.Minute
)

const (
	// maxUpdates bounds the news in one message.
	maxPiggyback = 24
	// syncUpdates bounds the part of the table in one Sync message.
	maxSyncUpdates = 64
	// maxHealth bounds the signs of bad health that are counted. Timeouts grow to 1 + maxHealth times their length.
	maxHealthScore = 6
	// remoteProbes is the number of intervals between probes of a dead machine or a seed.
	reconnectRounds = 10
	// eagerJoins is the number of intervals in which a machine that knows nobody asks a seed each time.
	eagerJoinRounds = 100
	// muchNews is the number of news on their way from which on tables are exchanged meanwhile.
	heavyBacklog = 2 * maxPiggyback
	// differingDigests is the number of differing digests after which tables are exchanged meanwhile.
	mismatchesBeforeSync = 4
	// maxDifferences bounds the machines whose digests are remembered.
	maxMismatches = 16
)

// Config adjusts a Node. Zero values take the defaults.
type Config struct {
	// Self is this machine.
	Self Member
	// Incarnation must be higher than in any earlier life of this machine, such as the time of its start in
	// milliseconds shifted by some bits.
	Incarnation uint64
	// Seeds are addresses at which a machine may answer.
	Seeds []string
	// Seed determines what is left to chance.
	RandomSeed uint64
	// Interval is the time between heartbeats.
	Interval time.Duration
	// Monitors is the number of machines that watch each one.
	Monitors int
	// Links is the number of further machines that each one exchanges news with.
	Links int
	// MissAfter is how long a machine may be silent before its monitor asks around: 3 intervals by default.
	HeartbeatTimeout time.Duration
	// AskFor is how long the monitor waits for what others say: an interval by default.
	ConfirmationTimeout time.Duration
	// AloneAfter is how long it waits for others before it accuses alone: 3 intervals by default.
	UnconfirmedTimeout time.Duration
	// DeadAfter is the time from suspicion to death: 3 intervals by default.
	SuspicionTimeout time.Duration
	// Retain is how long a dead machine is remembered.
	DeadRetention time.Duration
}

// withDefaults returns the configuration with all values set.
func (c Config) withDefaults() Config {
	setDefault(&c.Interval, DefaultInterval)
	setDefault(&c.Monitors, DefaultMonitors)
	setDefault(&c.Links, DefaultLinks)
	setDefault(&c.HeartbeatTimeout, 3*c.Interval)
	setDefault(&c.ConfirmationTimeout, c.Interval)
	setDefault(&c.UnconfirmedTimeout, 3*c.Interval)
	setDefault(&c.SuspicionTimeout, 3*c.Interval)
	setDefault(&c.DeadRetention, DefaultDeadRetention)
	return c
}

// setDefault sets a value that is zero.
func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}
