package membership

import "time"

// Defaults of Config.
const (
	DefaultInterval      = 300 * time.Millisecond
	DefaultMonitors      = 3
	DefaultLinks         = 2
	DefaultDeadRetention = 10 * time.Minute
)

// Config configures a Node. Zero values take the defaults.
type Config struct {
	// Self is this machine.
	Self Member
	// Incarnation must be higher than any incarnation that this machine has used before, including those it
	// used for refutations. The start time in milliseconds, shifted left by some bits, meets this.
	Incarnation uint64
	// Seeds are addresses of machines through which this one joins. Any that answers is enough.
	Seeds []string
	// RandomSeed seeds the random choices of the node. Machines should have different seeds.
	RandomSeed uint64
	// Interval is the time between heartbeats, and the length of a protocol period. A shorter interval detects
	// failures sooner and costs more messages. The default is DefaultInterval.
	Interval time.Duration
	// Monitors is the number of machines that watch each machine. With more monitors, a failure is detected
	// even while some of them are faulty; each costs one heartbeat per interval. The default is
	// DefaultMonitors.
	Monitors int
	// Links is the number of further machines that each machine probes in turn. More links speed up
	// dissemination across the ring without more messages, but each machine has more peers. The default is
	// DefaultLinks.
	Links int
	// HeartbeatTimeout is the time without contact after which a monitor asks other machines about the machine
	// it watches. A longer timeout tolerates more lost heartbeats in a row, and delays detection. The default
	// is 3 intervals.
	HeartbeatTimeout time.Duration
	// ConfirmationTimeout is how long a monitor waits, after it has asked, before it acts on another machine's
	// confirmation. It gives machines that did have contact the time to reply. The default is one interval.
	ConfirmationTimeout time.Duration
	// UnconfirmedTimeout is how long a monitor waits for any reply before it suspects a machine without
	// confirmation. It takes effect in small systems, or if several monitors fail at once. The default is 3
	// intervals.
	UnconfirmedTimeout time.Duration
	// SuspicionTimeout is the time from Suspect to Dead, in which the machine may refute. It must leave time
	// for the suspicion to reach the machine and for its refutation to reach all others. The default is 3
	// intervals.
	SuspicionTimeout time.Duration
	// DeadRetention is how long a Dead or Left machine stays in the table. It must be longer than any older
	// update of the machine can be in transit, as such an update would make it a member again. The default is
	// DefaultDeadRetention.
	DeadRetention time.Duration
}

// withDefaults returns the configuration with zero values replaced by their defaults.
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

// setDefault sets *value to defaultValue if it is zero.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
