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
	// Incarnation must be higher than any that this machine has used before, also for refutations. The time
	// of its start in milliseconds, shifted by some bits, serves.
	Incarnation uint64
	// Seeds are addresses of machines through which this one joins. Any that answers is enough.
	Seeds []string
	// RandomSeed determines what is left to chance. Machines should have different ones.
	RandomSeed uint64
	// Interval is the time between heartbeats, and the unit in which the package does everything else. A
	// shorter one detects failures sooner and costs more messages. The default is DefaultInterval.
	Interval time.Duration
	// Monitors is the number of machines that watch each one. More of them detect a failure while some are
	// faulty themselves, at one heartbeat each in each interval. The default is DefaultMonitors.
	Monitors int
	// Links is the number of further machines that each one probes by turns. More of them speed up
	// dissemination across the ring, at no cost in messages, but with more peers to be in contact with. The
	// default is DefaultLinks.
	Links int
	// HeartbeatTimeout is the time without contact after which a monitor asks other machines about one. A
	// longer one tolerates more lost heartbeats in a row, and delays detection. The default is 3 intervals.
	HeartbeatTimeout time.Duration
	// ConfirmationTimeout is how long a monitor waits, after it has asked, before it acts on another one's
	// confirmation. It leaves those that did have contact the time to say so. The default is an interval.
	ConfirmationTimeout time.Duration
	// UnconfirmedTimeout is how long a monitor waits for any answer before it suspects a machine without
	// confirmation. It matters in small systems, or if several monitors fail at once. The default is 3
	// intervals.
	UnconfirmedTimeout time.Duration
	// SuspicionTimeout is the time from Suspect to Dead, in which the machine may refute. It must leave time
	// for the suspicion to reach the machine and for its refutation to reach all others. The default is 3
	// intervals.
	SuspicionTimeout time.Duration
	// DeadRetention is how long a Dead or Left machine is remembered. It must be long enough that no older
	// update of it is still on its way, which would bring it back. The default is DefaultDeadRetention.
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
