// Package membership finds out which machines of a system are alive, and spreads what it finds to all of
// them.
//
// It combines the dissemination, suspicion and indirect probes of SWIM (Das, Gupta and Motivala, "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002) with the local health
// of Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
// Detection", 2018). It departs from SWIM in who detects failures: not random probes, but heartbeats to a few
// fixed monitors, two of which must agree.
//
// The package is a pure core. Time and messages go in, messages and changes come out; the caller owns clock,
// sockets and addresses. coord/membership/datagram carries it over UDP.
//
// # Failure detection
//
// Each machine has a position on a ring (coord/ring) and sends a Heartbeat to its next Config.Monitors
// successors, its monitors, every Config.Interval. So each machine is watched by a few others and watches as
// many, whatever the size of the system. Rapid (Suresh et al., "Stable and Consistent Membership at Scale
// with Rapid", 2018) likewise gives each process several observers and acts on the agreement of more than
// one.
//
// A monitor that receives nothing for Config.HeartbeatTimeout probes the machine, and sends an IndirectProbe
// (SWIM's ping-req) to the machine's other monitors and to as many machines chosen at random. They answer
// when they had contact with it last, and if that is long ago they probe it themselves. If one of them had
// contact lately, only the link between this monitor and the machine is faulty, and nothing happens. If
// another one confirms the time-out, the machine becomes Suspect after Config.ConfirmationTimeout. Only if
// no machine answers at all for Config.UnconfirmedTimeout does a monitor suspect it alone.
//
// A suspicion spreads to all. The machine refutes it by an Alive update with a higher incarnation, or is Dead
// everywhere Config.SuspicionTimeout later.
//
// # Local health
//
// A machine that is slow, was paused or receives nothing must not suspect others. Each one keeps a score of
// signs that it is unhealthy itself: ticks that ran late, probe replies that came late, suspicions of itself
// that it had to refute. Its timeouts grow in proportion (Lifeguard's local health multiplier). After a pause
// it starts to measure all time-outs anew, because what arrived meanwhile hasn't been read yet. A machine
// that receives nothing at all suspects no other.
//
// # Dissemination
//
// Updates are piggybacked on heartbeats and probes: a few in each message, each sent a number of times that
// grows with the logarithm of the system's size. Besides its monitors, each machine probes in each interval
// one of its links, a few machines that rendezvous hashing chose for it, so that an update crosses the system
// in a number of intervals that is logarithmic too.
//
// Anti-entropy (Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987) repairs what
// dissemination missed. Probe and ProbeReply carry a digest of the sender's table; two machines whose digests
// keep differing exchange the parts that differ.
//
// A new machine joins through any seed that answers. Dead machines and absent seeds are contacted now and
// then, which joins the two halves of a system again after a partition.
//
// # Order of updates
//
// Each machine numbers its incarnations, higher with each start and with each refutation. Of two updates of a
// machine the one with the higher incarnation wins, and within an incarnation the later of Alive, Suspect,
// Dead, Left. Only the machine itself raises its incarnation, so that all tables converge whatever the order
// in which updates arrive.
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
// The result is eventually consistent and may be wrong for a while: that a machine is Dead here is a reason
// to act, not a proof. Where that isn't enough, agree on a view (coord/view) or hold a lease (coord/lease).
package membership
