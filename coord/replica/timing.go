package replica

import (
	"time"
)

// Durations of the protocol. Each process measures them on its own steady (monotonic) clock; the time of day
// is never compared. They are constants, not settings, because they must fit each other and be the same in
// all processes of a system: the safety of the leader lease depends on newLeaderDelay being longer than
// leaderLeaseDuration on every machine.
const (
	// tickInterval is how often a carrier calls core.tick; a node without a disk ticks every
	// learnerTickInterval. All other durations take effect at a tick.
	tickInterval = 100 * time.Millisecond

	// heartbeatInterval is the time between two rounds of heartbeats to the voters. It bounds how fast
	// failures are seen and how old the proof of the epoch is between reads; each round costs one message for
	// each pair of voters.
	heartbeatInterval = 200 * time.Millisecond

	// suspicionTimeout is the time without a heartbeat after which a member is suspected. Three rounds fit
	// into it, so that one lost heartbeat or one stalled tick causes no suspicion. It is most of a failover's
	// duration: a shorter one fails over sooner, but changes the view whenever a process stalls.
	suspicionTimeout = 700 * time.Millisecond

	// echoTimeout suspects a member whose heartbeats arrive, but echo no heartbeat of this member that was
	// sent within it: the link loses one direction. It is longer than suspicionTimeout because an echo waits
	// for the peer's next round.
	echoTimeout = 1000 * time.Millisecond

	// processPauseThreshold is the gap between two ticks from which on this process takes itself to have been
	// paused (SIGSTOP, a frozen machine). It is below suspicionTimeout, so that a process that resumes
	// doesn't suspect members whose heartbeats wait in its own sockets.
	processPauseThreshold = 400 * time.Millisecond

	// replacementTimeout is the time without contact after which a spare may take a voter's place. A shorter
	// one gives places away during a quick restart; a longer one leaves the system longer with one copy less.
	replacementTimeout = 2 * time.Second

	// retransmitInterval is the time after which a prefix request, a forwarded command or a read-index
	// request without an answer is sent again.
	retransmitInterval = 300 * time.Millisecond

	// viewQueryInterval is the time between two queries of a node that has no contact with any member of its
	// view.
	viewQueryInterval = 500 * time.Millisecond

	// viewSendInterval is the shortest time between two sendings of the view to one outdated peer.
	viewSendInterval = 50 * time.Millisecond

	// learnerPollInterval is the time between two polls of a learner. New commands are pushed, so that it
	// bounds the learner's staleness only where nothing is written.
	learnerPollInterval = 250 * time.Millisecond

	// learnerTimeout is the time without a poll after which a chain member pushes nothing more to a learner.
	learnerTimeout = time.Second

	// proposalTimeout is the time after which an undecided proposal of a view is abandoned.
	proposalTimeout = 600 * time.Millisecond

	// prepareGracePeriod is how long a proposer waits for the prepare responses of further members that are
	// alive, once it has a majority: each response may show a better source, and a member that it names stays
	// in the chain.
	prepareGracePeriod = 100 * time.Millisecond

	// proposerStagger is the time by which proposers of successive rank start after each other. It is longer
	// than an undisturbed proposal usually takes, so that proposers rarely duel.
	proposerStagger = 200 * time.Millisecond

	// rejoinDelay is how long a member must have been reachable without a break before a view lets it in, so
	// that a flapping link doesn't cause one view after the other.
	rejoinDelay = 150 * time.Millisecond

	// wedgedTimeout is how long a wedged member waits for a decision before it proposes itself: its proposer
	// may have failed. A wedged member serves nothing.
	wedgedTimeout = 400 * time.Millisecond

	// leaderLeaseDuration is how long a head holds the leader lease after the sending of the heartbeats with
	// which a majority confirmed its epoch. It spans four rounds; a shorter one loses the lease to a short
	// stall.
	leaderLeaseDuration = 800 * time.Millisecond

	// newLeaderDelay is how long a new head waits, from its adoption of the view, before it takes the leader
	// lease. It is longer than leaderLeaseDuration by a margin for clocks that run at different rates: see
	// core.leaderLease for the argument.
	newLeaderDelay = 1000 * time.Millisecond

	// departureTimeout is how long a member that is out of the chain waits for proof that the others know and
	// hold the complete prefix, before it reports its departure all the same.
	departureTimeout = 1000 * time.Millisecond

	// remoteReadTimeout is the time after which a chain member drops a learner's read-index request.
	remoteReadTimeout = 2 * time.Second
)

// never is a moment before all others: something hasn't happened.
const never = time.Duration(-1 << 62)
