// Package membership detects which machines of a system are alive and disseminates their states to all
// machines.
//
// It combines the dissemination, suspicion and indirect probes of SWIM (Das, Gupta and Motivala, "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002) with the local health
// of Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
// Detection", 2018). Unlike SWIM, it detects failures not by random probes but by heartbeats to a few fixed
// monitors, two of which must agree.
//
// The package does no I/O. A Node takes times and messages as input and returns messages and changes; the
// caller owns the clock, the sockets and the addresses. coord/membership/datagram runs a Node over UDP.
//
// # Failure detection
//
// Each machine has a position on a ring (coord/ring) and sends a Heartbeat to its next Config.Monitors
// successors, its monitors, every Config.Interval. Each machine is thus watched by Config.Monitors others and
// watches as many, whatever the size of the system. Rapid (Suresh et al., "Stable and Consistent Membership at Scale
// with Rapid", 2018) likewise gives each process several observers and acts on the agreement of more than
// one.
//
// A monitor that receives nothing for Config.HeartbeatTimeout probes the machine, and sends an IndirectProbe
// (SWIM's ping-req) to the machine's other monitors and to Config.Monitors machines chosen at random. They
// reply with the time since their last contact with the machine, and probe it themselves unless that contact
// was within Config.HeartbeatTimeout. If one of them had contact within that time, only the link between this
// monitor and the machine is faulty, and the machine is not suspected. If another machine confirms the
// time-out, the machine becomes Suspect after Config.ConfirmationTimeout. A monitor suspects a machine without
// confirmation only if no other machine replies within Config.UnconfirmedTimeout.
//
// A suspicion is disseminated to all machines. The suspected machine refutes it by an Alive update with a
// higher incarnation; otherwise it becomes Dead everywhere after Config.SuspicionTimeout.
//
// # Local health
//
// A machine that is slow, was paused or receives nothing must not suspect others. Each machine counts signs
// that it is unhealthy itself: late ticks, late probe replies, and suspicions of itself that it had to refute.
// Its timeouts grow in proportion to that score (Lifeguard's local health multiplier). After a pause it
// restarts or extends all timeouts, because messages that arrived during the pause haven't been read yet. A
// machine that receives nothing at all suspects no other.
//
// # Dissemination
//
// Updates are piggybacked on heartbeats and probes: a few in each message, each sent a number of times that
// grows with the logarithm of the system's size. In each interval, a machine also probes one of its links, a
// few machines chosen by rendezvous hashing, so that an update reaches the whole system within a number of
// intervals that is logarithmic too.
//
// Anti-entropy (Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987) repairs
// tables that dissemination left incomplete. Probe and ProbeReply carry a digest of the sender's table; two
// machines whose digests keep differing exchange the parts that differ.
//
// A new machine joins through any seed that answers. Dead machines and absent seeds are contacted
// periodically, so that the two halves of a system merge again after a partition.
//
// # Order of updates
//
// Each machine has an incarnation number, which it raises with each start and each refutation. Of two updates
// of a machine, the one with the higher incarnation wins; within an incarnation, the one whose state comes
// later in the order Alive, Suspect, Dead, Left. Only the machine itself raises its incarnation, so that all
// tables converge whatever the order in which updates arrive.
//
// # Cost
//
// In each interval a machine sends Config.Monitors heartbeats, one probe and about one reply, whatever the
// number of machines. It holds a fixed amount of memory for each machine that it knows.
//
// # Use
//
// Create a Node, call Tick at the time that Next returns, and Receive for each message. Send Output.Messages
// without waiting for an answer, and act on Output.Changes. Messages may be lost, repeated or reordered.
//
// The table is eventually consistent and may be wrong for a while: the state Dead is a reason to act, but does
// not prove that a machine has stopped. Where proof is needed, agree on a view (coord/view) or hold a lease
// (coord/lease).
package membership
