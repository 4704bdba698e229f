// Package membership tells which machines of a system are alive. It is a pure state machine: time and messages go
// in, messages and changes come out; the caller owns the clock, the sockets and the addresses.
//
// # Watching
//
// Each machine has a position on a ring (coord/ring) and sends a heartbeat to its next few successors, its monitors,
// every Config.Interval. A monitor that misses heartbeats for Config.MissAfter asks the machine itself and its other
// monitors. If one of them has heard it lately, only the way to this monitor is cut, and nothing happens. Otherwise,
// a second monitor must agree that the machine is silent before it is suspected; only where no other monitor answers
// at all, for Config.AloneAfter, does one accuse alone. A suspicion spreads to all; the machine refutes it by a
// higher incarnation, or counts as dead everywhere Config.DeadAfter later.
//
// # Local health
//
// A machine that is slow, frozen or deaf must not accuse others. It counts signs of its own bad health, as Lifeguard
// does: timers that ran late, probes without an answer, suspicions of itself that it had to refute. All its timeouts
// grow with that count. After a pause of its own it forgets how long it has heard nothing. Who hears nobody accuses
// nobody.
//
// # Spreading
//
// Changes ride on heartbeats and probes, a few in each message, each a bounded number of times. Besides its monitors
// each machine probes one of its links in each interval, a few machines that rendezvous hashing chose for it, so that
// news crosses the ring in a number of intervals that grows with the logarithm of the number of machines. A probe
// and its answer carry a digest of the whole table; where digests keep differing the tables are exchanged. A new
// machine joins through any address that answers. Dead machines and seeds are probed now and then, which joins the
// two halves of a system that was cut in two.
//
// # Cost
//
// In each interval a machine sends Config.Monitors heartbeats, one probe and about one answer, whatever the number
// of machines, over connections to Monitors + Links others. It holds a fixed amount for each machine that it knows.
//
// # Use
//
// Call Tick when Next comes and Receive for each message, send Output.Messages without waiting for an answer, and
// look at Output.Changes. Messages may be lost, repeated or reordered. The agreed view of the core is not this
// package's business: that a machine is dead here is a reason to act, not a permission.
package membership
